// The world's other half: attempts on their way to workers and back, probes, and what workers tell.
#include "lab/spread/world.h"

#include <algorithm>
#include <utility>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;
constexpr Time connect_timeout = 250ms;

} // namespace

void SpreadWorld::send(Ask& ask, core::JobId job, Index number, std::size_t worker, Time give_up) {
    const std::size_t attempt = attempts_.size();
    attempts_.push_back({ask.scheduler, ask.life, worker, ask.number, job, number});
    schedulers_[ask.scheduler]->sent[{job, number}] = attempt;
    ask.attempts.push_back(attempt);
    ++ask.out;
    held_ -= std::exchange(ask.held, false) ? 1 : 0;
    if (faults_.is_cut(ask.scheduler, worker)) {
        at(now_ + connect_timeout, [this, attempt] { end(attempt, Outcome::connect_failed, {}); });
    } else {
        attempts_[attempt].coming = true;
        ++workers_[worker].coming;
        at(now_ + experiment_.delay, [this, attempt] { arrive(attempt); });
    }
    at(give_up, [this, attempt] {
        if (attempts_[attempt].over) return;
        call_off(attempt);
    });
}

void SpreadWorld::arrive(std::size_t number) {
    Attempt& one = attempts_[number];
    Worker& worker = workers_[one.worker];
    worker.coming -= std::exchange(one.coming, false) ? 1 : 0;
    if (one.over) return;
    const auto back = [&](Outcome outcome, std::optional<Report> report) {
        at(now_ + experiment_.delay, [this, number, outcome, report] { end(number, outcome, report); });
    };
    if (worker.post.gone && worker.post.crew.busy() == 0)
        return back(Outcome::connect_failed, {}); // its process has ended
    const Number job = asks_[one.ask].job;
    truth_.reached(job, one.worker, worker.entry.zone, one.scheduler, jobs_.work_s(job), worker.post.can_do(),
                   now_);
    if (worker.post.failing) return back(Outcome::error, report_of(one.worker));
    if (worker.post.crew.take(number, jobs_.work_s(job), now_) == Crew::Taken::full) {
        truth_.turned_away(job);
        return back(Outcome::full, report_of(one.worker));
    }
    one.at_worker = true;
    look(one.worker);
}

void SpreadWorld::look(std::size_t id) {
    Post& post = workers_[id].post;
    for (const Ticket ticket : post.crew.ended(now_)) {
        Attempt& one = attempts_[ticket];
        one.at_worker = false;
        if (faults_.is_cut(one.scheduler, id)) continue; // the answer is lost
        at(now_ + experiment_.delay,
           [this, ticket, report = report_of(id)] { end(ticket, Outcome::served, report); });
    }
    const auto next = post.to_wait_for(now_);
    if (!next) return;
    at(*next, [this, id, when = *next] {
        if (workers_[id].post.reached(when)) look(id);
    });
}

Report SpreadWorld::report_of(std::size_t id) {
    const Figures& told = workers_[id].post.figures(now_, chance_);
    return {.utilisation = told.utilisation, .free_slots = told.free_slots, .service_ms = told.service_ms};
}

void SpreadWorld::end(std::size_t number, Outcome outcome, std::optional<Report> report) {
    Attempt& one = attempts_[number];
    Scheduler& to = *schedulers_[one.scheduler];
    if (one.over) return;
    if (now_ < to.stopped_until) // it is read when the scheduler goes on
        return at(to.stopped_until, [this, number, outcome, report] { end(number, outcome, report); });
    one.over = true;
    Ask& ask = asks_[one.ask];
    --ask.out;
    if (!to.up || to.life != one.life) return;
    if (ask.open && ask.out == 0 && !std::exchange(ask.held, true)) ++held_;
    const auto told = experiment_.reports == Reports::answers ? report : std::nullopt;
    if (way_ == Way::module) {
        to.host->attempt_ended(one.job, one.number, outcome, now_, told,
                               outcome == Outcome::served ? "r" : "");
        return pump(one.scheduler);
    }
    to.reported.resize(workers_.size());
    if (told) to.reported[one.worker] = 1 - told->free_slots.value_or(0) / experiment_.slots;
    if (!ask.open) return;
    if (outcome == Outcome::served) return answered(ask, Ending::served, {}, true);
    const bool again = !may_have_run(outcome) || jobs_.effect(ask.job) == Effect::repeatable;
    again ? choose(ask) : answered(ask, Ending::failed, {}, false);
}

// Called off by its scheduler, or as its time is over: the worker drops it.
void SpreadWorld::call_off(std::size_t number) {
    Attempt& one = attempts_[number];
    const bool late = now_ >= jobs_.limit(asks_[one.ask].job);
    if (one.at_worker && !faults_.is_cut(one.scheduler, one.worker)) {
        workers_[one.worker].post.crew.drop(number, now_);
        one.at_worker = false;
        look(one.worker);
    }
    end(number, late ? Outcome::timed_out : Outcome::cancelled, {});
}

void SpreadWorld::probe(std::size_t scheduler, std::size_t worker) {
    const auto back = [this, scheduler, worker, life = schedulers_[scheduler]->life](
                          Outcome outcome, std::optional<Report> report, Time when) {
        at(when, [this, scheduler, worker, life, outcome, report] {
            Scheduler& to = *schedulers_[scheduler];
            if (!to.host || to.life != life) return;
            to.host->probed(static_cast<WorkerId>(worker), outcome, 2 * experiment_.delay, report);
            pump(scheduler);
        });
    };
    if (faults_.is_cut(scheduler, worker)) return back(Outcome::timed_out, {}, now_ + connect_timeout);
    back(Outcome::served, report_of(worker), now_ + 2 * experiment_.delay);
}

} // namespace willowrill::lab::spread
