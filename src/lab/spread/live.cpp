#include "lab/spread/live.h"

#include "lab/spread/live_world.h"

#include <stdexcept>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;
using net::http::write_response;

constexpr Time patience = 60s;

} // namespace

// A client's connection to one scheduler: it carries one request at a time and rests in between.
class LiveWorld::Line final : public net::Connection::Owner {
  public:
    Line(LiveWorld& in, std::size_t to)
        : world_(in), scheduler_(to), connection_(in.loop_, *this, net::connect_to(in.schedulers_[to].serves),
                                                  net::Connection::State::opening, 1U << 16U) {}
    bool rests() const { return !ask_; }
    void carry(std::shared_ptr<Ask> ask) {
        const Time left = world_.jobs_.limit(ask->job) - world_.now();
        const char* const classes[] = {"read", "keyed", "once"};
        connection_.write(
            "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + ask->id +
            "\r\nX-Priority-Class: " + classes[static_cast<std::size_t>(world_.jobs_.effect(ask->job))] +
            "\r\nX-Timeout-Ms: " + std::to_string(left / 1ms) + (ask->tries > 1 ? "\r\nX-Retried: 1" : "") +
            "\r\nIdempotency-Key: k" + std::to_string(ask->job) + "\r\nContent-Length: 2\r\n\r\nhi");
        parser_.restart();
        ask->line = this;
        ask_ = std::move(ask);
    }
    void give_up() { end(0, {}, false); } // its client leaves

  private:
    void on_input() override {
        if (!ask_) return close(); // nobody has asked for it
        connection_.consume(parser_.feed(connection_.input()));
        if (parser_.bad()) return end(-1, {}, false);
        if (!parser_.done()) return;
        const std::string* again = parser_.head().find("retry-after");
        const std::string* connection = parser_.head().find("connection");
        const Time stay(static_cast<Time::rep>(again != nullptr ? std::stod(*again) * 1e9 : 0));
        const int status = parser_.head().status;
        const bool by_a_worker = parser_.body() == "r";
        used_ = true;
        if (connection != nullptr && *connection == "close") return end(status, stay, by_a_worker);
        world_.over(std::exchange(ask_, nullptr), status, stay, by_a_worker);
    }
    // A scheduler may close between requests. What that crosses is sent once more, on a new connection; what
    // one that was killed had is lost with it.
    void on_closed() override {
        const bool crossed = ask_ && used_ && !parser_.begun() && !ask_->sent_again;
        if (!crossed || !world_.schedulers_[scheduler_].up) return end(-1, {}, false);
        const std::shared_ptr<Ask> ask = std::exchange(ask_, nullptr);
        ask->sent_again = true;
        close();
        world_.carry(ask, true);
    }
    void end(int status, Time stay_away, bool by_a_worker) {
        const std::shared_ptr<Ask> ask = std::exchange(ask_, nullptr);
        close();
        if (ask) world_.over(ask, status, stay_away, by_a_worker);
    }
    void close() {
        connection_.close();
        auto& lines = world_.schedulers_[scheduler_].lines;
        const auto self = std::ranges::find_if(lines, [&](const auto& one) { return one.get() == this; });
        if (self == lines.end()) return;
        world_.loop_.defer_destruction(std::move(*self));
        lines.erase(self);
    }

    LiveWorld& world_;
    std::size_t scheduler_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::response};
    std::shared_ptr<Ask> ask_;
    bool used_ = false; // an answer has come on it
};

// ----------------------------------------------------------------------------------------------- clients

void LiveWorld::load(std::size_t scheduler, double per_s) {
    const Time next = faults_.next_job(scheduler, per_s, now(), chance_);
    if (next >= experiment_.lasts) return;
    at(next, [this, scheduler, per_s] {
        ask(jobs_.want(chance_, now()), scheduler, 1);
        load(scheduler, per_s);
    });
}

void LiveWorld::ask(Number job, std::size_t scheduler, int tries) {
    const Time limit = jobs_.limit(job);
    if (now() + 20ms >= limit) return truth_.lost_with_scheduler(job, now());
    Scheduler& to = schedulers_[scheduler];
    const bool noticed = to.ending_from >= Time(0) && now() >= to.ending_from + front_notices;
    if (!to.up || (noticed && !resting_line(scheduler))) {
        return at(now() + front_notices, // the front finds another
                  [this, job, tries] { ask(job, chance_.below(schedulers_.size()), tries); });
    }
    const std::string id = "j" + std::to_string(job) + "-" + std::to_string(++last_id_);
    const auto one = std::make_shared<Ask>(Ask{.job = job, .scheduler = scheduler, .tries = tries, .id = id});
    by_id_[id] = one;
    carry(one, false);
    at(limit + 100ms, [this, id] { // its client leaves
        if (const auto found = by_id_.find(id); found != by_id_.end()) found->second->line->give_up();
    });
}

std::shared_ptr<LiveWorld::Line> LiveWorld::resting_line(std::size_t scheduler) const {
    const auto& lines = schedulers_[scheduler].lines;
    const auto found = std::ranges::find_if(lines, [](const auto& one) { return one->rests(); });
    return found == lines.end() ? nullptr : *found;
}

void LiveWorld::carry(const std::shared_ptr<Ask>& ask, bool anew) {
    const auto serves = [this](std::size_t at) {
        return schedulers_[at].up && schedulers_[at].ending_from < Time(0);
    };
    if (anew && !serves(ask->scheduler)) { // the front knows of another
        const std::size_t count = schedulers_.size(), from = chance_.below(count);
        for (std::size_t i = 0; i < count && !serves(ask->scheduler); ++i)
            ask->scheduler = (from + i) % count;
    }
    auto line = anew ? nullptr : resting_line(ask->scheduler);
    if (!line) {
        line = std::make_shared<Line>(*this, ask->scheduler);
        schedulers_[ask->scheduler].lines.push_back(line);
    }
    line->carry(ask);
}

void LiveWorld::over(const std::shared_ptr<Ask>& ask, int status, Time stay_away, bool by_a_worker) {
    by_id_.erase(ask->id);
    if (ask->at_workers > 0) --at_workers_;
    answered(*ask, status, stay_away, by_a_worker);
}

void LiveWorld::answered(Ask& ask, int status, Time stay_away, bool by_a_worker) {
    const bool broken = status < 0; // a connection that did not come up, or broke: with its scheduler
    const bool refused = status == 503 || status == 429;
    const auto again = [&](Time when) {
        at(when, [this, job = ask.job, tries = ask.tries] {
            this->ask(job, chance_.below(schedulers_.size()), tries + 1);
        });
    };
    if (refused && jobs_.comes_back(ask.job, ask.tries, now() + stay_away)) return again(now() + stay_away);
    if (broken && jobs_.asks_again(ask.job, ask.tries)) return again(now() + front_notices);
    const Ending ending = status == 200 ? Ending::served
                          : refused     ? Ending::refused
                          : status == 0 ? Ending::left
                                        : Ending::failed;
    if (broken) return truth_.lost_with_scheduler(ask.job, now());
    truth_.answered(ask.job, ending, by_a_worker, now(),
                    jobs_.limit(ask.job) + 1s); // this process itself may lag
}

// ----------------------------------------------------------------------------------------------- workers

void LiveWorld::arrive(std::size_t at, Server::Call call, const net::http::Head& head) {
    Worker& worker = *workers_[at];
    const std::string* id = head.find("x-request-id");
    if (head.method == "GET")
        return worker.server.answer(call, write_response(200, {}, report(at))); // a probe
    if (id == nullptr || id->empty()) return worker.server.answer(call, write_response(400, {}, ""));
    const Number job = std::stoull(id->substr(1));
    const auto ask = by_id_.find(*id);
    const std::size_t scheduler = ask == by_id_.end() ? 0 : ask->second->scheduler;
    if (ask != by_id_.end() && faults_.is_cut(scheduler, at)) return; // it never came
    truth_.reached(job, at, at % experiment_.zones, scheduler, jobs_.work_s(job), worker.post.can_do(),
                   now());
    if (worker.post.failing) return worker.server.answer(call, write_response(500, load_header(at), ""));
    if (worker.post.crew.take(call, jobs_.work_s(job), now()) == Crew::Taken::full) {
        truth_.turned_away(job);
        auto fields = load_header(at);
        fields.emplace_back("X-Not-Processed", "1");
        return worker.server.answer(call, write_response(503, fields, ""));
    }
    worker.held[call] = {job, scheduler, *id};
    if (ask != by_id_.end() && ask->second->at_workers++ == 0) ++at_workers_;
    look(at);
}

std::optional<LiveWorld::Held> LiveWorld::let_go(Worker& worker, Server::Call call) {
    const auto found = worker.held.find(call);
    if (found == worker.held.end()) return std::nullopt;
    Held held = std::move(found->second);
    worker.held.erase(found);
    if (const auto ask = by_id_.find(held.id); ask != by_id_.end() && --ask->second->at_workers == 0)
        --at_workers_;
    return held;
}

void LiveWorld::called_off(std::size_t at, Server::Call call) {
    Worker& worker = *workers_[at];
    if (!let_go(worker, call)) return;
    worker.post.crew.drop(call, now());
    look(at);
}

void LiveWorld::look(std::size_t id) {
    Worker& worker = *workers_[id];
    for (const Ticket call : worker.post.crew.ended(now())) {
        const auto held = let_go(worker, call);
        if (!held || faults_.is_cut(held->scheduler, id)) continue; // the answer is lost
        const std::string load = experiment_.reports == Reports::answers ? ",\"load\":" + report(id) : "";
        worker.server.answer(call,
                             write_response(200, {},
                                            "{\"id\":\"" + held->id + "\",\"from\":\"w" + std::to_string(id) +
                                                "\",\"state\":\"done\",\"result\":\"r\"" + load + "}\n"));
    }
    const auto next = worker.post.to_wait_for(now());
    if (!next) return;
    at(*next, [this, id, when = *next] {
        if (workers_[id]->post.reached(when)) look(id);
    });
}

std::string LiveWorld::report(std::size_t id) {
    const Figures& told = workers_[id]->post.figures(now(), chance_);
    return "{\"util\":" + std::to_string(told.utilisation) +
           ",\"latency_ms\":" + std::to_string(told.service_ms) +
           ",\"x0\":" + std::to_string(told.free_slots) + "}";
}

// As answers that are no 200 carry it, where answers carry load at all.
net::http::Fields LiveWorld::load_header(std::size_t id) {
    if (experiment_.reports != Reports::answers) return {};
    const Figures& told = workers_[id]->post.figures(now(), chance_);
    return {{"X-Server-Load", "util=" + std::to_string(told.utilisation) +
                                  ",latency_ms=" + std::to_string(told.service_ms) +
                                  ",x0=" + std::to_string(told.free_slots)}};
}

void LiveWorld::note_state() {
    Standing all;
    for (const auto& one : workers_)
        all.add(one->post, now());
    truth_.state(all.sound, all.with_room, by_id_.size() - at_workers_ + all.queued, now());
}

// --------------------------------------------------------------------------------------------------- run

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
Measures LiveWorld::run(const std::function<void(const std::string&)>& progress) {
    begun_ = loop_.now();
    for (std::size_t id = 0; id < experiment_.workers; ++id)
        workers_.push_back(std::make_unique<Worker>(*this, id, Time(-1)));
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
    const std::vector<double> per_s = arrivals(experiment_);
    for (std::size_t i = 0; i < schedulers_.size(); ++i)
        load(i, per_s[i]);
    for (const Fault& fault : experiment_.faults) {
        at(fault.from, [this, &fault] { begin(fault); });
        at(fault.to, [this, &fault] { end(fault); });
    }
    at(experiment_.warm_up, [this] {
        for (const auto& one : workers_)
            one->post.mark_busy(now());
    });
    at(experiment_.lasts, [this] {
        const double span = seconds(now() - experiment_.warm_up) * experiment_.slots;
        for (std::size_t id = 0; id < experiment_.workers; ++id) {
            const Post& one = workers_[id]->post;
            if (one.is_sound(now())) truth_.busy_share(one.busy_since_mark(now()) / span);
        }
    });
    Time told{-1s};
    while (now() < experiment_.lasts ||
           (!by_id_.empty() && now() < experiment_.lasts + experiment_.limit + 1s)) {
        loop_.run_once(5ms);
        if (now() < experiment_.lasts) note_state();
        if (progress && now() - told >= 1s) {
            told = now();
            progress(std::to_string(now() / 1s) + " s of " + std::to_string(experiment_.lasts / 1s) + ", " +
                     std::to_string(by_id_.size()) + " requests open");
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
