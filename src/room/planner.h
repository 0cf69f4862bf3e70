// Room held for wide jobs, in the sense of EASY backfill: the first wide job that finds no worker has a
// reservation, anything may run that does not put it off. What is held idle is bounded in slot-seconds, for
// all schedulers together, though none knows of the others. Pure; which worker a job goes to is the module's.
#pragma once

#include "room/slots.h"

#include <array>
#include <span>
#include <vector>

namespace willowrill::room {

using WorkerId = std::uint32_t;

struct Wide { // a job that needs many slots
    JobId job = 0;
    std::size_t job_class = 0;
    double slots = 0;
    Time latest{0}; // the last start that is still of use to it
};

// A worker that the job could run on, as the module sees it: eligible, listed, within its cold budget.
struct Candidate {
    WorkerId worker = 0;
    std::size_t kind = 0;
    bool home = false; // rather here: other schedulers hold theirs elsewhere
    const Slots* slots = nullptr;
};

struct Reservation {
    JobId job = 0;
    WorkerId worker = 0;
    std::size_t kind = 0;
    double slots = 0;
    Time made{0}, start{0}; // by then the slots are free, with `Settings::sure`
    Time latest{0};
};

// Why room is let go of.
enum class LetGo : std::uint8_t {
    placed,     // its job runs, there or elsewhere
    left,       // its client did
    too_late,   // its latest useful start has passed, or cannot be kept any more
    gone,       // the worker is gone or restarted
    drains,     // the worker takes nothing new
    silent,     // its reports have stopped, and nothing says when slots come free
    over_bound, // as much is held idle as may be
    count_
};

struct Settings {
    std::size_t schedulers = 1;
    double idle_share =
        0.05;           // of the fleet's slots, that all schedulers together may hold idle in the long run
    double burst_s = 2; // and for so long the slots of one wide job at once
    double sure = 0.8;
    std::size_t most = 1; // reservations at a time
};

struct Statistics {
    std::uint64_t made = 0, moved = 0, backfilled = 0, kept_out = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(LetGo::count_)> let_go{};
    double idle_slot_seconds = 0;
};

class Planner {
  public:
    explicit Planner(Settings settings);

    // Slots of the fleet as the list has it; the bound follows it.
    void set_fleet(double slots) { fleet_slots_ = slots; }

    // Holds room for the job where it is free soonest, or sees whether a worker has become better by far than
    // the one held. Nothing: there is none that could be in time, or no more may be held.
    std::optional<Reservation> hold(const Wide& job, std::span<const Candidate> workers,
                                    const RunTimes& times, Time now);
    void let_go(JobId job, LetGo cause);
    void worker_lost(WorkerId worker, LetGo cause); // `gone` or `drains`

    // Whether a job may go to that worker now without putting off a job that has room there.
    bool open_to(WorkerId worker, JobId job, std::size_t job_class, double slots, const Slots& at,
                 const RunTimes& times, Time now);

    // Books what has been held idle since the last look, and lets go of what is of no use or beyond the
    // bound. `slots_of`: the belief of a worker, null where it is not known any more.
    template <class SlotsOf> void look(SlotsOf&& slots_of, Time now) {
        const Time before = looked_at_ < Time(0) ? now : looked_at_;
        budget_ = std::min(most_budget(),
                           budget_ + std::chrono::duration<double>(now - before).count() * fair_share());
        looked_at_ = now;
        for (std::size_t i = 0; i < held_.size();) {
            const Slots* slots = slots_of(held_[i].worker);
            const auto cause = useless(held_[i], slots, now - std::max(before, held_[i].made), now);
            if (!cause) {
                ++i;
                continue;
            }
            drop(i, *cause);
        }
    }

    const std::vector<Reservation>& held() const { return held_; }
    const Reservation* of(JobId job) const;
    const Statistics& statistics() const { return statistics_; }
    // Slots that this scheduler may hold idle in the long run.
    double fair_share() const {
        return settings_.idle_share * fleet_slots_ / static_cast<double>(settings_.schedulers);
    }

  private:
    double most_budget() const { return settings_.burst_s * widest_; }
    std::optional<LetGo> useless(const Reservation& one, const Slots* slots, Duration passed, Time now);
    void drop(std::size_t at, LetGo cause);

    Settings settings_;
    double fleet_slots_ = 0, widest_ = 4;
    double budget_; // slot-seconds that may still be held idle
    Time looked_at_{-1};
    std::vector<Reservation> held_; // bounded by `Settings::most`
    Statistics statistics_;
};

} // namespace willowrill::room
