// The world of an experiment in virtual time: what `virtual.h` promises.
#pragma once

#include "lab/spread/stage.h"
#include "lab/spread/virtual.h"
#include "scheduler/core/host.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace willowrill::lab::spread {

class SpreadWorld {
  public:
    SpreadWorld(const Experiment& experiment, Way way);
    ~SpreadWorld();
    Measures run(const std::function<void(Time)>& progress);

  private:
    struct Worker {
        Post post;
        WorkerEntry entry{};
        int coming = 0; // attempts on their way to it
    };
    struct Ask; // of a client, at one scheduler
    struct Scheduler;
    struct Attempt { // of one ask at one worker
        std::size_t scheduler = 0, life = 0, worker = 0, ask = 0;
        core::JobId job = 0;
        Index number = 0;
        bool over = false, at_worker = false, coming = false;
    };
    void at(Time when, std::function<void()> action) {
        calendar_.add(std::max(when, now_), std::move(action));
    }
    Settings settings_of(std::size_t scheduler) const;

    // ---- faults and the list
    void begin(const Fault& fault);
    void end(const Fault& fault);
    void lose(std::size_t scheduler);
    void replace(std::size_t worker);
    void announce(const std::vector<WorkerEntry>& entries);
    void start(std::size_t scheduler);
    EndpointListUpdate whole_list() const;

    // ---- clients
    void load(std::size_t scheduler, double per_s);
    void ask(Number job, std::size_t scheduler, int tries);
    void answered(Ask& ask, Ending ending, Time stay_away, bool by_a_worker);

    // ---- attempts
    void send(Ask& ask, core::JobId job, Index number, std::size_t worker, Time give_up);
    void arrive(std::size_t attempt);
    void end(std::size_t attempt, Outcome outcome, std::optional<Report> report);
    void call_off(std::size_t attempt);
    void probe(std::size_t scheduler, std::size_t worker);
    void look(std::size_t worker); // what has ended there
    Report report_of(std::size_t worker);
    void set_speed(std::size_t worker);
    void note_state();

    // ---- schedulers
    void pump(std::size_t scheduler);
    void choose(Ask& ask); // the simple ways
    std::optional<std::size_t> pick(const Ask& ask);

    const Experiment experiment_;
    Way way_;
    Chance chance_;
    Time now_{0};
    Calendar calendar_;
    Truth truth_;
    Jobs jobs_;
    Faults faults_;
    std::deque<Worker> workers_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::deque<Ask> asks_;
    std::vector<Attempt> attempts_;
    std::size_t held_ = 0; // asks at schedulers
};

struct SpreadWorld::Ask final : core::Client {
    Ask(SpreadWorld& in, std::size_t as, Number of, std::size_t at, int so_many)
        : world(in), number(as), job(of), scheduler(at), tries(so_many) {}
    void on_served(std::string_view result) override {
        world.answered(*this, Ending::served, {}, result == "r");
    }
    void on_refused(core::Duration stay_away) override {
        world.answered(*this, Ending::refused, stay_away, false);
    }
    void on_failed() override { world.answered(*this, Ending::failed, {}, false); }

    SpreadWorld& world;
    std::size_t number; // among all asks
    Number job;
    std::size_t scheduler, life = 0;
    int tries;
    core::JobId id = 0; // at its scheduler
    bool open = true, held = false;
    std::size_t out = 0;
    std::vector<std::size_t> attempts{};
};

struct SpreadWorld::Scheduler final : core::Upstream, core::WorkerListSource {
    Scheduler(SpreadWorld& in, std::size_t at) : world(in), self(at) {}
    void start(core::JobId job, Index attempt, WorkerId worker, Time give_up, Time,
               const core::Message& message) override {
        world.send(world.asks_[std::stoul(message.id)], job, attempt, worker, give_up);
    }
    void cancel(core::JobId job, Index attempt) override {
        const std::size_t found = sent.at({job, attempt});
        if (!world.attempts_[found].over) world.call_off(found);
    }
    void cancel_if_unsent(core::JobId, core::Index) override {} // here a request goes out at once
    void probe(WorkerId worker) override { world.probe(self, worker); }
    void watch(bool) override {}

    SpreadWorld& world;
    std::size_t self, life = 0;
    std::unique_ptr<core::Host> host{};
    std::map<std::pair<core::JobId, Index>, std::size_t> sent{}; // attempts, in this life and former ones
    bool up = true, ending = false;
    Time stopped_until{0}, silent_until{0}, due{-1}, late{0};
    std::vector<double> reported{}; // the simple ways: by worker
    std::vector<bool> listed{};
};

} // namespace willowrill::lab::spread
