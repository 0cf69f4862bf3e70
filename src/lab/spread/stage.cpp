#include "lab/spread/stage.h"

#include <algorithm>
#include <utility>

namespace willowrill::lab::spread {

double Post::speed(Time now) const {
    const double from = experiment_.cold_capacity;
    const double warmth =
        is_cold(now) ? from + (1 - from) * (seconds(now - up_since) / seconds(experiment_.cold)) : 1;
    return warmth / slow;
}

double Post::can_do() const { return crew.slots() * std::max(0.01, crew.speed()); }

const Figures& Post::figures(Time now, Chance& chance) {
    if (made_at_ >= Time(0) && now - made_at_ < experiment_.report_every) return figures_;
    const double noise = 1 + experiment_.report_noise * (2 * chance.uniform() - 1);
    const double busy = frozen || failing ? 0 : crew.busy(), slots = crew.slots();
    made_at_ = now;
    return figures_ = {std::min(1.0, busy / slots * noise), slots - busy, 100 * noise};
}

std::optional<Time> Post::to_wait_for(Time now) {
    const auto next = crew.next();
    if (!next || (waited_for_ > now && waited_for_ <= *next)) return std::nullopt;
    return waited_for_ = *next;
}

bool Post::reached(Time when) {
    if (waited_for_ != when) return false; // an earlier one came between
    waited_for_ = Time(-1);
    return true;
}

void Standing::add(const Post& one, Time now) {
    queued += one.crew.queued();
    if (!one.is_sound(now)) return;
    ++sound;
    if (one.crew.free() > 0) ++with_room;
}

std::uint64_t Faults::salt(const Fault& fault) const {
    return static_cast<std::uint64_t>(&fault - experiment_.faults.data());
}

bool Faults::hits_scheduler(const Fault& fault, std::size_t which) const {
    return chosen(experiment_.seed, which, fault.schedulers, salt(fault));
}

bool Faults::hits_worker(const Fault& fault, std::size_t which) const {
    return chosen(experiment_.seed, which, fault.workers, salt(fault) + 500);
}

bool Faults::is_cut(std::size_t scheduler, std::size_t worker) const {
    return std::ranges::any_of(cuts_, [&](const Fault* fault) {
        return hits_scheduler(*fault, scheduler) && hits_worker(*fault, worker);
    });
}

double Faults::rate(std::size_t scheduler, Time at) const {
    double out = 1;
    for (const Fault& one : experiment_.faults) {
        if (one.what == Fault::What::burst && at >= one.from && at < one.to && hits_scheduler(one, scheduler))
            out *= one.size;
    }
    return out;
}

// Drawn at the highest rate of the run and thinned, so that a wait which began in the calm ends in a burst.
Time Faults::next_job(std::size_t scheduler, double per_s, Time now, Chance& chance) const {
    double most = 1;
    for (const Fault& one : experiment_.faults)
        if (one.what == Fault::What::burst) most *= one.size;
    Time next = now + chance.wait(per_s * most);
    while (most > 1 && next < experiment_.lasts && chance.uniform() * most >= rate(scheduler, next))
        next += chance.wait(per_s * most);
    return next;
}

void Faults::begin(const Fault& fault) {
    if (fault.what == Fault::What::cut) cuts_.push_back(&fault);
}

void Faults::end(const Fault& fault) { std::erase(cuts_, &fault); }

bool Faults::strike(const Fault& fault, Post& worker) {
    using enum Fault::What;
    worker.failing = worker.failing || fault.what == fail;
    worker.frozen = worker.frozen || fault.what == freeze;
    if (fault.what == slow) worker.slow = fault.size;
    return fault.what == slow;
}

bool Faults::heal(const Fault& fault, Post& worker) {
    using enum Fault::What;
    worker.failing = worker.failing && fault.what != fail;
    worker.frozen = worker.frozen && fault.what != freeze;
    if (fault.what == slow) worker.slow = 1;
    return fault.what == slow;
}

Number Jobs::want(Chance& chance, Time now) {
    const Number job = jobs_.size();
    const double work_s = chance.work(seconds(experiment_.run), experiment_.run_spread);
    const double kind = chance.uniform();
    const Effect effect = kind < 0.6 ? Effect::repeatable : kind < 0.8 ? Effect::keyed : Effect::once;
    const bool hasty = experiment_.haste > 0 && chance.uniform() < experiment_.haste;
    jobs_.push_back({effect, work_s, now, now + (hasty ? experiment_.wanted : experiment_.limit)});
    truth_.wants(job, effect, now);
    return job;
}

std::vector<double> arrivals(const Experiment& experiment) {
    const double all = experiment.load * static_cast<double>(experiment.workers) * experiment.slots /
                       seconds(experiment.run);
    std::vector<double> out;
    double weights = 0;
    for (std::size_t i = 0; i < experiment.schedulers; ++i)
        weights += out.emplace_back(i % 10 == 3 ? experiment.uneven : 1.0);
    for (double& one : out)
        one *= all / weights;
    return out;
}

} // namespace willowrill::lab::spread
