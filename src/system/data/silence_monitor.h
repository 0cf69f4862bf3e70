// For how long a worker that owes a response has said nothing, and whether that is too long. Pure.
#pragma once

#include "system/routing/worker.h"

#include <optional>

namespace willowrill::data {

class SilenceMonitor {
  public:
    // From now on the worker must not be silent for longer than `timeout`.
    void start(routing::Time now, routing::Time timeout);
    // From now on silence does not matter.
    void stop();
    // The worker has said something. Returns whether it had been silent for too long.
    bool note_activity(routing::Time now);

    // When the worker will have been silent for too long; nothing where it is already, or may be.
    std::optional<routing::Time> due() const;
    // Looks at the time. Returns whether the worker has just become silent for too long.
    bool expire(routing::Time now);
    // It is silent for too long.
    bool is_silent() const { return state_ == State::silent; }

  private:
    enum class State { stopped, active, silent };

    State state_ = State::stopped;
    routing::Time last_activity_{0};
    routing::Time timeout_{0};
};

} // namespace willowrill::data
