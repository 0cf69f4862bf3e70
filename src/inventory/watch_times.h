// How long the standing question to discovery may be left unanswered, as a sum of all parts from the
// settings. It knows no sockets. docs/scale.md has the formula with the figures of each deployment.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <chrono>

namespace willowrill::inventory {

using willowrill::Duration;

// STANDING.md: what a silent watch misses counts as told 6 s after it fell silent or, for a call that may
// wait, 2 s after that wait, if that is later.
inline constexpr Duration told_after = std::chrono::seconds(6);
inline constexpr Duration told_after_hold = std::chrono::seconds(2);

struct WatchTimes {
    Duration hold{0};       // the longest wait that a call asks for
    Duration late{0};       // after its hold; then discovery is asked beside it, with no hold
    Duration late_whole{0}; // the same for a whole list, which is dear: all may want it at once
    Duration again{0}; // between such calls, and from a call that failed to the next where lists are pushed
    Duration open{0};  // the longest that a connection may take to come up
    Duration lost{0};  // the longest that a call which was sent may take beyond its hold

    // From the moment a watch falls silent, at the worst just as its call began, to the answer of the
    // `tries`-th call made after it, if that answer takes `answer`.
    Duration heard_by(int tries, Duration answer) const { return hold + late + (tries - 1) * again + answer; }
    // By then nothing more may be sent to a worker that began to drain in the silence.
    Duration allowed(Duration drain_grace) const {
        return std::max(told_after, hold + told_after_hold) + drain_grace;
    }
};

// `list_valid`: how long a list counts without a watch, 0 for no such time; `drain_grace`: within which sends
// to a draining worker must stop.
inline WatchTimes watch_times(Duration list_valid, Duration drain_grace) {
    using namespace std::chrono_literals;
    WatchTimes out;
    out.late = 500ms;
    out.again = std::clamp<Duration>(drain_grace / 2, 50ms, 500ms);
    out.late_whole = 1500ms;
    out.open = 1s;
    out.lost = 4s; // discovery may make its callers wait, and one that gives up and asks anew lengthens that
    // What remains of the 6 s pays for being late and for two calls with all their answers' time.
    out.hold = told_after - told_after_hold - out.late - out.open;
    // A list that is valid for less is looked at more often. A hold beyond its validity gains nothing.
    if (list_valid > 0ns) out.hold = std::clamp<Duration>(list_valid / 2, 250ms, out.hold);
    return out;
}

} // namespace willowrill::inventory
