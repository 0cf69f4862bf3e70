// The clock of the system's processes.
#pragma once

#include <chrono>

namespace willowrill {

// The steady clock, as all state machines take it. Any thread.
inline std::chrono::milliseconds steady_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace willowrill
