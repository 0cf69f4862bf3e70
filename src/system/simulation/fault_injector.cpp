#include "system/simulation/fault_injector.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace willowrill::simulation {
namespace {

constexpr Time first_fault{3000}; // nothing fails while the core starts for the first time
constexpr Time restart_delay{500};
constexpr Time successor_delay{1000}; // until the successor of a member that is gone for good starts
constexpr Time member_sync_time{
    4000}; // after this long a successor is expected to have replaced its predecessor

} // namespace

FaultInjector::FaultInjector(const Scenario& scenario, Environment& environment, Machines& machines,
                             StabilityMonitor& monitor, Operators& operators)
    : scenario_(scenario), environment_(environment), queue_(environment.queue),
      network_(environment.network), history_(environment.history), machines_(machines), monitor_(monitor),
      operators_(operators) {}

void FaultInjector::start() {
    if (scenario_.fault_gap.count() > 0) queue_.after(first_fault, [this] { schedule_fault(); });
}

// Runs the end of a fault, which is an event of its own.
void FaultInjector::end_after(Time duration, std::function<void()> end) {
    queue_.after(duration, [this, end = std::move(end)] {
        monitor_.note_event();
        end();
    });
}

void FaultInjector::schedule_fault() {
    const auto mean = scenario_.fault_gap.count();
    // Now and then a second one comes during the repair of the first.
    const Time gap =
        queue_.chance() < 0.25 ? Time(queue_.uniform(1500)) : Time(mean / 4 + queue_.uniform(mean * 3 / 2));
    queue_.after(gap, [this] {
        if (over_) return;
        if (queue_.now() < next_fault_at_) return schedule_fault();
        ++history_.outcome().faults;
        monitor_.note_event();
        inject();
        schedule_fault();
    });
}

Time FaultInjector::some_duration() {
    const auto longest = scenario_.max_fault.count();
    return Time(200 + queue_.uniform(queue_.chance() < 0.1 ? 4 * longest : longest));
}

void FaultInjector::inject() {
    using Fault = void (FaultInjector::*)(Time);
    static constexpr Fault always[] = {
        &FaultInjector::kill_one,     &FaultInjector::lose_power_of_one, &FaultInjector::freeze_one,
        &FaultInjector::cut_off_one,  &FaultInjector::cut_off_one,       &FaultInjector::cut_one_way,
        &FaultInjector::split_halves, &FaultInjector::reset_one,         &FaultInjector::restart_scheduler,
        &FaultInjector::roll_one,     &FaultInjector::turn_over_seeds,   &FaultInjector::cut_scheduler,
        &FaultInjector::wipe_one,     &FaultInjector::lose_one_ring};
    static constexpr Fault of_disks[] = {&FaultInjector::refuse_saves, &FaultInjector::refuse_saves,
                                         &FaultInjector::stall_disk, &FaultInjector::slow_disk};
    static constexpr Fault of_herds[] = {&FaultInjector::kill_all, &FaultInjector::lose_all_power,
                                         &FaultInjector::kill_some};
    static constexpr Fault of_replacement[] = {&FaultInjector::replace_planned,
                                               &FaultInjector::replace_unplanned};
    static constexpr Fault of_cuts[] = {
        &FaultInjector::replace_two_beside_a_cut, &FaultInjector::replace_two_beside_a_cut,
        &FaultInjector::replace_two_beside_a_cut, &FaultInjector::replace_two_beside_a_cut,
        &FaultInjector::replace_two_beside_a_cut, &FaultInjector::replace_two_beside_a_cut};
    static constexpr Fault of_versions[] = {&FaultInjector::change_version, &FaultInjector::change_version,
                                            &FaultInjector::change_version, &FaultInjector::change_version};
    std::vector<Fault> all(std::begin(always), std::end(always));
    if (scenario_.upgrades) all.insert(all.end(), std::begin(of_versions), std::end(of_versions));
    if (scenario_.disk_faults) all.insert(all.end(), std::begin(of_disks), std::end(of_disks));
    if (scenario_.herds) all.insert(all.end(), std::begin(of_herds), std::end(of_herds));
    if (scenario_.replacements) all.insert(all.end(), std::begin(of_replacement), std::end(of_replacement));
    if (scenario_.replacements_beside_cuts) all.insert(all.end(), std::begin(of_cuts), std::end(of_cuts));
    const std::size_t chosen = queue_.index(all.size());
    const Time duration = some_duration();
    if (scenario_.trace)
        fmt::print(stderr, "{} fault {} for {}\n", queue_.now().count(), chosen, duration.count());
    (this->*all[chosen])(duration);
}

void FaultInjector::stop_for(Member& member, Time duration, bool power_lost) {
    monitor_.note_member_lost();
    member.stop(power_lost);
    end_after(duration, [&member] { member.start(); });
}

void FaultInjector::kill_one(Time duration) {
    stop_for(machines_.random_member(), std::min(duration, restart_delay), false);
}
void FaultInjector::lose_power_of_one(Time duration) { stop_for(machines_.random_member(), duration, true); }

void FaultInjector::wipe_one(Time duration) {
    Member& member = machines_.random_member();
    stop_for(member, duration, true);
    if (monitor_.may_lose_disk()) member.disk().wipe();
}

void FaultInjector::lose_one_ring(Time duration) {
    Member& member = machines_.random_member();
    stop_for(member, std::min(duration, restart_delay), true);
    if (!monitor_.may_lose_disk()) return;
    if (queue_.chance() < 0.5)
        member.disk().lose_registers();
    else
        member.disk().lose_states();
}

void FaultInjector::freeze_one(Time duration) {
    // One that wakes may still take itself for the primary: somebody asks it before it has read anything.
    end_after(duration + Time{1}, [this] { operators_.read_at_some_primary(); });
    machines_.random_member().freeze(duration);
}

void FaultInjector::cut_pair(NodeId one, NodeId other, bool out, bool in) {
    if (out) network_.cut(one, other);
    if (in) network_.cut(other, one);
}

void FaultInjector::cut_off(Member& member, Time duration, bool out, bool in, bool from_schedulers) {
    for (Member* other : machines_.present())
        if (other != &member) cut_pair(member.node(), other->node(), out, in);
    if (from_schedulers)
        for (const Scheduler& scheduler : machines_.schedulers())
            cut_pair(member.node(), scheduler.node(), out, in);
    end_after(duration, [this, node = member.node()] { heal_node(node); });
}

void FaultInjector::heal_node(NodeId node) {
    for (const Member& other : machines_.members()) {
        network_.heal(node, other.node());
        network_.heal(other.node(), node);
    }
    for (const Scheduler& scheduler : machines_.schedulers()) {
        network_.heal(node, scheduler.node());
        network_.heal(scheduler.node(), node);
    }
}

// With restarts inside the cut now and then, on both sides.
void FaultInjector::cut_off_one(Time duration) {
    Member& member = machines_.random_member();
    cut_off(member, duration, true, true, queue_.chance() < 0.3);
    if (queue_.chance() < 0.3)
        queue_.after(duration / 2, [this, &member] { stop_for(member, restart_delay, false); });
    if (queue_.chance() < 0.2) queue_.after(duration / 2, [this] { kill_one(restart_delay); });
    if (queue_.chance() < 0.2)
        end_after(duration + Time{50}, [this, &member] {
            for (Member* other : machines_.present())
                if (other != &member) stop_for(*other, restart_delay, false);
        });
}

void FaultInjector::cut_one_way(Time duration) {
    const bool out = queue_.chance() < 0.5;
    cut_off(machines_.random_member(), duration, out, !out, false);
}

void FaultInjector::split_halves(Time duration) {
    const auto all = machines_.present_in_random_order();
    const std::size_t half = all.size() / 2;
    for (std::size_t i = 0; i < half; ++i)
        for (std::size_t j = half; j < all.size(); ++j)
            cut_pair(all[i]->node(), all[j]->node(), true, true);
    end_after(duration, [this] { network_.heal_all(); });
}

void FaultInjector::reset_one(Time) { network_.reset_connections(machines_.random_member().node()); }

void FaultInjector::restart_scheduler(Time duration) {
    Scheduler& scheduler = machines_.random_scheduler();
    scheduler.stop();
    end_after(std::min(duration, restart_delay), [&scheduler] { scheduler.start(); });
}

void FaultInjector::cut_scheduler(Time duration) {
    const Scheduler& scheduler = machines_.random_scheduler();
    for (Member* member : machines_.present())
        if (queue_.chance() < 0.6) cut_pair(scheduler.node(), member->node(), true, true);
    end_after(duration, [this, node = scheduler.node()] { heal_node(node); });
}

void FaultInjector::roll_one(Time) {
    Member& member = machines_.random_member();
    member.shut_down([this, &member] { end_after(restart_delay, [&member] { member.start(); }); });
}

void FaultInjector::turn_over_seeds(Time) {
    auto all = machines_.present();
    environment_.seeds.clear();
    while (!all.empty() && environment_.seeds.size() < scenario_.seeds) {
        const std::size_t i = queue_.index(all.size());
        environment_.seeds.push_back(all[i]->id());
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

void FaultInjector::replace_planned(Time) {
    if (machines_.members().size() >= max_members || machines_.present().size() > scenario_.members ||
        !monitor_.may_lose_disk())
        return;
    Member& old = machines_.random_member();
    machines_.add_member(false).start();
    end_after(Time{1000}, [this, &old] {
        if (!old.up()) return void(old.removed = true);
        old.shut_down([this, &old] {
            monitor_.note_event();
            monitor_.note_member_lost();
            old.removed = true;
        });
    });
}

void FaultInjector::replace_unplanned(Time) {
    if (machines_.members().size() >= max_members || machines_.present().size() > scenario_.members ||
        !monitor_.may_lose_disk())
        return;
    Member& old = machines_.random_member();
    old.stop(true);
    old.removed = true;
    end_after(successor_delay, [this] { machines_.add_member(false).start(); });
}

// Each loss is made good before the next one: the primary reaches the first successor all the while.
void FaultInjector::replace_two_beside_a_cut(Time) {
    const auto all = machines_.present_in_random_order();
    const auto primary = std::ranges::find_if(all, [](const Member* one) { return one->is_primary(); });
    if (machines_.members().size() + 2 > max_members || all.size() != scenario_.members ||
        primary == all.end() || !monitor_.is_settled() || !monitor_.may_lose_disk())
        return;
    Member& first = **std::ranges::find_if(all, [&](const Member* one) { return one != *primary; });
    Member& second =
        **std::ranges::find_if(all, [&](const Member* one) { return one != *primary && one != &first; });
    next_fault_at_ = queue_.now() + 2 * (successor_delay + member_sync_time);
    first.stop(true);
    first.removed = true;
    end_after(successor_delay, [this, &second] {
        Member& successor = add_successor();
        cut_pair(successor.node(), second.node(), true, true);
        successor.start();
    });
    queue_.after(successor_delay + member_sync_time, [this, &second] {
        if (over_) return;
        monitor_.note_event();
        monitor_.note_member_lost();
        second.stop(true);
        second.removed = true;
        end_after(successor_delay, [this] { add_successor().start(); });
    });
}

// Its settings name members that are there.
Member& FaultInjector::add_successor() {
    turn_over_seeds(Time{0});
    return machines_.add_member(false);
}

// A roll-out, which may turn round half-way until the upgrade is finished.
void FaultInjector::change_version(Time duration) {
    Member& member = machines_.random_member();
    const bool back =
        member.installed() == newer_program && !environment_.upgrade_ordered && queue_.chance() < 0.4;
    member.install(back ? older_program : newer_program);
    stop_for(member, std::min(duration, restart_delay), queue_.chance() < 0.2);
}

void FaultInjector::refuse_saves(Time duration) {
    Disk& disk = machines_.random_member().disk();
    disk.refusing_until = queue_.now() + duration;
    end_after(duration, [] {});
    if (queue_.chance() < 0.5) kill_one(duration);
}

void FaultInjector::stall_disk(Time duration) {
    machines_.random_member().disk().stalled_until = queue_.now() + duration;
    end_after(duration, [] {});
}

void FaultInjector::slow_disk(Time duration) {
    Disk& disk = machines_.random_member().disk();
    disk.sync_time = Time{150};
    end_after(duration, [&disk] { disk.sync_time = Time{5}; });
}

void FaultInjector::kill_all(Time) {
    for (Member* member : machines_.present())
        stop_for(*member, Time(1 + queue_.uniform(900)), false);
}

void FaultInjector::kill_some(Time) {
    for (Member* member : machines_.present())
        if (queue_.chance() < 0.6) stop_for(*member, Time(1 + queue_.uniform(900)), false);
}

void FaultInjector::lose_all_power(Time duration) {
    for (Member* member : machines_.present())
        stop_for(*member, duration, true);
}

void FaultInjector::inject_final_fault() {
    ++history_.outcome().faults;
    monitor_.note_event();
    heal();
    for (Member* member : machines_.present_in_random_order()) {
        stop_for(*member, Time(1 + queue_.uniform(1400)), true);
        if (monitor_.may_lose_disk()) member->disk().wipe();
    }
}

// Who finishes an upgrade leaves no older program behind.
void FaultInjector::roll_out(Member& member) {
    if (member.installed() == newer_program) return;
    member.install(newer_program);
    if (member.up()) stop_for(member, restart_delay, false);
}

void FaultInjector::heal() {
    monitor_.note_event();
    network_.heal_all();
    for (Member* member : machines_.present()) {
        if (environment_.upgrade_ordered) roll_out(*member);
        member->thaw();
        Disk& disk = member->disk();
        disk.refusing_until = disk.stalled_until = Time{0};
        disk.sync_time = Time{5};
        queue_.after(Time(1500), [member] { member->start(); });
    }
    for (Scheduler& scheduler : machines_.schedulers())
        scheduler.start();
}

} // namespace willowrill::simulation
