#include "scheduler/net/loop.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace willowrill::net {

void Loop::watch(int fd, short events, Pollable& pollable) {
    const auto fd_index = static_cast<std::size_t>(fd);
    if (entry_by_fd_.size() <= fd_index) entry_by_fd_.resize(fd_index + 1, 0);
    if (entry_by_fd_[fd_index] == 0) {
        poll_entries_.push_back({.fd = fd, .events = events, .revents = 0});
        pollables_.push_back(&pollable);
        entry_by_fd_[fd_index] = poll_entries_.size();
    } else {
        poll_entries_[entry_by_fd_[fd_index] - 1].events = events;
        pollables_[entry_by_fd_[fd_index] - 1] = &pollable;
    }
}

void Loop::unwatch(int fd) {
    const auto fd_index = static_cast<std::size_t>(fd);
    if (fd_index >= entry_by_fd_.size() || entry_by_fd_[fd_index] == 0) return;
    const std::size_t entry_index = std::exchange(entry_by_fd_[fd_index], 0) - 1;
    // The entry stays, disabled, until the end of the iteration: entries must not move while `run_once` walks
    // them, and the same number may be reused for another descriptor.
    poll_entries_[entry_index].fd = -1;
    pollables_[entry_index] = nullptr;
    has_removed_entries_ = true;
}

void Loop::run_once(Duration max_wait) {
    using std::chrono::milliseconds;
    Duration wait = max_wait;
    if (const auto next = timer_wheel_.next_wakeup()) wait = std::min(wait, *next - clock_.now());
    const auto wait_ms = std::chrono::ceil<milliseconds>(std::max(wait, Duration(0)));
    const int ready = ::poll(poll_entries_.data(), poll_entries_.size(), static_cast<int>(wait_ms.count()));
    if (ready < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "poll");
    const bool was_idle = ready == 0 && wait_ms.count() > 0;
    iterations_since_idle_ = was_idle ? 0 : iterations_since_idle_ + 1;
    now_ = clock_.now();
    const std::size_t count =
        ready > 0 ? poll_entries_.size() : 0; // entries that this iteration adds wait for the next
    for (std::size_t i = 0; i < count; ++i) {
        const short events = std::exchange(poll_entries_[i].revents, short{0});
        if (events != 0 && pollables_[i] != nullptr) pollables_[i]->on_ready(events);
    }
    timer_wheel_.advance(now_);
    if (iteration_end_hook_) iteration_end_hook_();
    pending_destruction_.clear();
    if (!std::exchange(has_removed_entries_, false)) return;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < poll_entries_.size(); ++i) {
        if (pollables_[i] == nullptr) continue;
        poll_entries_[kept] = poll_entries_[i];
        pollables_[kept] = pollables_[i];
        ++kept;
        entry_by_fd_[static_cast<std::size_t>(poll_entries_[i].fd)] = kept;
    }
    poll_entries_.resize(kept);
    pollables_.resize(kept);
}

void Loop::run() {
    while (!stopped_) {
        run_once(std::chrono::seconds(1));
    }
}

} // namespace willowrill::net
