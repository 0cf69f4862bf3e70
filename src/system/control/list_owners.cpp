#include "system/control/list_owners.h"

#include "system/discovery/codec.h"
#include "system/transport/process.h"

#include <utility>

namespace willowrill::control {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds owner_patience{1600};
constexpr std::chrono::milliseconds retell_period{800};

} // namespace

ListOwners::ListOwners(asio::io_context& loop, const settings::Settings& settings, metrics::Metrics& metrics,
                       Callbacks callbacks)
    : self_(settings::to_text(settings.control)), callbacks_(std::move(callbacks)),
      reader_(loop, settings.platform, metrics,
              [this](const discovery::ZoneList& list) { on_own_list(list); }) {
    for (const auto& [zone, region] : settings.regions)
        zones_.push_back(zone);
}

void ListOwners::assign(std::uint64_t epoch, const std::vector<std::string>& live) {
    if (!assigner_ || assigner_epoch_ != epoch) {
        assigner_.emplace(epoch, owner_patience);
        assigner_epoch_ = epoch;
    }
    json list = json::array();
    for (const ownership::Assignment& one : assigner_->assign(zones_, live, steady_now()))
        list.push_back({{"zone", one.key}, {"owner", one.owner}, {"token", one.token}});
    const json message{{"type", "assign"}, {"assignments", std::move(list)}};
    callbacks_.broadcast(message);
    take_assignments(message);
}

void ListOwners::on_message(const std::string& type, const json& message) {
    if (type == "assign") return take_assignments(message);
    if (type == "zone") return take_list(message.at("list").get<discovery::ZoneList>());
    const auto token = message.at("token").get<discovery::FencingToken>();
    if (assigner_) assigner_->seen(message.at("zone").get<std::string>(), token, steady_now());
}

void ListOwners::take_assignments(const json& message) {
    for (const json& one : message.at("assignments")) {
        const auto zone = one.at("zone").get<std::string>();
        const auto token = one.at("token").get<discovery::FencingToken>();
        if (one.at("owner") == self_)
            reader_.own(zone, token);
        else
            reader_.yield(zone, token);
    }
    reader_.tick(Clock::now());
}

void ListOwners::on_own_list(const discovery::ZoneList& list) {
    const auto held = catalogue_.zones().find(list.zone);
    const bool same = held != catalogue_.zones().end() && held->second.token == list.token &&
                      discovery::same_content(held->second.instances, list.instances, retell_period / 2);
    take_list(list);
    const Clock::time_point now = Clock::now();
    if (same && now - told_[list.zone] < 4 * retell_period)
        return callbacks_.broadcast({{"type", "zone-unchanged"}, {"zone", list.zone}, {"token", list.token}});
    told_[list.zone] = now;
    callbacks_.broadcast({{"type", "zone"}, {"list", list}});
}

void ListOwners::take_list(const discovery::ZoneList& list) {
    if (!catalogue_.take(list)) return;
    if (assigner_) assigner_->seen(list.zone, list.token, steady_now());
    const Clock::time_point now = Clock::now();
    PublishedZone& before = published_[list.zone];
    const auto elapsed = std::chrono::duration_cast<discovery::Milliseconds>(now - before.at);
    const bool first = before.at == Clock::time_point{};
    if (!first && discovery::same_content(before.instances, list.instances, elapsed)) return;
    before = {list.instances, now};
    callbacks_.changed(list);
}

std::vector<json> ListOwners::messages() const {
    std::vector<json> out;
    for (const auto& [zone, list] : catalogue_.zones())
        out.push_back({{"type", "zone"}, {"list", list}});
    return out;
}

} // namespace willowrill::control
