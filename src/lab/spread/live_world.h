// The world of an experiment with real processes: what `live.h` promises.
#pragma once

#include "lab/process.h"
#include "lab/spread/chance.h"
#include "lab/spread/crew.h"
#include "lab/spread/live.h"
#include "lab/spread/server.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::lab::spread {

class LiveWorld {
  public:
    LiveWorld(const Experiment& experiment, const LiveOptions& options)
        : experiment_(experiment), options_(options), chance_(experiment.seed), truth_(experiment_),
          timer_(loop_.wheel(), [this] { due(); }) {}

    Measures run(const std::function<void(const std::string&)>& progress);

  private:
    struct Held { // a job at a worker
        Number job = 0;
        std::size_t scheduler = 0;
        std::string id;
    };
    struct Worker {
        Worker(LiveWorld& world, std::size_t at)
            : crew(world.experiment_.slots, world.experiment_.queue),
              server(world.loop_, {[&world, at](Server::Call call, const net::http::Head& head,
                                                const std::string&) { world.arrive(at, call, head); },
                                   [&world, at](Server::Call call) { world.called_off(at, call); }}) {}
        Crew crew;
        Server server;
        std::map<Server::Call, Held> held{};
        bool failing = false, frozen = false, gone = false;
        double slow = 1;
        Time up_since{0};
        std::int64_t started_ms = 0;
        Time due{-1}, report_at{-1};
        std::string report{}; // as last made up
        double busy_at_warm = 0;
    };
    struct Scheduler {
        std::unique_ptr<Process> process{};
        std::unique_ptr<Server> discovery{};
        net::Endpoint serves{};
        bool up = false;
        Time late{0};
        std::vector<bool> listed{}; // by worker, as discovery has told it
        std::uint64_t version = 1;
        std::vector<Server::Call> watches{};
    };
    class Ask;

    Time now() const { return loop_.now() - begun_; }
    void at(Time when, std::function<void()> action) {
        events_.emplace(std::max(when, now()), std::move(action));
        timer_.arm(begun_ + events_.begin()->first);
    }
    void due() {
        while (!events_.empty() && events_.begin()->first <= now()) {
            const auto action = std::move(events_.extract(events_.begin()).mapped());
            action();
        }
        if (!events_.empty()) timer_.arm(begun_ + events_.begin()->first);
    }
    bool hit(std::size_t which, double share, const Fault& fault, bool worker) const {
        const auto salt = static_cast<std::uint64_t>(&fault - experiment_.faults.data()) + (worker ? 500 : 0);
        return chosen(experiment_.seed, which, share, salt);
    }
    bool is_cut(std::size_t scheduler, std::size_t worker) const {
        for (const Fault* one : cuts_)
            if (hit(scheduler, one->schedulers, *one, false) && hit(worker, one->workers, *one, true))
                return true;
        return false;
    }

    void launch(std::size_t scheduler);
    bool ready(std::size_t scheduler);
    void await(std::size_t scheduler); // looks again and again until it is
    std::string config(std::size_t scheduler) const;
    std::string list(std::size_t scheduler) const;
    void on_discovery(std::size_t scheduler, Server::Call call, const net::http::Head& head);
    void begin(const Fault& fault);
    void end(const Fault& fault);
    void replace(std::size_t worker);
    void set_speed(std::size_t worker);

    void load(std::size_t scheduler, double per_s);
    void ask(Number job, std::size_t scheduler, int tries);
    void answered(Ask& ask, int status, Time stay_away, bool by_a_worker);

    void arrive(std::size_t worker, Server::Call call, const net::http::Head& head);
    void called_off(std::size_t worker, Server::Call call);
    void look(std::size_t worker);
    std::string report(std::size_t worker);
    bool is_sound(const Worker& one) const;
    void note_state();

    const Experiment experiment_;
    const LiveOptions options_;
    Chance chance_;
    net::Loop loop_;
    Time begun_{0};
    Truth truth_;
    net::Timer timer_;
    std::multimap<Time, std::function<void()>> events_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<Scheduler> schedulers_;
    std::vector<const Fault*> cuts_;
    std::vector<Effect> effects_; // by job, as the next two
    std::vector<double> works_;
    std::vector<Time> wanted_at_;
    std::list<std::shared_ptr<Ask>> asks_;
    std::map<std::string, Ask*> by_id_; // of those open
    std::uint64_t last_id_ = 0;
    std::size_t at_workers_ = 0; // asks that some worker has
    std::size_t queued_ = 0;
};

} // namespace willowrill::lab::spread
