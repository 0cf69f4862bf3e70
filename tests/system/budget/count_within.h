// A plain model of a window of time.
#pragma once

#include "system/budget/sliding_window.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace willowrill::budget {

// Times after `from`, up to `to`.
inline std::size_t count_within(const std::vector<Time>& times, Time from, Time to) {
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](Time at) { return at > from && at <= to; }));
}

} // namespace willowrill::budget
