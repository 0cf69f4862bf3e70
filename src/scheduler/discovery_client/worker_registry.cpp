#include "scheduler/discovery_client/worker_registry.h"

#include <simdjson.h>

#include <algorithm>

namespace willowrill::discovery_client {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;
using willowrill::Condition;

struct Entry {
    std::string id;
    std::optional<net::Endpoint> address;
    willowrill::WorkerEntry entry;
};

template <class Value> Value get(const object& from, std::string_view key, Value fallback) {
    element value;
    if (from[key].get(value) != simdjson::SUCCESS || value.is_null()) return fallback;
    if (value.get(fallback) != simdjson::SUCCESS) throw simdjson::simdjson_error(simdjson::INCORRECT_TYPE);
    return fallback;
}

constexpr std::int64_t latest_ms = 9'000'000'000'000; // the year 2255; nanoseconds end soon after

Entry read_entry(const object& from, config::Names& names) {
    Entry out;
    out.id = std::string(get<std::string_view>(from, "id", ""));
    const auto state = get<std::string_view>(from, "state", "");
    out.address = net::Endpoint::parse(get<std::string_view>(from, "addr", ""));
    const bool known_state = state == "up" || state == "draining" || state == "removed";
    // What was removed needs no address any more.
    if (out.id.empty() || !known_state || (!out.address && state != "removed"))
        throw simdjson::simdjson_error(simdjson::INCORRECT_TYPE);
    out.entry.condition = state == "up"         ? Condition::ready
                          : state == "draining" ? Condition::draining
                                                : Condition::gone;
    out.entry.key = willowrill::key_of(out.id);
    const auto started = get<std::int64_t>(from, "started_ms", 0);
    if (started < 0 || started > latest_ms) throw simdjson::simdjson_error(simdjson::NUMBER_OUT_OF_RANGE);
    out.entry.up_since = std::chrono::milliseconds(started);
    out.entry.kind = config::Names::find_or_add(names.kinds, get<std::string_view>(from, "kind", ""));
    out.entry.zone = config::Names::find_or_add(names.zones, get<std::string_view>(from, "zone", ""));
    out.entry.cell = static_cast<willowrill::Index>(get<std::int64_t>(from, "cell", 0));
    out.entry.weight = get<double>(from, "weight", 1.0);
    return out;
}

} // namespace

std::size_t WorkerRegistry::listed_count() const {
    return workers_.size() -
           static_cast<std::size_t>(std::ranges::count(workers_, Condition::gone, &Worker::condition));
}

std::optional<willowrill::EndpointListUpdate> WorkerRegistry::apply_update(std::string_view json) {
    std::vector<Entry> entries;
    config::Names names = names_; // new kinds and zones are kept once the whole list is good
    bool full = false;
    std::uint64_t version = 0;
    try {
        simdjson::dom::parser parser;
        const object root = parser.parse(simdjson::padded_string(json));
        version = root["version"].get_uint64();
        full = root["full"].get_bool();
        for (const element item : root["servers"].get_array()) {
            entries.push_back(read_entry(item.get_object(), names));
        }
    } catch (const simdjson::simdjson_error&) {
        return std::nullopt;
    }
    names_ = std::move(names);
    using Kind = willowrill::EndpointListUpdate::Kind;
    willowrill::EndpointListUpdate news{.kind = full ? Kind::complete : Kind::changes};
    if (full) { // what is not in a whole list is gone
        for (Worker& worker : workers_)
            worker.condition = Condition::gone;
    }
    for (Entry& read : entries) {
        const auto next = static_cast<willowrill::WorkerId>(workers_.size());
        const auto [found, added] = ids_.try_emplace(read.id, next);
        if (added) workers_.push_back({.id = read.id});
        Worker& worker = workers_[found->second];
        if (read.address) worker.address = *read.address;
        worker.condition = read.entry.condition;
        read.entry.worker = found->second;
        news.entries.push_back(read.entry);
    }
    version_ = version;
    return news;
}

} // namespace willowrill::discovery_client
