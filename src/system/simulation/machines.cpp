#include "system/simulation/machines.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace willowrill::simulation {
namespace {

constexpr NodeId first_scheduler_node = 1000;

} // namespace

Machines::Machines(const Scenario& scenario, Environment& environment)
    : scenario_(scenario), environment_(environment) {
    for (std::size_t i = 0; i < scenario.members; ++i) {
        add_member(true);
        if (i < scenario.seeds) environment.seeds.push_back(members_.back().id());
    }
    for (std::size_t i = 0; i < scenario.schedulers; ++i)
        schedulers_.emplace_back(environment, first_scheduler_node + i, fmt::format("scheduler-{}", i));
    members_.front().fails_as_primary = scenario.fails_as_primary;
}

Member* Machines::find(const MemberId& id) {
    const auto found = std::ranges::find(members_, id, &Member::id);
    return found == members_.end() ? nullptr : &*found;
}

Member& Machines::add_member(bool initial_start) {
    const std::size_t number = members_.size();
    Member& member =
        members_.emplace_back(environment_, number, fmt::format("10.{}.0.1:8000", number + 1), initial_start);
    member.disk().forgets_registers = scenario_.break_forgets_registers;
    member.disk().hides_failures = scenario_.break_hides_failures;
    member.break_forgets_orders = scenario_.break_forgets_orders;
    if (scenario_.upgrades && !environment_.upgrade_ordered) member.install(older_program);
    return member;
}

std::vector<Member*> Machines::present() {
    std::vector<Member*> out;
    for (Member& member : members_)
        if (!member.removed) out.push_back(&member);
    return out;
}

std::vector<Member*> Machines::present_in_random_order() {
    auto all = present();
    for (std::size_t i = 0; i < all.size(); ++i)
        std::swap(all[i], all[environment_.queue.index(all.size())]);
    return all;
}

Member& Machines::random_member() {
    const auto all = present();
    return *all[environment_.queue.index(all.size())];
}

Scheduler& Machines::random_scheduler() { return schedulers_[environment_.queue.index(schedulers_.size())]; }

} // namespace willowrill::simulation
