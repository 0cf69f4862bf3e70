#include "system/discovery/instances.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace willowrill::discovery {
namespace {

using Json = nlohmann::json;

std::optional<Instance> read_instance(const Json& json) {
    Instance instance;
    instance.id = json.value("instanceId", std::string());
    instance.service = json.value("service", std::string());
    instance.address = json.value("address", std::string());
    instance.zone = json.value("zone", std::string());
    instance.capacity = std::max<std::size_t>(1, json.value("capacity", std::size_t{1}));
    if (json.value("state", std::string()) != "in_service") instance.state = InstanceState::draining;
    instance.cold_remaining = Milliseconds(static_cast<std::int64_t>(json.value("coldRemainingMs", 0.0)));
    if (instance.id.empty() || instance.service.empty() || instance.address.empty()) return std::nullopt;
    return instance;
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
    constexpr Milliseconds max_deviation{400};
    const auto same_instance = [&](const Instance& a, const Instance& b) {
        const Milliseconds expected = std::max(Milliseconds(0), a.cold_remaining - elapsed);
        const Milliseconds deviation = b.cold_remaining - expected;
        Instance normalized = b;
        normalized.cold_remaining = a.cold_remaining;
        return normalized == a && deviation < max_deviation && deviation > -max_deviation;
    };
    return std::ranges::equal(before, after, same_instance);
}

bool Catalogue::update(const ZoneList& list) {
    const auto found = zones_.find(list.zone);
    if (found != zones_.end()) {
        const ZoneList& current = found->second;
        if (list.token < current.token) return false;
        if (list.token == current.token && list.serial <= current.serial) return false;
    }
    zones_[list.zone] = list;
    return true;
}

} // namespace willowrill::discovery
