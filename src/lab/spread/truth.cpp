#include "lab/spread/truth.h"

#include "scheduler/load_estimates/learn.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace willowrill::lab::spread {
namespace {

using namespace std::chrono_literals;
using load_estimates::seconds;

constexpr std::uint32_t most_attempts = 4;
constexpr Time keyed_window = 10s, drain_grace = 1s, answer_slack = 20ms;

double quantile(std::vector<double> values, double share) {
    if (values.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + at);
    return values[static_cast<std::size_t>(at)];
}

void add(View& to, const View& more) {
    to.jobs += more.jobs;
    to.good += more.good;
    to.late += more.late;
    to.refused += more.refused;
    to.failed += more.failed;
}

} // namespace

Truth::Truth(const Experiment& experiment) : experiment_(experiment) {}

View& Truth::second(Time at) {
    const auto place = static_cast<std::size_t>(at / 1s);
    if (by_second_.size() <= place) by_second_.resize(place + 1);
    return by_second_[place];
}

void Truth::broke(std::string what, Number job) {
    if (broken_.size() < most_told) broken_.push_back(std::move(what) + ": job " + std::to_string(job));
}

void Truth::wants(Number job, Effect effect, Time now) {
    if (jobs_.size() <= job) jobs_.resize(job + 1);
    jobs_[job] = {.effect = effect, .at = now};
    ++second(now).jobs;
}

void Truth::answered(Number job, Ending ending, bool by_a_worker, Time now, Time limit) {
    if (ending == Ending::served && !by_a_worker) broke("served without a worker's result", job);
    if (now > limit + answer_slack && ending != Ending::left) broke("answered too late", job);
    if (ending == Ending::refused && jobs_[job].effect != Effect::repeatable && jobs_[job].may_have_run > 0)
        broke("refused though it may have run", job);
    end(job, ending, now);
}

void Truth::end(Number job, Ending ending, Time now) {
    Job& one = jobs_[job];
    if (std::exchange(one.over, true)) return broke("answered twice", job);
    View& view = second(one.at);
    const bool in_time = now - one.at <= experiment_.wanted;
    if (ending == Ending::served) ++(in_time ? view.good : view.late);
    if (ending == Ending::refused) ++view.refused;
    if (ending == Ending::failed || ending == Ending::left) ++view.failed;
}

void Truth::reached(Number job, std::size_t worker, std::size_t zone, std::size_t scheduler, double work_s,
                    double can_do, Time now) {
    Job& one = jobs_[job];
    ++attempts_;
    if (++one.attempts > most_attempts * 4) broke("tried far too often", job); // of four tries of its client
    if (one.may_have_run > 0 && one.effect == Effect::once) broke("sent again what must not run twice", job);
    if (one.may_have_run > 0 && one.effect == Effect::keyed) {
        if (zone != one.zone) broke("a repeat outside its zone", job);
        if (now - one.first > keyed_window) broke("a repeat past its window", job);
    }
    if (one.may_have_run++ == 0) {
        one.zone = zone;
        one.first = now;
    }
    const auto drained = drained_.find(worker);
    if (drained != drained_.end() && now > drained->second + drain_grace)
        broke("sent to a worker that is known to be gone", job);
    if (now < experiment_.warm_up) return;
    Load& load = in_100ms_[{worker, now / 100ms}];
    load.ratio += work_s / (can_do * 0.1);
    load.schedulers.insert(scheduler);
    in_1s_[{worker, now / 1s}] += work_s / can_do;
}

void Truth::turned_away(Number job) { --jobs_[job].may_have_run; }

void Truth::drained_by(std::size_t worker, Time known) { drained_[worker] = known; }

void Truth::state(std::size_t sound, std::size_t with_room, std::size_t waiting, Time now) {
    const double passed = seconds(now - std::max(state_at_, experiment_.warm_up));
    if (passed > 0) {
        sound_s_ += passed * static_cast<double>(sound_);
        if (waiting_ > 0) // no more of them could have been of use than there were jobs
            idle_s_ += passed * static_cast<double>(std::min(with_room_, waiting_));
    }
    state_at_ = now;
    sound_ = sound;
    with_room_ = with_room;
    waiting_ = waiting;
}

Measures Truth::measures(Time end) const {
    Measures out;
    out.by_second = by_second_;
    const Time begin = experiment_.faults_begin(), over = experiment_.faults_end();
    for (std::size_t i = 0; i < by_second_.size(); ++i) {
        const Time at = Time(i * 1s);
        if (at < experiment_.warm_up || at >= end) continue;
        add(out.all, by_second_[i]);
        add(at < begin       ? out.before
            : at < over      ? out.during
            : at < over + 5s ? out.after
                             : out.later,
            by_second_[i]);
    }
    const double usual = out.before.goodput() - 0.1;
    for (std::size_t i = 0; i < by_second_.size(); ++i) {
        if (Time(i * 1s) >= over && Time(i * 1s) < end && by_second_[i].goodput() < usual)
            out.recovery_s = seconds(Time((i + 1) * 1s) - over);
    }
    std::vector<double> tenths, crowds, whole;
    for (const auto& [place, load] : in_100ms_) {
        tenths.push_back(load.ratio);
        crowds.push_back(static_cast<double>(load.schedulers.size()));
    }
    for (const auto& [place, ratio] : in_1s_)
        whole.push_back(ratio);
    out.herd_100ms_p99 = quantile(tenths, 0.99);
    out.herd_100ms_worst = quantile(tenths, 1);
    out.herd_1s_p99 = quantile(whole, 0.99);
    out.herd_1s_worst = quantile(whole, 1);
    out.crowd_p99 = quantile(crowds, 0.99);
    out.crowd_worst = quantile(crowds, 1);
    out.idle = sound_s_ > 0 ? idle_s_ / sound_s_ : 0;
    double mean = 0, square = 0;
    for (const double one : busy_) {
        mean += one / static_cast<double>(busy_.size());
        square += one * one / static_cast<double>(busy_.size());
    }
    out.evenness = mean > 0 ? std::sqrt(std::max(0.0, square - mean * mean)) / mean : 0;
    out.attempts_per_job =
        out.all.jobs > 0 ? static_cast<double>(attempts_) / static_cast<double>(jobs_.size()) : 0;
    out.broken = broken_;
    return out;
}

} // namespace willowrill::lab::spread
