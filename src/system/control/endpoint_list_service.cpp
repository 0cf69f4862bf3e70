#include "system/control/endpoint_list_service.h"

#include "system/transport/process.h"

#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds owner_timeout{1600};
constexpr std::chrono::milliseconds republish_period{800};

} // namespace

EndpointListService::EndpointListService(asio::io_context& loop, const settings::Settings& settings,
                                         std::shared_ptr<budget::ByteBudget> input_memory,
                                         metrics::Metrics& metrics, Callbacks callbacks)
    : self_(settings::to_text(settings.control)), callbacks_(std::move(callbacks)),
      poller_(loop, settings.platform, settings.regions.size(), std::move(input_memory), metrics,
              [this](const discovery::ZoneList& list) { on_own_list(list); }) {
    for (const auto& [zone, region] : settings.regions)
        zones_.push_back(zone);
}

void EndpointListService::assign(std::uint64_t epoch, const std::vector<std::string>& live_members) {
    if (!assigner_ || assigner_epoch_ != epoch) {
        // Prefers to assign all zones to one member, which can read them together with fewer platform calls.
        assigner_.emplace(epoch, owner_timeout, ownership::Placement::colocated);
        assigner_epoch_ = epoch;
    }
    const messages::RoleAssignments roles{assigner_->assign(zones_, live_members, steady_now())};
    callbacks_.broadcast(roles);
    on(roles);
}

void EndpointListService::on_message(const messages::EndpointListMessage& message) {
    std::visit([this](const auto& one) { on(one); }, message);
}

void EndpointListService::on(const messages::ZoneListUnchanged& unchanged) {
    if (assigner_) assigner_->on_owner_activity(unchanged.zone, unchanged.token, steady_now());
}

void EndpointListService::on(const messages::RoleAssignments& roles) {
    for (const ownership::Assignment& role : roles.assignments) {
        if (role.owner == self_)
            poller_.start_polling(role.key, role.token);
        else
            poller_.stop_polling(role.key, role.token);
    }
    poller_.tick(Clock::now());
}

void EndpointListService::on_own_list(const discovery::ZoneList& list) {
    const auto stored = catalogue_.zones().find(list.zone);
    const bool is_unchanged =
        stored != catalogue_.zones().end() && stored->second.token == list.token &&
        discovery::same_content(stored->second.instances, list.instances, republish_period / 2);
    apply_list(list);
    const Clock::time_point now = Clock::now();
    if (is_unchanged && now - list_sent_at_[list.zone] < 4 * republish_period)
        return callbacks_.broadcast(messages::ZoneListUnchanged{list.zone, list.token});
    list_sent_at_[list.zone] = now;
    callbacks_.broadcast(messages::ZoneListUpdate{list});
}

void EndpointListService::apply_list(const discovery::ZoneList& list) {
    if (!catalogue_.update(list)) return;
    if (assigner_) assigner_->on_owner_activity(list.zone, list.token, steady_now());
    const Clock::time_point now = Clock::now();
    PublishedZone& previous = published_[list.zone];
    const auto elapsed = std::chrono::duration_cast<discovery::Milliseconds>(now - previous.published_at);
    const bool is_first = previous.published_at == Clock::time_point{};
    if (!is_first && discovery::same_content(previous.instances, list.instances, elapsed)) return;
    previous = {list.instances, now};
    callbacks_.changed(list);
}

std::vector<messages::ZoneListUpdate> EndpointListService::zone_list_updates() const {
    std::vector<messages::ZoneListUpdate> result;
    for (const auto& [zone, list] : catalogue_.zones())
        result.push_back({list});
    return result;
}

} // namespace willowrill::control
