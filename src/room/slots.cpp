#include "room/slots.h"

#include <algorithm>
#include <cmath>

namespace willowrill::room {
namespace {

using namespace std::chrono_literals;

constexpr double others_gain = 0.1;     // weight of a new report in the mean of what others have in work
constexpr double others_fade_s = 1;     // what was seen of them counts for half at this age
constexpr Duration look_step = 20ms;    // between two moments at which `free_from` looks
constexpr std::size_t most_looks = 256; // beyond them it looks more coarsely

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

} // namespace

void Slots::sent(JobId job, std::size_t job_class, double slots, Time now) {
    jobs_.push_back({job, job_class, slots, now, false});
}

void Slots::ended(JobId job) {
    const auto found = std::ranges::find(jobs_, job, &Out::job);
    if (found == jobs_.end()) return;
    if (found->reported) ended_since_ += found->slots; // the report counted it as taken
    jobs_.erase(found);
}

void Slots::report(double free, Time now) {
    reported_free_ = std::clamp(free, 0.0, total_);
    reported_at_ = now;
    ended_since_ = 0;
    // Jobs sent only just now may not have been there when the report left; taking them for seen would make
    // the others look smaller than they are, and the worker emptier once our jobs end.
    for (Out& out : jobs_)
        out.reported = true;
    others_seen_ = std::max(0.0, total_ - reported_free_ - own());
    others_mean_ += others_gain * (others_seen_ - others_mean_);
}

void Slots::restarted() {
    reported_at_ = Time(-1);
    reported_free_ = ended_since_ = others_seen_ = others_mean_ = 0;
    for (Out& out : jobs_)
        out.reported = false;
}

double Slots::own() const {
    double sum = 0;
    for (const Out& out : jobs_)
        sum += out.slots;
    return sum;
}

bool Slots::stale(Time now) const { return reported_at_ < 0ns || now - reported_at_ > stale_after; }

double Slots::others(Time now) const {
    if (reported_at_ < 0ns) return 0;
    const double age = seconds(std::max(now - reported_at_, Duration(0)));
    return others_mean_ + (others_seen_ - others_mean_) * others_fade_s / (others_fade_s + age);
}

double Slots::free(Time now) const { return std::clamp(total_ - own() - others(now), 0.0, total_); }

double Slots::free_at(Time at, double share, const RunTimes& times, std::size_t kind, Time now) const {
    // Each of our jobs is over by then with some probability. Those least likely to be are taken to be still
    // there, until the rest are all over with the share asked for; they are independent as far as anyone can
    // know.
    struct Chance {
        double over = 0, slots = 0;
    };
    std::vector<Chance> chances;
    for (const Out& out : jobs_) {
        const Duration so_far = std::max(now - out.sent, Duration(0)), more = std::max(at - now, Duration(0));
        chances.push_back({times.over_within(out.job_class, out.slots, kind, so_far, more), out.slots});
    }
    std::ranges::sort(chances, std::greater<>(), &Chance::over);
    double all_over = 1, freed = 0;
    for (const Chance& chance : chances) {
        all_over *= chance.over;
        if (all_over < share) break;
        freed += chance.slots;
    }
    return std::clamp(total_ - own() - others(now) + freed, 0.0, total_);
}

std::optional<Time> Slots::free_from(double slots, Time latest, double share, const RunTimes& times,
                                     std::size_t kind, Time now) const {
    if (slots > total_) return std::nullopt;
    const Duration step = std::max(look_step, (latest - now) / static_cast<std::int64_t>(most_looks));
    for (Time at = now; at <= latest; at += step)
        if (free_at(at, share, times, kind, now) >= slots - 1e-9) return at;
    return std::nullopt;
}

} // namespace willowrill::room
