#include "system/control/list_owners.h"

#include "system/transport/process.h"

#include <utility>

namespace willowrill::control {
namespace {

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
    const messages::RoleAssignments roles{assigner_->assign(zones_, live, steady_now())};
    callbacks_.broadcast(roles);
    on(roles);
}

void ListOwners::on_message(const messages::EndpointListMessage& message) {
    std::visit([this](const auto& one) { on(one); }, message);
}

void ListOwners::on(const messages::ZoneListUnchanged& unchanged) {
    if (assigner_) assigner_->seen(unchanged.zone, unchanged.token, steady_now());
}

void ListOwners::on(const messages::RoleAssignments& roles) {
    for (const ownership::Assignment& role : roles.assignments) {
        if (role.owner == self_)
            reader_.own(role.key, role.token);
        else
            reader_.yield(role.key, role.token);
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
        return callbacks_.broadcast(messages::ZoneListUnchanged{list.zone, list.token});
    told_[list.zone] = now;
    callbacks_.broadcast(messages::ZoneListUpdate{list});
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

std::vector<messages::ZoneListUpdate> ListOwners::zone_list_updates() const {
    std::vector<messages::ZoneListUpdate> out;
    for (const auto& [zone, list] : catalogue_.zones())
        out.push_back({list});
    return out;
}

} // namespace willowrill::control
