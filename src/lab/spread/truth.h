// What really happened in a run, as workers and clients saw it, and the measures made of it. It is told by
// the emulated side alone and believes no scheduler. The same for virtual time and for real processes.
#pragma once

#include "lab/spread/experiment.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace willowrill::lab::spread {

using Number = std::uint64_t; // of a job: what one client wants done, however often it asks

enum class Ending : std::uint8_t { served, refused, failed, left };
// What a second run would do; the middle one is dropped by the workers of a zone.
enum class Effect : std::uint8_t { repeatable, keyed, once };

struct View { // of the jobs that came in a part of the run
    std::uint64_t jobs = 0, good = 0, late = 0, refused = 0, failed = 0;
    double goodput() const { return jobs > 0 ? static_cast<double>(good) / static_cast<double>(jobs) : 1; }
};

struct Measures {
    View all, before, during, after, later; // a fault; after: within 5 s of its end, later: beyond
    // Herd: work that reached one worker in a window, over what it can do in it.
    double herd_100ms_p99 = 0, herd_100ms_worst = 0, herd_1s_p99 = 0, herd_1s_worst = 0;
    double crowd_p99 = 0, crowd_worst = 0; // schedulers that one worker was sent to by, in 100 ms
    // Share of the time of ready, warm, sound workers in which one has a free slot while a job waits
    // somewhere.
    double idle = 0;
    double evenness = 0; // standard deviation of such workers' busy share over its mean
    double attempts_per_job = 0;
    double recovery_s = 0; // after the faults, until a second's goodput is within 10 points of that before
    std::vector<View> by_second;     // by when jobs came
    std::vector<std::string> broken; // rules, a sentence each
};

class Truth {
  public:
    explicit Truth(const Experiment& experiment);

    // ---- Clients
    void wants(Number job, Effect effect, Time now);
    void answered(Number job, Ending ending, bool by_a_worker, Time now, Time limit);
    void broke(std::string what, Number job); // a rule
    void lost_with_scheduler(Number job, Time now) { end(job, Ending::failed, now); }

    // ---- Workers. `work_s`: slot-seconds; `slots`: those it has, times its speed.
    void reached(Number job, std::size_t worker, std::size_t zone, std::size_t scheduler, double work_s,
                 double can_do, Time now);
    void turned_away(Number job);                    // it did not run there
    void drained_by(std::size_t worker, Time known); // to each scheduler; negative: again ready

    // ---- Idleness: from now on so many sound workers, so many of them with a free slot, so many jobs
    // waiting
    void state(std::size_t sound, std::size_t with_room, std::size_t waiting, Time now);
    void busy_share(double share) { busy_.push_back(share); }

    Measures measures(Time end) const;

  private:
    struct Job {
        Effect effect{};
        Time at{0};
        bool over = false;
        std::uint32_t attempts = 0;
        std::uint32_t may_have_run = 0;
        std::size_t zone = 0; // of the first that may have run
        Time first{0};
    };
    struct Load {
        double ratio = 0;
        std::set<std::size_t> schedulers{};
    };
    void end(Number job, Ending ending, Time now);
    View& second(Time at);

    const Experiment& experiment_;
    std::vector<Job> jobs_; // as many as the run has
    std::vector<View> by_second_;
    // By worker and window; each run has as many as it lasts.
    std::map<std::pair<std::size_t, std::int64_t>, Load> in_100ms_;
    std::map<std::pair<std::size_t, std::int64_t>, double> in_1s_;
    std::map<std::size_t, Time> drained_;
    std::uint64_t attempts_ = 0;
    Time state_at_{0};
    std::size_t sound_ = 0, with_room_ = 0, waiting_ = 0;
    double sound_s_ = 0, idle_s_ = 0;
    std::vector<double> busy_;
    std::vector<std::string> broken_; // at most `most_told`
    static constexpr std::size_t most_told = 20;
};

} // namespace willowrill::lab::spread
