// The pause before discovery is asked again after calls that failed: one rule for all who ask. Pure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

namespace willowrill::load_estimates {

// The longest pause, whatever has failed before: see `discovery_client::WatchTimes` for the sum that it is a
// part of.
inline constexpr std::chrono::nanoseconds max_back_off = std::chrono::seconds(1);
inline constexpr std::chrono::nanoseconds initial_back_off = std::chrono::milliseconds(500);

// After so many failures in a row, from 0; twice as long each time. `chance`, from 0 to 1, takes up to half
// of it away, so that a whole fleet does not come back at one moment.
inline std::chrono::nanoseconds back_off_after(int failures, double chance) {
    using Seconds = std::chrono::duration<double>;
    const int doubled = std::min(failures, 16); // the bound is reached long before
    const Seconds pause =
        std::min<Seconds>(max_back_off, std::ldexp(1.0, doubled) * Seconds(initial_back_off));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(pause * (1 - chance / 2));
}

} // namespace willowrill::load_estimates
