// Reference implementation of a sliding window for the budget tests.
#pragma once

#include "system/budget/sliding_window.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace willowrill::budget {

// Returns the number of times after `start`, up to and including `end`.
inline std::size_t count_within(const std::vector<Time>& times, Time start, Time end) {
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](Time time) { return time > start && time <= end; }));
}

} // namespace willowrill::budget
