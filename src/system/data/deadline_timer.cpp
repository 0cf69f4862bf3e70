#include "system/data/deadline_timer.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace willowrill::data {

struct DeadlineTimer::State {
    explicit State(asio::io_context& loop) : timer(loop) {}
    SteadyTimer timer;
    std::uint64_t generation = 0; // of the newest start; a handler of an older one does nothing
    std::function<void()> on_expiry;
};

DeadlineTimer::DeadlineTimer(asio::io_context& loop) : state_(std::make_shared<State>(loop)) {}

void DeadlineTimer::start(std::chrono::milliseconds after, std::function<void()> on_expiry) {
    const std::uint64_t generation = ++state_->generation;
    state_->on_expiry = std::move(on_expiry);
    state_->timer.expires_after(std::max(std::chrono::milliseconds(0), after));
    state_->timer.async_wait([state = state_, generation](ErrorCode aborted) {
        if (aborted || generation != state->generation) return;
        const std::function<void()> expired = std::exchange(state->on_expiry, nullptr);
        expired(); // may start the timer anew, or destroy it
    });
}

void DeadlineTimer::cancel() {
    ++state_->generation;
    state_->on_expiry = nullptr;
    state_->timer.cancel();
}

} // namespace willowrill::data
