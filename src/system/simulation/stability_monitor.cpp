#include "system/simulation/stability_monitor.h"

#include <fmt/format.h>

#include <algorithm>

namespace willowrill::simulation {
namespace {

constexpr Time sync_time{4000};    // a core that was complete for so long has repaired itself
constexpr Time contact_time{4000}; // machines are in touch so long after the last fault began or ended
constexpr Time check_period{200};

} // namespace

StabilityMonitor::StabilityMonitor(const Scenario& scenario, Environment& environment, Machines& machines)
    : scenario_(scenario), environment_(environment), machines_(machines) {}

void StabilityMonitor::start() { watch(); }

bool StabilityMonitor::may_lose_disk() {
    if (!scenario_.wipes || disks_lost_ >= scenario_.tolerated) return false;
    ++disks_lost_;
    note_member_lost();
    return true;
}

bool StabilityMonitor::is_settled() {
    if (std::ranges::any_of(machines_.present(), &Member::is_shutting_down)) return false;
    return is_complete() && complete_since_ && environment_.queue.now() - *complete_since_ >= sync_time;
}

bool StabilityMonitor::is_healthy(Member& member) const {
    const Disk& disk = member.disk();
    const Time now = environment_.queue.now();
    return member.answers() && now >= disk.stalled_until && now >= disk.refusing_until;
}

// Healthy members that reach enough others to decide, whatever else is wrong.
std::vector<Member*> StabilityMonitor::deciding() {
    const auto all = machines_.present();
    std::vector<Member*> out;
    for (Member* member : all) {
        if (!is_healthy(*member)) continue;
        const auto reached = std::ranges::count_if(all, [&](Member* other) {
            return other != member && is_healthy(*other) &&
                   environment_.network.reaches(member->node(), other->node());
        });
        if (static_cast<std::size_t>(reached) + 1 >= all.size() - scenario_.tolerated) out.push_back(member);
    }
    return out;
}

// As many members as there should be, all healthy, and each reaches each other one.
bool StabilityMonitor::is_complete() {
    const auto all = machines_.present();
    if (all.size() != scenario_.members) return false;
    return std::ranges::all_of(all, [&](Member* one) {
        return is_healthy(*one) && std::ranges::all_of(all, [&](Member* other) {
                   return other == one || environment_.network.reaches(one->node(), other->node());
               });
    });
}

void StabilityMonitor::watch() {
    const Time now = environment_.queue.now();
    if (!is_complete())
        complete_since_.reset();
    else if (!complete_since_)
        complete_since_ = now;
    if (complete_since_ && now - *complete_since_ >= sync_time) {
        if (scenario_.trace && disks_lost_ > 0) fmt::print(stderr, "{} disks made good\n", now.count());
        disks_lost_ = 0;
    }
    check_schedulers();
    environment_.queue.after(check_period, [this] { watch(); });
}

// What is in force at schedulers in touch while the core is stable.
void StabilityMonitor::check_schedulers() {
    const Time now = environment_.queue.now();
    if (now - last_event_ < contact_time) return;
    const auto core = deciding();
    // A disk that was lost counts as a loss until it is made good.
    if (core.size() + scenario_.tolerated < machines_.present().size() + disks_lost_) return;
    for (Scheduler& scheduler : machines_.schedulers()) {
        if (!scheduler.up() || now - scheduler.started() < contact_time) continue;
        const bool in_touch = std::ranges::all_of(core, [&](Member* member) {
            return environment_.network.reaches(scheduler.node(), member->node());
        });
        if (in_touch)
            environment_.history.active_configuration(scheduler.name(), scheduler.version(),
                                                      scheduler.evacuated());
    }
}

} // namespace willowrill::simulation
