#include "system/data/silence_monitor.h"

namespace willowrill::data {

using routing::Time;

void SilenceMonitor::start(Time now, Time timeout) {
    state_ = State::active;
    last_activity_ = now;
    timeout_ = timeout;
}

void SilenceMonitor::stop() { state_ = State::stopped; }

bool SilenceMonitor::note_activity(Time now) {
    const bool was_silent = is_silent();
    if (was_silent) state_ = State::active;
    last_activity_ = now;
    return was_silent;
}

std::optional<Time> SilenceMonitor::due() const {
    if (state_ != State::active) return std::nullopt;
    return last_activity_ + timeout_;
}

bool SilenceMonitor::expire(Time now) {
    const std::optional<Time> at = due();
    if (!at || now < *at) return false;
    state_ = State::silent;
    return true;
}

} // namespace willowrill::data
