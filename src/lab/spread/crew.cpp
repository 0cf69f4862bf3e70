#include "lab/spread/crew.h"

#include "scheduler/load_estimates/learn.h"

#include <algorithm>
#include <cmath>

namespace willowrill::lab::spread {
namespace {

using load_estimates::seconds;
constexpr double tiny = 1e-10;

} // namespace

void Crew::move_to(Time now) {
    const double passed = seconds(now - now_);
    if (passed <= 0) return;
    done_s_ += passed * speed_;
    busy_s_ += passed * static_cast<double>(running_.size());
    now_ = now;
}

Crew::Taken Crew::take(Ticket ticket, double work_s, Time now) {
    move_to(now);
    if (free() > 0 && queue_.empty()) {
        running_.push_back({ticket, done_s_ + work_s});
        return Taken::runs;
    }
    if (queue_.size() >= most_queued_) return Taken::full;
    queue_.push_back({ticket, work_s});
    return Taken::waits;
}

void Crew::drop(Ticket ticket, Time now) {
    move_to(now);
    std::erase_if(running_, [&](const Running& one) { return one.ticket == ticket; });
    std::erase_if(queue_, [&](const Waiting& one) { return one.ticket == ticket; });
    fill();
}

void Crew::fill() {
    while (free() > 0 && !queue_.empty()) {
        running_.push_back({queue_.front().ticket, done_s_ + queue_.front().work_s});
        queue_.pop_front();
    }
}

void Crew::set_speed(double speed, Time now) {
    move_to(now);
    speed_ = speed;
}

std::vector<Ticket> Crew::ended(Time now) {
    move_to(now);
    std::ranges::stable_sort(running_, {}, &Running::ends_at);
    std::vector<Ticket> out;
    while (!running_.empty() && running_.front().ends_at <= done_s_ + tiny) {
        out.push_back(running_.front().ticket);
        running_.erase(running_.begin());
    }
    fill();
    return out;
}

std::optional<Time> Crew::next() const {
    if (running_.empty() || speed_ <= 0) return std::nullopt;
    const double least = std::ranges::min(running_, {}, &Running::ends_at).ends_at;
    const double wait = std::max(0.0, least - done_s_) / speed_;
    return now_ + Time(static_cast<Time::rep>(std::ceil(wait * 1e9)));
}

double Crew::busy_s(Time now) const {
    return busy_s_ + std::max(0.0, seconds(now - now_)) * static_cast<double>(running_.size());
}

} // namespace willowrill::lab::spread
