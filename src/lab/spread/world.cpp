#include "lab/spread/world.h"

#include "scheduler/discovery_client/watch_timeouts.h"

#include <algorithm>
#include <utility>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;

constexpr Time connect_timeout = 250ms, answer_slack = 20ms;
const discovery_client::WatchTimeouts watch =
    discovery_client::compute_watch_timeouts(10s, 1s); // as the program has them
constexpr std::size_t most_open = 20000, max_bytes = 1U << 30U;

} // namespace

SpreadWorld::SpreadWorld(const Experiment& experiment, Way way)
    : experiment_(experiment), way_(way), chance_(experiment.seed), truth_(experiment_),
      jobs_(experiment_, truth_), faults_(experiment_) {}
SpreadWorld::~SpreadWorld() = default;

Settings SpreadWorld::settings_of(std::size_t scheduler) const {
    Settings out;
    out.seed = mix64(experiment_.seed * 100000 + scheduler);
    out.self = static_cast<Index>(scheduler);
    out.dispatchers = static_cast<Index>(experiment_.schedulers);
    out.zones = static_cast<Index>(experiment_.zones);
    out.zone = static_cast<Index>(scheduler % experiment_.zones);
    for (const willowrill::Effect effect :
         {willowrill::Effect::repeatable, willowrill::Effect::keyed, willowrill::Effect::once})
        out.classes.push_back({.effect = effect,
                               .repeat_scope = RepeatScope::zone,
                               .repeat_window = 10s,
                               .aim = experiment_.wanted,
                               .give_up = experiment_.limit});
    out.tick = 5ms;
    out.reports_with_answers = experiment_.reports == Reports::answers;
    out.probes = out.reports_with_probes = experiment_.reports == Reports::probes;
    out.may_cancel = out.clients_honor_retry_after = out.marks_retry = true;
    out.max_attempts = 4;
    out.max_retry_after = 2s;
    out.connect_timeout = connect_timeout;
    out.connection_idle = 5s;
    out.answer_slack = 20ms;
    out.drain_grace = 1s;
    out.list_valid = 10s;
    out.cold_time = experiment_.cold;
    out.cold_capacity = experiment_.cold_capacity;
    out.overload_multiple = 2.5;
    out.overload_time = 1s;
    return out;
}

Measures SpreadWorld::run(const std::function<void(Time)>& progress) {
    for (std::size_t id = 0; id < experiment_.workers; ++id) {
        workers_.push_back({.post = Post(experiment_)});
        workers_.back().entry = {.worker = static_cast<WorkerId>(id),
                                 .key = mix64(id + 1),
                                 .zone = static_cast<Index>(id % experiment_.zones)};
    }
    const std::vector<double> per_s = arrivals(experiment_);
    for (std::size_t i = 0; i < experiment_.schedulers; ++i) {
        schedulers_.push_back(std::make_unique<Scheduler>(*this, i));
        start(i);
        load(i, per_s[i]);
    }
    for (const Fault& fault : experiment_.faults) {
        at(fault.from, [this, &fault] { begin(fault); });
        at(fault.to, [this, &fault] { end(fault); });
    }
    at(experiment_.warm_up, [this] {
        for (Worker& one : workers_)
            one.post.mark_busy(now_);
    });
    const Time end =
        experiment_.lasts + experiment_.limit + 1s; // all that was asked has been answered by then
    Time told{-1s};
    bool measured = false;
    for (auto next = calendar_.next(); next && *next <= end; next = calendar_.next()) {
        now_ = *next;
        if (!measured && now_ >= experiment_.lasts) {
            measured = true;
            const double span = seconds(now_ - experiment_.warm_up) * experiment_.slots;
            for (std::size_t id = 0; id < experiment_.workers; ++id) {
                const Post& one = workers_[id].post;
                if (one.is_sound(now_)) truth_.busy_share(one.busy_since_mark(now_) / span);
            }
            truth_.state(0, 0, 0, now_);
        }
        calendar_.take()();
        if (!measured) note_state();
        if (progress && now_ - told >= 1s) progress(told = now_);
    }
    return truth_.measures(experiment_.lasts);
}

void SpreadWorld::note_state() {
    Standing all;
    for (const Worker& one : workers_)
        all.add(one.post, now_);
    truth_.state(all.sound, all.with_room, held_ + all.queued, now_);
}

// ---------------------------------------------------------------------------------- faults and the list

void SpreadWorld::begin(const Fault& fault) {
    using enum Fault::What;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        Scheduler& one = *schedulers_[i];
        if (!faults_.hits_scheduler(fault, i)) continue;
        if (fault.what == kill) lose(i);
        if (fault.what == restart) one.ending = true;
        if (fault.what == stop) one.stopped_until = fault.to;
        if (fault.what == late_list) one.late = from_seconds(fault.size);
        if (fault.what == hush)
            one.silent_until = now_ + watch.max_time_to_response(1, 2 * experiment_.delay);
    }
    faults_.begin(fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id) {
        if (!faults_.hits_worker(fault, id) || workers_[id].post.gone) continue;
        if (Faults::strike(fault, workers_[id].post)) set_speed(id);
        if (fault.what == replace)
            at(fault.from + from_seconds(chance_.uniform() * seconds(fault.to - fault.from)),
               [this, id] { this->replace(id); });
    }
}

// It is gone, with all it knows and has.
void SpreadWorld::lose(std::size_t scheduler) {
    Scheduler& one = *schedulers_[scheduler];
    one.up = one.ending = false;
    ++one.life;
    one.host.reset();
    for (Ask& ask : asks_) {
        if (!ask.open || ask.scheduler != scheduler) continue;
        ask.open = false;
        held_ -= std::exchange(ask.held, false) ? 1 : 0;
        // Its connection breaks: what may be asked again is, elsewhere.
        if (!jobs_.asks_again(ask.job, ask.tries)) {
            truth_.lost_with_scheduler(ask.job, now_);
        } else {
            at(now_ + front_notices, [this, job = ask.job, tries = ask.tries] {
                this->ask(job, chance_.below(schedulers_.size()), tries + 1);
            });
        }
    }
}

void SpreadWorld::end(const Fault& fault) {
    using enum Fault::What;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        if (!faults_.hits_scheduler(fault, i)) continue;
        if (fault.what == restart) lose(i); // what it has not ended by then
        if (fault.what == kill || fault.what == restart) start(i);
        if (fault.what == stop) pump(i);
        if (fault.what == late_list) schedulers_[i]->late = Time(0);
    }
    faults_.end(fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id)
        if (faults_.hits_worker(fault, id) && Faults::heal(fault, workers_[id].post)) set_speed(id);
}

// It drains: what it has, it ends. A cold one comes under another name.
void SpreadWorld::replace(std::size_t id) {
    workers_[id].post.gone = true;
    workers_[id].entry.condition = Condition::gone;
    const std::size_t fresh = workers_.size();
    workers_.push_back({.post = Post(experiment_, now_)});
    workers_[fresh].entry = {.worker = static_cast<WorkerId>(fresh),
                             .key = mix64(fresh + 1),
                             .up_since = now_,
                             .zone = workers_[id].entry.zone};
    set_speed(fresh);
    announce({workers_[id].entry, workers_[fresh].entry});
}

void SpreadWorld::set_speed(std::size_t id) {
    Post& one = workers_[id].post;
    if (one.is_cold(now_)) at(now_ + warming_step, [this, id] { set_speed(id); });
    one.crew.set_speed(one.speed(now_), now_);
    look(id);
}

void SpreadWorld::announce(const std::vector<WorkerEntry>& entries) {
    Time last = now_;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        const Scheduler& one = *schedulers_[i];
        const Time told = now_ + from_seconds(chance_.uniform() * seconds(experiment_.list_late)) + one.late;
        const Time heard = std::max(told, one.silent_until);
        last = std::max(last, std::max(heard, one.stopped_until));
        at(heard, [this, i, entries] {
            Scheduler& to = *schedulers_[i];
            if (!to.up) return;
            for (const WorkerEntry& entry : entries) {
                if (to.listed.size() <= entry.worker) to.listed.resize(entry.worker + 1);
                to.listed[entry.worker] = entry.condition == Condition::ready;
            }
            if (to.host) to.host->handle_worker_list({EndpointListUpdate::Kind::changes, entries});
            pump(i);
        });
    }
    for (const WorkerEntry& entry : entries)
        if (entry.condition == Condition::gone) truth_.drained_by(entry.worker, last);
}

EndpointListUpdate SpreadWorld::whole_list() const {
    EndpointListUpdate out{EndpointListUpdate::Kind::complete, {}};
    for (const Worker& one : workers_)
        if (!one.post.gone) out.entries.push_back(one.entry);
    return out;
}

void SpreadWorld::start(std::size_t at) {
    Scheduler& one = *schedulers_[at];
    one.up = true;
    one.due = Time(-1);
    one.reported.clear();
    one.listed.clear();
    for (const Worker& worker : workers_)
        one.listed.push_back(!worker.post.gone);
    if (way_ != Way::module) return;
    one.host = std::make_unique<core::Host>(settings_of(at), most_open, max_bytes, one, one);
    one.host->handle_worker_list(whole_list());
    pump(at);
}

// ---------------------------------------------------------------------------------------------- clients

void SpreadWorld::load(std::size_t scheduler, double per_s) {
    const Time next = faults_.next_job(scheduler, per_s, now_, chance_);
    if (next >= experiment_.lasts) return;
    at(next, [this, scheduler, per_s] {
        ask(jobs_.want(chance_, now_), scheduler, 1);
        load(scheduler, per_s);
    });
}

void SpreadWorld::ask(Number job, std::size_t scheduler, int tries) {
    const Time limit = jobs_.limit(job);
    if (now_ + 20ms >= limit) return truth_.lost_with_scheduler(job, now_);
    Scheduler& to = *schedulers_[scheduler];
    if (!to.up || to.ending) { // the front finds another
        return at(now_ + front_notices,
                  [this, job, tries] { ask(job, chance_.below(schedulers_.size()), tries); });
    }
    if (now_ < to.stopped_until) { // it waits there to be accepted, or until its client leaves
        return at(std::min(to.stopped_until, limit),
                  [this, job, scheduler, tries] { ask(job, scheduler, tries); });
    }
    const std::size_t number = asks_.size();
    Ask& one = asks_.emplace_back(*this, number, job, scheduler, tries);
    one.life = to.life;
    one.held = true;
    ++held_;
    at(limit + answer_slack, [this, number] { // its client leaves
        Ask& late = asks_[number];
        if (!std::exchange(late.open, false)) return;
        held_ -= std::exchange(late.held, false) ? 1 : 0;
        truth_.answered(late.job, Ending::left, false, now_, now_);
        Scheduler& has = *schedulers_[late.scheduler];
        if (has.host && has.life == late.life) has.host->client_left(late.id);
        pump(late.scheduler);
    });
    if (way_ != Way::module) return choose(one);
    core::Message message{.id = std::to_string(number),
                          .job_class = static_cast<Index>(jobs_.effect(job)),
                          .is_retry = tries > 1,
                          .repeatable = jobs_.effect(job) == Effect::repeatable,
                          .deadline = limit};
    if (!to.host->admit(std::move(message), one, one.id)) return answered(one, Ending::refused, 1s, false);
    at(limit + 1ms, [this, number] {
        Ask& late = asks_[number];
        Scheduler& has = *schedulers_[late.scheduler];
        const bool runs = has.host && has.life == late.life && now_ >= has.stopped_until;
        if (late.open && runs) has.host->fail_overdue(late.id);
    });
    pump(scheduler);
}

void SpreadWorld::answered(Ask& ask, Ending ending, Time stay_away, bool by_a_worker) {
    if (!std::exchange(ask.open, false)) return truth_.broke("answered twice", ask.job);
    held_ -= std::exchange(ask.held, false) ? 1 : 0;
    const Time limit = jobs_.limit(ask.job);
    // A client that is sent away comes back when it was told to, to whichever scheduler the front picks.
    if (ending == Ending::refused && jobs_.comes_back(ask.job, ask.tries, now_ + stay_away)) {
        return at(now_ + stay_away, [this, job = ask.job, tries = ask.tries] {
            this->ask(job, chance_.below(schedulers_.size()), tries + 1);
        });
    }
    truth_.answered(ask.job, ending, by_a_worker, now_, limit);
}

// ------------------------------------------------------------------------------------------- schedulers

void SpreadWorld::pump(std::size_t scheduler) {
    Scheduler& one = *schedulers_[scheduler];
    if (!one.host) return;
    const auto next = one.host->next_batch_time();
    if (!next) return;
    const Time when = std::max({*next, now_, one.stopped_until});
    if (one.due >= now_ && one.due <= when) return;
    one.due = when;
    at(when, [this, scheduler, when, life = one.life] {
        Scheduler& due = *schedulers_[scheduler];
        if (due.life != life || !due.host || due.due != when) return;
        due.due = Time(-1);
        if (now_ >= due.stopped_until) due.host->run_batch(now_);
        pump(scheduler);
    });
}

void SpreadWorld::choose(Ask& ask) {
    const auto to = pick(ask);
    if (!to || ask.attempts.size() >= 4) return answered(ask, Ending::refused, 1s, false);
    send(ask, 0, static_cast<Index>(ask.attempts.size()), *to, jobs_.limit(ask.job));
}

std::optional<std::size_t> SpreadWorld::pick(const Ask& ask) {
    Scheduler& from = *schedulers_[ask.scheduler];
    from.reported.resize(workers_.size());
    std::vector<std::size_t> able;
    for (std::size_t id = 0; id < workers_.size(); ++id) {
        const bool had =
            std::ranges::any_of(ask.attempts, [&](std::size_t a) { return attempts_[a].worker == id; });
        if (id < from.listed.size() && from.listed[id] && !had) able.push_back(id);
    }
    if (way_ == Way::oracle)
        std::erase_if(able, [&](std::size_t id) {
            const Post& one = workers_[id].post;
            return one.failing || one.gone || faults_.is_cut(ask.scheduler, id);
        });
    if (able.empty()) return std::nullopt;
    const auto any = [&] { return able[chance_.below(able.size())]; };
    if (way_ == Way::random) return any();
    if (way_ == Way::two_choices) {
        const std::size_t one = any(), other = any();
        return from.reported[one] <= from.reported[other] ? one : other;
    }
    const auto wait = [&](std::size_t id) { // of a job that comes now, in runs; ties go round by chance
        const Crew& crew = workers_[id].post.crew;
        const double ahead =
            static_cast<double>(crew.busy() + static_cast<int>(crew.queued()) + workers_[id].coming + 1);
        return std::max(1.0, ahead / crew.slots()) / std::max(0.01, crew.speed()) + ahead * 1e-3;
    };
    std::rotate(able.begin(), able.begin() + static_cast<std::ptrdiff_t>(chance_.below(able.size())),
                able.end());
    return *std::ranges::min_element(able, {}, wait);
}

} // namespace willowrill::lab::spread
