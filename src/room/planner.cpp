#include "room/planner.h"

#include <algorithm>
#include <utility>

namespace willowrill::room {
namespace {

using namespace std::chrono_literals;

// Room is moved only for a start earlier by so much: what was kept free so far would be lost.
constexpr Duration better_by = 200ms;
// Other schedulers hold room at their own home workers: elsewhere only for a start earlier by so much.
constexpr Duration away_cost = 500ms;

} // namespace

Planner::Planner(Settings settings) : settings_(settings), budget_(settings.burst_s * 4) {}

const Reservation* Planner::of(JobId job) const {
    const auto found = std::ranges::find(held_, job, &Reservation::job);
    return found == held_.end() ? nullptr : &*found;
}

std::optional<Reservation> Planner::hold(const Wide& job, std::span<const Candidate> workers,
                                         const RunTimes& times, Time now) {
    widest_ = std::max(widest_, job.slots);
    const auto mine = std::ranges::find(held_, job.job, &Reservation::job);
    if (mine == held_.end() && (held_.size() >= settings_.most || budget_ <= 0)) return std::nullopt;
    std::optional<Reservation> best;
    Duration best_cost{0};
    for (const Candidate& one : workers) {
        if (one.slots == nullptr || one.slots->total() < job.slots || one.slots->stale(now)) continue;
        // Two wide jobs at one worker would wait for one another.
        if (std::ranges::any_of(held_, [&](const Reservation& other) {
                return other.worker == one.worker && other.job != job.job;
            }))
            continue;
        const auto start = one.slots->free_from(job.slots, job.latest, settings_.sure, times, one.kind, now);
        if (!start) continue;
        const Duration cost = *start - now + (one.home ? 0ns : away_cost);
        if (best && cost >= best_cost) continue;
        best = Reservation{job.job, one.worker, one.kind, job.slots, now, *start, job.latest};
        best_cost = cost;
    }
    if (mine == held_.end()) {
        if (!best) return std::nullopt;
        ++statistics_.made;
        held_.push_back(*best);
        return best;
    }
    if (best && best->worker != mine->worker && best->start + better_by < mine->start) {
        best->made = mine->made;
        *mine = *best;
        ++statistics_.moved;
    } else if (best && best->worker == mine->worker) {
        mine->start = best->start; // what is known now
    }
    return *mine;
}

void Planner::drop(std::size_t at, LetGo cause) {
    ++statistics_.let_go.at(static_cast<std::size_t>(cause));
    held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(at));
}

void Planner::let_go(JobId job, LetGo cause) {
    const auto found = std::ranges::find(held_, job, &Reservation::job);
    if (found != held_.end()) drop(static_cast<std::size_t>(found - held_.begin()), cause);
}

void Planner::worker_lost(WorkerId worker, LetGo cause) {
    for (std::size_t i = held_.size(); i-- > 0;)
        if (held_[i].worker == worker) drop(i, cause);
}

bool Planner::open_to(WorkerId worker, JobId job, std::size_t job_class, double slots, const Slots& at,
                      const RunTimes& times, Time now) {
    const auto held = std::ranges::find(held_, worker, &Reservation::worker);
    if (held == held_.end() || held->job == job) return true;
    const Time start = std::max(held->start, now);
    // It is over by then, or there are more slots than are held.
    const bool over =
        start > now && times.over_within(job_class, slots, held->kind, 0ns, start - now) >= settings_.sure;
    const bool spare =
        at.free_at(start, settings_.sure, times, held->kind, now) - held->slots >= slots - 1e-9;
    ++(over || spare ? statistics_.backfilled : statistics_.kept_out);
    return over || spare;
}

std::optional<LetGo> Planner::useless(const Reservation& one, const Slots* slots, Duration passed, Time now) {
    if (slots == nullptr) return LetGo::gone;
    if (now > one.latest) return LetGo::too_late;
    const double idle = std::min(one.slots, slots->free(now)) * std::chrono::duration<double>(passed).count();
    statistics_.idle_slot_seconds += idle;
    budget_ -= idle;
    if (slots->stale(now)) return LetGo::silent;
    if (budget_ <= 0) return LetGo::over_bound;
    return std::nullopt;
}

} // namespace willowrill::room
