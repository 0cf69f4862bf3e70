#include "scheduler/discovery_client/worker_registry.h"

#include <simdjson.h>

#include <algorithm>

namespace willowrill::discovery_client {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;
using willowrill::Condition;

struct ListedWorker {
    std::string id;
    std::optional<net::Endpoint> address;
    willowrill::WorkerEntry entry;
};

// Returns the value of a key, or `fallback` if it is absent or null. Throws if it has another type.
template <class Value> Value value_or(const object& from, std::string_view key, Value fallback) {
    element value;
    if (from[key].get(value) != simdjson::SUCCESS || value.is_null()) return fallback;
    if (value.get(fallback) != simdjson::SUCCESS) throw simdjson::simdjson_error(simdjson::INCORRECT_TYPE);
    return fallback;
}

// In the year 2255. Later timestamps soon exceed 64 bits of nanoseconds, which end in 2262.
constexpr std::int64_t max_timestamp_ms = 9'000'000'000'000;

ListedWorker read_worker(const object& from, config::Names& names) {
    ListedWorker listed;
    listed.id = std::string(value_or<std::string_view>(from, "id", ""));
    const auto state = value_or<std::string_view>(from, "state", "");
    listed.address = net::Endpoint::parse(value_or<std::string_view>(from, "addr", ""));
    const bool is_known_state = state == "up" || state == "draining" || state == "removed";
    // An address is optional for a removed worker.
    if (listed.id.empty() || !is_known_state || (!listed.address && state != "removed"))
        throw simdjson::simdjson_error(simdjson::INCORRECT_TYPE);
    listed.entry.condition = state == "up"         ? Condition::ready
                             : state == "draining" ? Condition::draining
                                                   : Condition::gone;
    listed.entry.key = willowrill::key_of(listed.id);
    const auto started = value_or<std::int64_t>(from, "started_ms", 0);
    if (started < 0 || started > max_timestamp_ms)
        throw simdjson::simdjson_error(simdjson::NUMBER_OUT_OF_RANGE);
    listed.entry.up_since = std::chrono::milliseconds(started);
    listed.entry.kind = config::Names::find_or_add(names.kinds, value_or<std::string_view>(from, "kind", ""));
    listed.entry.zone = config::Names::find_or_add(names.zones, value_or<std::string_view>(from, "zone", ""));
    listed.entry.cell = static_cast<willowrill::Index>(value_or<std::int64_t>(from, "cell", 0));
    listed.entry.weight = value_or<double>(from, "weight", 1.0);
    return listed;
}

} // namespace

std::size_t WorkerRegistry::listed_count() const {
    return workers_.size() -
           static_cast<std::size_t>(std::ranges::count(workers_, Condition::gone, &Worker::condition));
}

std::optional<willowrill::EndpointListUpdate> WorkerRegistry::apply_update(std::string_view json) {
    std::vector<ListedWorker> entries;
    config::Names names = names_; // replaces `names_` only after the whole response has been parsed
    bool full = false;
    std::uint64_t version = 0;
    try {
        simdjson::dom::parser parser;
        const object root = parser.parse(simdjson::padded_string(json));
        version = root["version"].get_uint64();
        full = root["full"].get_bool();
        for (const element item : root["servers"].get_array()) {
            entries.push_back(read_worker(item.get_object(), names));
        }
    } catch (const simdjson::simdjson_error&) {
        return std::nullopt;
    }
    names_ = std::move(names);
    using Kind = willowrill::EndpointListUpdate::Kind;
    willowrill::EndpointListUpdate update{.kind = full ? Kind::complete : Kind::changes};
    if (full) { // workers that a full list does not contain are gone
        for (Worker& worker : workers_)
            worker.condition = Condition::gone;
    }
    for (ListedWorker& listed : entries) {
        const auto next_id = static_cast<willowrill::WorkerId>(workers_.size());
        const auto [position, added] = worker_ids_.try_emplace(listed.id, next_id);
        if (added) workers_.push_back({.id = listed.id});
        Worker& worker = workers_[position->second];
        if (listed.address) worker.address = *listed.address;
        worker.condition = listed.entry.condition;
        listed.entry.worker = position->second;
        update.entries.push_back(listed.entry);
    }
    version_ = version;
    return update;
}

} // namespace willowrill::discovery_client
