#include "system/discovery/instances.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace willowrill::discovery {
namespace {

using Json = nlohmann::json;

std::optional<Instance> read_instance(const Json& in) {
    Instance out;
    out.id = in.value("instanceId", std::string());
    out.service = in.value("service", std::string());
    out.address = in.value("address", std::string());
    out.zone = in.value("zone", std::string());
    out.capacity = std::max<std::size_t>(1, in.value("capacity", std::size_t{1}));
    if (in.value("state", std::string()) != "in_service") out.state = InstanceState::draining;
    out.cold_remaining = Milliseconds(static_cast<std::int64_t>(in.value("coldRemainingMs", 0.0)));
    if (out.id.empty() || out.service.empty() || out.address.empty()) return std::nullopt;
    return out;
}

} // namespace

errors::Result<Page> parse_page(const std::string& body) {
    Page page;
    try {
        const Json json = Json::parse(body);
        for (const Json& entry : json.at("instances"))
            if (auto instance = read_instance(entry)) page.instances.push_back(std::move(*instance));
        if (json.contains("nextToken") && json.at("nextToken").is_string())
            page.next_token = json.at("nextToken").get<std::string>();
    } catch (const std::exception& error) {
        return errors::Error{errors::ErrorKind::malformed_request, error.what()};
    }
    return page;
}

bool same_content(const std::vector<Instance>& before, const std::vector<Instance>& after,
                  Milliseconds elapsed) {
    constexpr Milliseconds drift{400};
    const auto alike = [&](const Instance& a, const Instance& b) {
        const Milliseconds expected = std::max(Milliseconds(0), a.cold_remaining - elapsed);
        const Milliseconds off = b.cold_remaining - expected;
        Instance plain = b;
        plain.cold_remaining = a.cold_remaining;
        return plain == a && off < drift && off > -drift;
    };
    return std::ranges::equal(before, after, alike);
}

bool Catalogue::update(const ZoneList& list) {
    const auto found = zones_.find(list.zone);
    if (found != zones_.end()) {
        const ZoneList& held = found->second;
        if (list.token < held.token) return false;
        if (list.token == held.token && list.serial <= held.serial) return false;
    }
    zones_[list.zone] = list;
    return true;
}

} // namespace willowrill::discovery
