#include "lab/spread/world.h"

#include <algorithm>
#include <utility>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;

constexpr Time connect_timeout = 250ms, front_notices = 50ms, answer_slack = 20ms, warming_step = 250ms;
constexpr int most_tries = 4; // of a client
constexpr std::size_t most_open = 20000, most_bytes = 1U << 30U;

} // namespace

SpreadWorld::SpreadWorld(const Experiment& experiment, Way way)
    : experiment_(experiment), way_(way), chance_(experiment.seed), truth_(experiment_) {}
SpreadWorld::~SpreadWorld() = default;

void SpreadWorld::at(Time when, std::function<void()> action) {
    due_.push({std::max(when, now_), ++order_, std::make_shared<std::function<void()>>(std::move(action))});
}

bool SpreadWorld::hit(std::size_t which, double share, std::uint64_t salt) const {
    return chosen(experiment_.seed, which, share, salt);
}

Settings SpreadWorld::settings_of(std::size_t scheduler) const {
    Settings out;
    out.seed = mixed(experiment_.seed * 100000 + scheduler);
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
    out.may_cancel = out.takes_advice = true;
    out.max_attempts = 4;
    out.max_stay_away = 2s;
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
        workers_.emplace_back(experiment_.slots, experiment_.queue);
        workers_.back().entry = {.worker = static_cast<WorkerId>(id),
                                 .key = mixed(id + 1),
                                 .zone = static_cast<Index>(id % experiment_.zones)};
    }
    const double all = experiment_.load * static_cast<double>(experiment_.workers) * experiment_.slots /
                       seconds(experiment_.run);
    double weights = 0;
    const auto weight = [&](std::size_t i) { return i % 10 == 3 ? experiment_.uneven : 1.0; };
    for (std::size_t i = 0; i < experiment_.schedulers; ++i)
        weights += weight(i);
    for (std::size_t i = 0; i < experiment_.schedulers; ++i) {
        schedulers_.push_back(std::make_unique<Scheduler>(*this, i));
        start(i);
        load(i, all * weight(i) / weights);
    }
    for (const Fault& fault : experiment_.faults) {
        at(fault.from, [this, &fault] { begin(fault); });
        at(fault.to, [this, &fault] { end(fault); });
    }
    at(experiment_.warm_up, [this] {
        for (Worker& one : workers_)
            one.busy_at_warm = one.crew.busy_s(now_);
    });
    const Time end =
        experiment_.lasts + experiment_.limit + 1s; // all that was asked has been answered by then
    Time told{-1s};
    bool measured = false;
    while (!due_.empty() && due_.top().at <= end) {
        const Due next = due_.top();
        due_.pop();
        now_ = next.at;
        if (!measured && now_ >= experiment_.lasts) {
            measured = true;
            const double span = seconds(now_ - experiment_.warm_up) * experiment_.slots;
            for (std::size_t id = 0; id < experiment_.workers; ++id) {
                const Worker& one = workers_[id];
                if (is_sound(one)) truth_.busy_share((one.crew.busy_s(now_) - one.busy_at_warm) / span);
            }
            truth_.state(0, 0, 0, now_);
        }
        (*next.action)();
        if (!measured) note_state();
        if (progress && now_ - told >= 1s) progress(told = now_);
    }
    return truth_.measures(experiment_.lasts);
}

bool SpreadWorld::is_sound(const Worker& one) const {
    const bool cold = one.entry.up_since > 0ns && now_ - one.entry.up_since < experiment_.cold;
    return !one.gone && !one.failing && one.slow <= 1 && !cold;
}

void SpreadWorld::note_state() {
    std::size_t sound = 0, with_room = 0;
    for (const Worker& one : workers_) {
        if (!is_sound(one)) continue;
        ++sound;
        if (one.crew.free() > 0) ++with_room;
    }
    truth_.state(sound, with_room, held_ + queued_, now_);
}

// ---------------------------------------------------------------------------------- faults and the list

void SpreadWorld::begin(const Fault& fault) {
    using enum Fault::What;
    const auto salt = static_cast<std::uint64_t>(&fault - experiment_.faults.data());
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        Scheduler& one = *schedulers_[i];
        if (!hit(i, fault.schedulers, salt)) continue;
        if (fault.what == kill) {
            one.up = false;
            ++one.life;
            one.host.reset();
            for (Ask& ask : asks_) {
                if (!ask.open || ask.scheduler != i) continue;
                ask.open = false;
                held_ -= std::exchange(ask.held, false) ? 1 : 0;
                // Its connection breaks: what may be asked again is, elsewhere.
                if (effects_[ask.job] != Effect::repeatable || ask.tries >= most_tries) {
                    truth_.lost_with_scheduler(ask.job, now_);
                } else {
                    at(now_ + front_notices, [this, job = ask.job, tries = ask.tries] {
                        this->ask(job, chance_.below(schedulers_.size()), tries + 1);
                    });
                }
            }
        }
        if (fault.what == stop) one.stopped_until = fault.to;
        if (fault.what == late_list) one.late = from_seconds(fault.size);
    }
    if (fault.what == cut) cuts_.push_back(&fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id) {
        if (!hit(id, fault.workers, salt + 500) || workers_[id].gone) continue;
        Worker& one = workers_[id];
        if (fault.what == slow) one.slow = fault.size;
        if (fault.what == slow) set_speed(id);
        if (fault.what == fail) one.failing = true;
        if (fault.what == freeze) one.frozen = true;
        if (fault.what == replace)
            at(fault.from + from_seconds(chance_.uniform() * seconds(fault.to - fault.from)),
               [this, id] { this->replace(id); });
    }
}

void SpreadWorld::end(const Fault& fault) {
    using enum Fault::What;
    const auto salt = static_cast<std::uint64_t>(&fault - experiment_.faults.data());
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        if (!hit(i, fault.schedulers, salt)) continue;
        if (fault.what == kill) start(i);
        if (fault.what == stop) pump(i);
        if (fault.what == late_list) schedulers_[i]->late = Time(0);
    }
    std::erase(cuts_, &fault);
    for (std::size_t id = 0; id < experiment_.workers; ++id) {
        if (!hit(id, fault.workers, salt + 500)) continue;
        if (fault.what == slow) workers_[id].slow = 1;
        if (fault.what == slow) set_speed(id);
        if (fault.what == fail) workers_[id].failing = false;
        if (fault.what == freeze) workers_[id].frozen = false;
    }
}

// It drains: what it has, it ends. A cold one comes under another name.
void SpreadWorld::replace(std::size_t id) {
    workers_[id].gone = true;
    workers_[id].entry.condition = Condition::gone;
    const std::size_t fresh = workers_.size();
    workers_.emplace_back(experiment_.slots, experiment_.queue);
    workers_[fresh].entry = {.worker = static_cast<WorkerId>(fresh),
                             .key = mixed(fresh + 1),
                             .up_since = now_,
                             .zone = workers_[id].entry.zone};
    set_speed(fresh);
    announce({workers_[id].entry, workers_[fresh].entry});
}

void SpreadWorld::set_speed(std::size_t id) {
    Worker& one = workers_[id];
    double warmth = 1;
    if (one.entry.up_since > 0ns && now_ - one.entry.up_since < experiment_.cold) {
        const double age = seconds(now_ - one.entry.up_since) / seconds(experiment_.cold);
        warmth = experiment_.cold_capacity + (1 - experiment_.cold_capacity) * age;
        at(now_ + warming_step, [this, id] { set_speed(id); });
    }
    one.crew.set_speed(warmth / one.slow, now_);
    look(id);
}

void SpreadWorld::announce(std::vector<WorkerEntry> entries) {
    Time last = now_;
    for (std::size_t i = 0; i < schedulers_.size(); ++i) {
        const Scheduler& one = *schedulers_[i];
        const Time heard = now_ + from_seconds(chance_.uniform() * seconds(experiment_.list_late)) + one.late;
        last = std::max(last, std::max(heard, one.stopped_until));
        at(heard, [this, i, entries] {
            Scheduler& to = *schedulers_[i];
            if (!to.up) return;
            for (const WorkerEntry& entry : entries) {
                if (to.listed.size() <= entry.worker) to.listed.resize(entry.worker + 1);
                to.listed[entry.worker] = entry.condition == Condition::ready;
            }
            if (to.host) to.host->list_news({ListNews::Kind::changes, entries});
            pump(i);
        });
    }
    for (const WorkerEntry& entry : entries)
        if (entry.condition == Condition::gone) truth_.drained_by(entry.worker, last);
}

bool SpreadWorld::is_cut(std::size_t scheduler, std::size_t worker) const {
    return std::ranges::any_of(cuts_, [&](const Fault* fault) {
        const auto salt = static_cast<std::uint64_t>(fault - experiment_.faults.data());
        return hit(scheduler, fault->schedulers, salt) && hit(worker, fault->workers, salt + 500);
    });
}

ListNews SpreadWorld::whole_list() const {
    ListNews out{ListNews::Kind::complete, {}};
    for (const Worker& one : workers_)
        if (!one.gone) out.entries.push_back(one.entry);
    return out;
}

void SpreadWorld::start(std::size_t at) {
    Scheduler& one = *schedulers_[at];
    one.up = true;
    one.due = Time(-1);
    one.reported.clear();
    one.listed.clear();
    for (const Worker& worker : workers_)
        one.listed.push_back(!worker.gone);
    if (way_ != Way::module) return;
    one.host = std::make_unique<core::Host>(settings_of(at), most_open, most_bytes, one, one);
    one.host->list_news(whole_list());
    pump(at);
}

// ---------------------------------------------------------------------------------------------- clients

void SpreadWorld::load(std::size_t scheduler, double per_s) {
    const Time next = now_ + chance_.wait(per_s);
    if (next >= experiment_.lasts) return;
    at(next, [this, scheduler, per_s] {
        want(scheduler);
        load(scheduler, per_s);
    });
}

void SpreadWorld::want(std::size_t scheduler) {
    const Number job = works_.size();
    works_.push_back(chance_.work(seconds(experiment_.run), experiment_.run_spread));
    wanted_at_.push_back(now_);
    const double kind = chance_.uniform(); // most may be repeated, as it is where errors are taken in
    effects_.push_back(kind < 0.6 ? Effect::repeatable : kind < 0.8 ? Effect::keyed : Effect::once);
    truth_.wants(job, effects_.back(), now_);
    ask(job, scheduler, 1);
}

void SpreadWorld::ask(Number job, std::size_t scheduler, int tries) {
    const Time limit = wanted_at_[job] + experiment_.limit;
    if (now_ + 20ms >= limit) return truth_.lost_with_scheduler(job, now_);
    Scheduler& to = *schedulers_[scheduler];
    if (!to.up) { // the front finds another
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
                          .job_class = static_cast<Index>(effects_[job]),
                          .repeatable = effects_[job] == Effect::repeatable,
                          .deadline = limit};
    if (!to.host->take_in(std::move(message), one, one.id)) return answered(one, Ending::refused, 1s, false);
    at(limit + 1ms, [this, number] {
        Ask& late = asks_[number];
        Scheduler& has = *schedulers_[late.scheduler];
        const bool runs = has.host && has.life == late.life && now_ >= has.stopped_until;
        if (late.open && runs) has.host->overdue(late.id);
    });
    pump(scheduler);
}

void SpreadWorld::answered(Ask& ask, Ending ending, Time stay_away, bool by_a_worker) {
    if (!std::exchange(ask.open, false)) return truth_.broke("answered twice", ask.job);
    held_ -= std::exchange(ask.held, false) ? 1 : 0;
    const Time limit = wanted_at_[ask.job] + experiment_.limit;
    // A client that is sent away comes back when it was told to, to whichever scheduler the front picks.
    if (ending == Ending::refused && ask.tries < most_tries && now_ + stay_away + experiment_.run < limit) {
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
    const auto next = one.host->next_batch();
    if (!next) return;
    const Time when = std::max({*next, now_, one.stopped_until});
    if (one.due >= now_ && one.due <= when) return;
    one.due = when;
    at(when, [this, scheduler, when, life = one.life] {
        Scheduler& due = *schedulers_[scheduler];
        if (due.life != life || !due.host || due.due != when) return;
        due.due = Time(-1);
        if (now_ >= due.stopped_until) due.host->batch(now_);
        pump(scheduler);
    });
}

void SpreadWorld::choose(Ask& ask) {
    const auto to = pick(ask);
    if (!to || ask.attempts.size() >= 4) return answered(ask, Ending::refused, 1s, false);
    send(ask, 0, static_cast<Index>(ask.attempts.size()), *to, wanted_at_[ask.job] + experiment_.limit);
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
            return workers_[id].failing || workers_[id].gone || is_cut(ask.scheduler, id);
        });
    if (able.empty()) return std::nullopt;
    const auto any = [&] { return able[chance_.below(able.size())]; };
    if (way_ == Way::random) return any();
    if (way_ == Way::two_choices) {
        const std::size_t one = any(), other = any();
        return from.reported[one] <= from.reported[other] ? one : other;
    }
    const auto wait = [&](std::size_t id) { // of a job that comes now, in runs; ties go round by chance
        const Crew& crew = workers_[id].crew;
        const double ahead =
            static_cast<double>(crew.busy() + static_cast<int>(crew.queued()) + workers_[id].coming + 1);
        return std::max(1.0, ahead / crew.slots()) / std::max(0.01, crew.speed()) + ahead * 1e-3;
    };
    std::ranges::rotate(able, able.begin() + static_cast<std::ptrdiff_t>(chance_.below(able.size())));
    return *std::ranges::min_element(able, {}, wait);
}

} // namespace willowrill::lab::spread
