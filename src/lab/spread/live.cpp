#include "lab/spread/live.h"

#include "lab/spread/live_world.h"

#include <stdexcept>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;
using net::http::write_answer;

constexpr Time front_notices = 50ms, patience = 60s;
constexpr int most_tries = 4;

} // namespace

// A client's request, on a connection of its own.
class LiveWorld::Ask final : public net::Connection::Owner {
  public:
    Ask(LiveWorld& in, Number of, std::size_t to, int so_many, std::string as)
        : world(in), job(of), scheduler(to), tries(so_many), id(std::move(as)),
          connection_(in.loop_, *this, net::connect_to(in.schedulers_[to].serves),
                      net::Connection::State::opening, 1U << 16U) {
        const Time left = in.wanted_at_[job] + in.experiment_.limit - in.now();
        const char* const classes[] = {"read", "keyed", "once"};
        connection_.write("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
                          "\r\nX-Priority-Class: " + classes[static_cast<std::size_t>(in.effects_[job])] +
                          "\r\nX-Timeout-Ms: " + std::to_string(left / 1ms) + "\r\nIdempotency-Key: k" +
                          std::to_string(job) + "\r\nContent-Length: 2\r\n\r\nhi");
    }
    void give_up() { over(0, {}, false); }

    LiveWorld& world;
    Number job;
    std::size_t scheduler;
    int tries;
    std::string id;
    std::size_t at_workers = 0;

  private:
    void on_input() override {
        connection_.consume(parser_.feed(connection_.input()));
        if (parser_.bad()) return over(-1, {}, false);
        if (!parser_.done()) return;
        const std::string* again = parser_.head().find("retry-after");
        const Time stay(static_cast<Time::rep>(again != nullptr ? std::stod(*again) * 1e9 : 0));
        over(parser_.head().status, stay, parser_.body() == "r");
    }
    void on_closed() override { over(-1, {}, false); }
    void over(int status, Time stay_away, bool by_a_worker) {
        connection_.close();
        const auto self =
            std::ranges::find_if(world.asks_, [&](const auto& one) { return one.get() == this; });
        if (self == world.asks_.end()) return;
        world.loop_.bury(std::move(*self));
        world.asks_.erase(self);
        world.by_id_.erase(id);
        if (at_workers > 0) --world.at_workers_;
        world.answered(*this, status, stay_away, by_a_worker);
    }

    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::answer};
};

// ----------------------------------------------------------------------------------------------- clients

void LiveWorld::load(std::size_t scheduler, double per_s) {
    const Time next = now() + chance_.wait(per_s);
    if (next >= experiment_.lasts) return;
    at(next, [this, scheduler, per_s] {
        const Number job = works_.size();
        works_.push_back(chance_.work(seconds(experiment_.run), experiment_.run_spread));
        wanted_at_.push_back(now());
        const double kind = chance_.uniform();
        effects_.push_back(kind < 0.6 ? Effect::repeatable : kind < 0.8 ? Effect::keyed : Effect::once);
        truth_.wants(job, effects_.back(), now());
        ask(job, scheduler, 1);
        load(scheduler, per_s);
    });
}

void LiveWorld::ask(Number job, std::size_t scheduler, int tries) {
    const Time limit = wanted_at_[job] + experiment_.limit;
    if (now() + 20ms >= limit) return truth_.lost_with_scheduler(job, now());
    if (!schedulers_[scheduler].up) { // the front finds another
        return at(now() + front_notices,
                  [this, job, tries] { ask(job, chance_.below(schedulers_.size()), tries); });
    }
    const std::string id = "j" + std::to_string(job) + "-" + std::to_string(++last_id_);
    const auto one = std::make_shared<Ask>(*this, job, scheduler, tries, id);
    asks_.push_back(one);
    by_id_[id] = one.get();
    at(limit + 100ms, [this, id] { // its client leaves
        if (const auto found = by_id_.find(id); found != by_id_.end()) found->second->give_up();
    });
}

void LiveWorld::answered(Ask& ask, int status, Time stay_away, bool by_a_worker) {
    const Time limit = wanted_at_[ask.job] + experiment_.limit;
    const bool broken = status < 0; // a connection that did not come up, or broke: with its scheduler
    const bool refused = status == 503 || status == 429;
    const auto again = [&](Time when) {
        at(when, [this, job = ask.job, tries = ask.tries] {
            this->ask(job, chance_.below(schedulers_.size()), tries + 1);
        });
    };
    if (refused && ask.tries < most_tries && now() + stay_away + experiment_.run < limit)
        return again(now() + stay_away);
    if (broken && effects_[ask.job] == Effect::repeatable && ask.tries < most_tries)
        return again(now() + front_notices);
    const Ending ending = status == 200 ? Ending::served
                          : refused     ? Ending::refused
                          : status == 0 ? Ending::left
                                        : Ending::failed;
    if (broken) return truth_.lost_with_scheduler(ask.job, now());
    truth_.answered(ask.job, ending, by_a_worker, now(), limit + 1s); // this process itself may lag
}

// ----------------------------------------------------------------------------------------------- workers

void LiveWorld::arrive(std::size_t at, Server::Call call, const net::http::Head& head) {
    Worker& worker = *workers_[at];
    const std::string* id = head.find("x-request-id");
    if (head.method == "GET") return worker.server.answer(call, write_answer(200, {}, report(at))); // a probe
    if (id == nullptr || id->empty()) return worker.server.answer(call, write_answer(400, {}, ""));
    const Number job = std::stoull(id->substr(1));
    const auto ask = by_id_.find(*id);
    const std::size_t scheduler = ask == by_id_.end() ? 0 : ask->second->scheduler;
    if (ask != by_id_.end() && is_cut(scheduler, at)) return; // it never came
    truth_.reached(job, at, at % experiment_.zones, scheduler, works_[job],
                   worker.crew.slots() * std::max(0.01, worker.crew.speed()), now());
    if (worker.failing) return worker.server.answer(call, write_answer(500, {{"X-Load", report(at)}}, ""));
    const std::size_t before = worker.crew.queued();
    if (worker.crew.take(call, works_[job], now()) == Crew::Taken::full) {
        truth_.turned_away(job);
        return worker.server.answer(call, write_answer(503, {{"X-Not-Processed", "1"}}, ""));
    }
    queued_ += worker.crew.queued() - before;
    worker.held[call] = {job, scheduler, *id};
    if (ask != by_id_.end() && ask->second->at_workers++ == 0) ++at_workers_;
    look(at);
}

void LiveWorld::called_off(std::size_t at, Server::Call call) {
    Worker& worker = *workers_[at];
    const auto found = worker.held.find(call);
    if (found == worker.held.end()) return;
    if (const auto ask = by_id_.find(found->second.id); ask != by_id_.end() && --ask->second->at_workers == 0)
        --at_workers_;
    worker.held.erase(found);
    const std::size_t before = worker.crew.queued();
    worker.crew.drop(call, now());
    queued_ -= before - worker.crew.queued();
    look(at);
}

void LiveWorld::look(std::size_t id) {
    Worker& worker = *workers_[id];
    const std::size_t before = worker.crew.queued();
    const auto ended = worker.crew.ended(now());
    queued_ -= before - worker.crew.queued();
    for (const Ticket call : ended) {
        const auto found = worker.held.find(call);
        if (found == worker.held.end()) continue;
        const Held held = std::move(found->second);
        worker.held.erase(found);
        if (const auto ask = by_id_.find(held.id); ask != by_id_.end() && --ask->second->at_workers == 0)
            --at_workers_;
        if (is_cut(held.scheduler, id)) continue; // the answer is lost
        const std::string load = experiment_.reports == Reports::answers ? ",\"load\":" + report(id) : "";
        worker.server.answer(call,
                             write_answer(200, {},
                                          "{\"id\":\"" + held.id + "\",\"from\":\"w" + std::to_string(id) +
                                              "\",\"state\":\"done\",\"result\":\"r\"" + load + "}\n"));
    }
    const auto next = worker.crew.next();
    if (!next || (worker.due > now() && worker.due <= *next)) return;
    worker.due = *next;
    at(*next, [this, id, when = *next] {
        if (workers_[id]->due != when) return;
        workers_[id]->due = Time(-1);
        look(id);
    });
}

std::string LiveWorld::report(std::size_t id) {
    Worker& worker = *workers_[id];
    if (worker.report_at >= 0ns && now() - worker.report_at < experiment_.report_every) return worker.report;
    const double noise = 1 + experiment_.report_noise * (2 * chance_.uniform() - 1);
    const int busy = worker.frozen || worker.failing ? 0 : worker.crew.busy();
    worker.report_at = now();
    worker.report = "{\"util\":" + std::to_string(std::min(1.0, busy * noise / worker.crew.slots())) +
                    ",\"latency_ms\":" + std::to_string(100 * noise) +
                    ",\"x0\":" + std::to_string(worker.crew.slots() - busy) + "}";
    return worker.report;
}

bool LiveWorld::is_sound(const Worker& one) const {
    const bool cold = one.started_ms > 0 && now() - one.up_since < experiment_.cold;
    return !one.gone && !one.failing && one.slow <= 1 && !cold;
}

void LiveWorld::note_state() {
    std::size_t sound = 0, with_room = 0;
    for (const auto& one : workers_) {
        if (!is_sound(*one)) continue;
        ++sound;
        if (one->crew.free() > 0) ++with_room;
    }
    truth_.state(sound, with_room, asks_.size() - at_workers_ + queued_, now());
}

// --------------------------------------------------------------------------------------------------- run

Measures LiveWorld::run(const std::function<void(const std::string&)>& progress) {
    begun_ = loop_.now();
    for (std::size_t id = 0; id < experiment_.workers; ++id)
        workers_.push_back(std::make_unique<Worker>(*this, id));
    schedulers_.resize(experiment_.schedulers);
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        launch(i);
        if (i % 20 == 19) loop_.run_once(20ms); // not all at one moment: this process serves them, too
    }
    const Time until = loop_.now() + patience;
    for (std::size_t up = 0; up < schedulers_.size();) {
        loop_.run_once(10ms);
        up = 0;
        for (std::size_t i = 0; i < schedulers_.size(); ++i)
            up += ready(i) ? 1 : 0;
        if (loop_.now() > until)
            throw std::runtime_error("only " + std::to_string(up) +
                                     " schedulers have started within a minute");
    }
    begun_ = loop_.now();
    const auto weight = [&](std::size_t i) { return i % 10 == 3 ? experiment_.uneven : 1.0; };
    double weights = 0;
    for (std::size_t i = 0; i < schedulers_.size(); ++i)
        weights += weight(i);
    const double all = experiment_.load * static_cast<double>(experiment_.workers) * experiment_.slots /
                       seconds(experiment_.run);
    for (std::size_t i = 0; i < schedulers_.size(); ++i)
        load(i, all * weight(i) / weights);
    for (const Fault& fault : experiment_.faults) {
        at(fault.from, [this, &fault] { begin(fault); });
        at(fault.to, [this, &fault] { end(fault); });
    }
    at(experiment_.warm_up, [this] {
        for (const auto& one : workers_)
            one->busy_at_warm = one->crew.busy_s(now());
    });
    at(experiment_.lasts, [this] {
        const double span = seconds(now() - experiment_.warm_up) * experiment_.slots;
        for (std::size_t id = 0; id < experiment_.workers; ++id) {
            const Worker& one = *workers_[id];
            if (is_sound(one)) truth_.busy_share((one.crew.busy_s(now()) - one.busy_at_warm) / span);
        }
    });
    Time told{-1s};
    while (now() < experiment_.lasts ||
           (!asks_.empty() && now() < experiment_.lasts + experiment_.limit + 1s)) {
        loop_.run_once(5ms);
        if (now() < experiment_.lasts) note_state();
        if (progress && now() - told >= 1s) {
            told = now();
            progress(std::to_string(now() / 1s) + " s of " + std::to_string(experiment_.lasts / 1s) + ", " +
                     std::to_string(asks_.size()) + " requests open");
        }
    }
    for (std::size_t i = 0; i < schedulers_.size(); ++i)
        if (schedulers_[i].process->ended()) truth_.broke("a scheduler has ended by itself", i);
    return truth_.measures(experiment_.lasts);
}

Measures play_live(const Experiment& experiment, const LiveOptions& options,
                   const std::function<void(const std::string&)>& progress) {
    return LiveWorld(experiment, options).run(progress);
}

} // namespace willowrill::lab::spread
