// The world of an experiment with real processes: what `live.h` promises.
#pragma once

#include "lab/process.h"
#include "lab/server.h"
#include "lab/spread/live.h"
#include "lab/spread/stage.h"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::lab::spread {

class LiveWorld {
  public:
    LiveWorld(const Experiment& experiment, const LiveOptions& options)
        : experiment_(experiment), options_(options), chance_(experiment.seed), truth_(experiment_),
          jobs_(experiment_, truth_), faults_(experiment_), timer_(loop_.timer_wheel(), [this] { due(); }) {}

    Measures run(const std::function<void(const std::string&)>& progress);

  private:
    struct Held { // a job at a worker
        Number job = 0;
        std::size_t scheduler = 0;
        std::string id;
    };
    struct Worker {
        Worker(LiveWorld& world, std::size_t at, Time up_since)
            : post(world.experiment_, up_since),
              server(world.loop_, {[&world, at](Server::Call call, const net::http::Head& head,
                                                const std::string&) { world.arrive(at, call, head); },
                                   [&world, at](Server::Call call) { world.called_off(at, call); }}) {}
        Post post;
        Server server;
        std::map<Server::Call, Held> held{};
        std::int64_t started_ms = 0; // Unix time; 0 for long ago
    };
    struct Ask;
    class Line;
    struct Scheduler {
        std::unique_ptr<Process> process{};
        std::unique_ptr<Server> discovery{};
        net::Endpoint serves{};
        std::list<std::shared_ptr<Line>> lines{}; // clients' connections to it
        bool up = false;
        Time ending_from{-1}; // it was told to end then; negative: it was not
        Time late{0};
        Time notified_by{0};        // what happens before counts as told then, as a watch has fallen silent
        std::vector<bool> listed{}; // by worker, as discovery has told it
        std::uint64_t version = 1;
        std::vector<Server::Call> watches{};
    };
    struct Ask { // a client's request
        Number job = 0;
        std::size_t scheduler = 0;
        int tries = 1;
        std::string id{};
        std::size_t at_workers = 0;
        bool sent_again = false; // it crossed the end of its connection
        Line* line = nullptr;    // that carries it
    };

    Time now() const { return loop_.now() - begun_; }
    void at(Time when, std::function<void()> action) {
        calendar_.add(std::max(when, now()), std::move(action));
        timer_.arm(begun_ + *calendar_.next());
    }
    void due() {
        auto next = calendar_.next();
        for (; next && *next <= now(); next = calendar_.next())
            calendar_.take()();
        if (next) timer_.arm(begun_ + *next);
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
    std::shared_ptr<Line> resting_line(std::size_t scheduler) const; // none: all are busy
    void carry(const std::shared_ptr<Ask>& ask, bool anew);          // `anew`: on a new connection
    void over(const std::shared_ptr<Ask>& ask, int status, Time stay_away, bool by_a_worker);
    void answered(Ask& ask, int status, Time stay_away, bool by_a_worker);

    void arrive(std::size_t worker, Server::Call call, const net::http::Head& head);
    void called_off(std::size_t worker, Server::Call call);
    std::optional<Held> let_go(Worker& worker, Server::Call call); // it is at that worker no more
    void look(std::size_t worker);
    std::string report(std::size_t worker);
    net::http::Fields load_header(std::size_t worker);
    void note_state();

    const Experiment experiment_;
    const LiveOptions options_;
    Chance chance_;
    net::Loop loop_;
    Time begun_{0};
    Truth truth_;
    Jobs jobs_;
    Faults faults_;
    net::Timer timer_;
    Calendar calendar_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<Scheduler> schedulers_;
    std::map<std::string, std::shared_ptr<Ask>> by_id_; // those open
    std::uint64_t last_id_ = 0;
    std::size_t at_workers_ = 0; // asks that some worker has
};

} // namespace willowrill::lab::spread
