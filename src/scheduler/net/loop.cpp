#include "scheduler/net/loop.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace willowrill::net {

void Loop::watch(int fd, short events, Pollable& pollable) {
    const auto at = static_cast<std::size_t>(fd);
    if (position_.size() <= at) position_.resize(at + 1, 0);
    if (position_[at] == 0) {
        polled_.push_back({.fd = fd, .events = events, .revents = 0});
        pollables_.push_back(&pollable);
        position_[at] = polled_.size();
    } else {
        polled_[position_[at] - 1].events = events;
        pollables_[position_[at] - 1] = &pollable;
    }
}

void Loop::unwatch(int fd) {
    const auto at = static_cast<std::size_t>(fd);
    if (at >= position_.size() || position_[at] == 0) return;
    const std::size_t position = std::exchange(position_[at], 0) - 1;
    // The place stays empty to the end of the round: the same number may come back as another descriptor.
    polled_[position].fd = -1;
    pollables_[position] = nullptr;
    holes_ = true;
}

void Loop::run_once(Duration at_most) {
    using std::chrono::milliseconds;
    Duration wait = at_most;
    if (const auto next = wheel_.next()) wait = std::min(wait, *next - clock_.now());
    const auto wait_ms = std::chrono::ceil<milliseconds>(std::max(wait, Duration(0)));
    const int ready = ::poll(polled_.data(), polled_.size(), static_cast<int>(wait_ms.count()));
    if (ready < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "poll");
    const bool waited = ready == 0 && wait_ms.count() > 0;
    rounds_since_wait_ = waited ? 0 : rounds_since_wait_ + 1;
    now_ = clock_.now();
    const std::size_t count =
        ready > 0 ? polled_.size() : 0; // what is added in this round waits for the next
    for (std::size_t i = 0; i < count; ++i) {
        const short events = std::exchange(polled_[i].revents, short{0});
        if (events != 0 && pollables_[i] != nullptr) pollables_[i]->on_ready(events);
    }
    wheel_.advance(now_);
    if (round_end_) round_end_();
    buried_.clear();
    if (!std::exchange(holes_, false)) return;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < polled_.size(); ++i) {
        if (pollables_[i] == nullptr) continue;
        polled_[kept] = polled_[i];
        pollables_[kept] = pollables_[i];
        ++kept;
        position_[static_cast<std::size_t>(polled_[i].fd)] = kept;
    }
    polled_.resize(kept);
    pollables_.resize(kept);
}

void Loop::run() {
    while (!stopped_) {
        run_once(std::chrono::seconds(1));
    }
}

} // namespace willowrill::net
