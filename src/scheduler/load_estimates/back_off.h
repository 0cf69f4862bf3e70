// Exponential back-off with jitter for requests to the discovery service after failed calls. All callers
// share it. Pure functions.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace willowrill::load_estimates {

// Upper bound of the back-off, independent of the number of failures. `discovery_client::WatchTimeouts` has
// the time budget that it is a part of.
inline constexpr std::chrono::nanoseconds max_back_off = std::chrono::seconds(1);
inline constexpr std::chrono::nanoseconds initial_back_off = std::chrono::milliseconds(500);

// Returns the back-off after `failures` earlier consecutive failures (0 for the first); it doubles with each.
// `jitter`, from 0 to 1, shortens it by up to half, so that a whole fleet does not retry at the same moment.
inline std::chrono::nanoseconds back_off_after(int failures, double jitter) {
    using Seconds = std::chrono::duration<double>;
    const int doublings = std::min(failures, 16); // the upper bound is reached long before
    const Seconds back_off =
        std::min<Seconds>(max_back_off, std::ldexp(1.0, doublings) * Seconds(initial_back_off));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(back_off * (1 - jitter / 2));
}

} // namespace willowrill::load_estimates
