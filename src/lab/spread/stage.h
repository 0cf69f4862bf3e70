// What an experiment's two worlds have in common, whatever carries the work: what is due and when, workers as
// faults have left them, whom a fault hits, the jobs that clients want and when these come back.
#pragma once

#include "lab/spread/chance.h"
#include "lab/spread/crew.h"
#include "lab/spread/experiment.h"
#include "lab/spread/truth.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace willowrill::lab::spread {

inline constexpr Time front_notices{50'000'000}; // that a scheduler is gone
inline constexpr Time warming_step{250'000'000}; // in which a cold worker's speed follows its age

// What is due, the earliest first, and of one moment in the order in which it was added.
class Calendar {
  public:
    void add(Time when, std::function<void()> action) { due_.emplace(when, std::move(action)); }
    std::optional<Time> next() const {
        return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
    }
    std::function<void()> take() { return std::move(due_.extract(due_.begin()).mapped()); }

  private:
    std::multimap<Time, std::function<void()>> due_;
};

struct Figures { // that a worker tells
    double utilisation = 0, free_slots = 0, service_ms = 0;
};

// A worker, as faults have left it.
class Post {
  public:
    explicit Post(const Experiment& experiment, Time up_since = Time(-1))
        : crew(experiment.slots, experiment.queue), up_since(up_since), experiment_(experiment) {}

    Crew crew;
    bool failing = false, frozen = false, gone = false;
    double slow = 1;
    const Time up_since; // negative: long ago

    bool is_cold(Time now) const { return up_since >= Time(0) && now - up_since < experiment_.cold; }
    bool is_sound(Time now) const { return !gone && !failing && slow <= 1 && !is_cold(now); }
    double speed(Time now) const; // over that of a warm, sound one
    double can_do() const;        // slots that it is worth at this moment
    // Made up every so often, with some noise, and told until the next.
    const Figures& figures(Time now, Chance& chance);
    // When the next job ends there, if nobody waits for that moment yet; `reached`: it has come.
    std::optional<Time> to_wait_for(Time now);
    bool reached(Time when);

    void mark_busy(Time now) { busy_before_ = crew.busy_s(now); }
    double busy_since_mark(Time now) const { return crew.busy_s(now) - busy_before_; } // slot-seconds

  private:
    const Experiment& experiment_;
    Figures figures_;
    Time made_at_{-1}, waited_for_{-1};
    double busy_before_ = 0;
};

// The workers' state at a moment, for `Truth::state`.
struct Standing {
    std::size_t sound = 0, with_room = 0, queued = 0;
    void add(const Post& one, Time now);
};

// Whom faults hit, the same for a whole run, and what they do to workers.
class Faults {
  public:
    explicit Faults(const Experiment& experiment) : experiment_(experiment) {}
    bool hits_scheduler(const Fault& fault, std::size_t which) const;
    bool hits_worker(const Fault& fault, std::size_t which) const;
    bool is_cut(std::size_t scheduler, std::size_t worker) const;
    // When the next job comes to a scheduler that gets so many a second when all is calm.
    Time next_job(std::size_t scheduler, double per_s, Time now, Chance& chance) const;

    void begin(const Fault& fault);
    void end(const Fault& fault);
    // True: its speed is another from now on.
    static bool strike(const Fault& fault, Post& worker);
    static bool heal(const Fault& fault, Post& worker);

  private:
    std::uint64_t salt(const Fault& fault) const;
    const Experiment& experiment_;
    double rate(std::size_t scheduler, Time at) const; // over that when all is calm
    std::vector<const Fault*> cuts_;                   // under way
};

// What clients want, by number.
class Jobs {
  public:
    Jobs(const Experiment& experiment, Truth& truth) : experiment_(experiment), truth_(truth) {}
    Number want(Chance& chance, Time now); // most may be repeated, as it is where errors are taken in
    Effect effect(Number job) const { return jobs_[job].effect; }
    double work_s(Number job) const { return jobs_[job].work_s; }
    Time limit(Number job) const { return jobs_[job].limit; } // when its client leaves
    // A client that has been turned away, or whose scheduler has died, asks once more.
    bool comes_back(Number job, int tries, Time when) const {
        return tries < most_tries && when + experiment_.run < limit(job);
    }
    bool asks_again(Number job, int tries) const {
        return tries < most_tries && effect(job) == Effect::repeatable;
    }

  private:
    static constexpr int most_tries = 4;
    struct Job {
        Effect effect{};
        double work_s = 0;
        Time at{0}, limit{0};
    };
    const Experiment& experiment_;
    Truth& truth_;
    std::vector<Job> jobs_;
};

// Jobs a second at each scheduler; one in ten gets `uneven` times as many as another.
std::vector<double> arrivals(const Experiment& experiment);

} // namespace willowrill::lab::spread
