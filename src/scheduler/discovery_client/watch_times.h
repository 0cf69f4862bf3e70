// How long the standing question to discovery may be left unanswered, as a sum of all parts from the
// settings. It knows no sockets. docs/history/scale.md has the formula with the figures of each deployment.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <chrono>

namespace willowrill::discovery_client {

using willowrill::Duration;

// STANDING.md: what a silent watch misses counts as told 6 s after it fell silent or, for a call that may
// wait, 2 s after that wait, if that is later.
inline constexpr Duration notified_after = std::chrono::seconds(6);
inline constexpr Duration notified_after_hold = std::chrono::seconds(2);

struct WatchTimes {
    Duration hold{0};       // the longest wait that a call asks for
    Duration late{0};       // after its hold; then discovery is asked beside it, with no hold
    Duration late_whole{0}; // the same for a whole list, which is dear: all may want it at once
    Duration again{0};      // between such calls, while none has failed: discovery may make its callers wait
    Duration reopen{0};     // from a call that failed to the next where lists are pushed
    Duration open{0};       // the longest that a connection may take to come up
    Duration lost{0};       // the longest that a call which was sent may take beyond its hold

    // From the moment a watch falls silent, at the worst just as its call began, to the answer of the
    // `tries`-th call made after it, if that answer takes `answer`.
    Duration heard_by(int tries, Duration answer) const { return hold + late + (tries - 1) * again + answer; }
    // From the moment discovery can be reached again after calls have failed, at the worst just as one is
    // being given up, to the end of the answer that tells what it had then: the give-up of a connection, the
    // pause with its chance, another connection that comes up just in time, the answer, and the batch that
    // heeds it. With the whole fleet back at once, discovery may refuse a call after `refused` and be asked
    // once more.
    Duration heard_after_failure(Duration longest_back_off, Duration refused, Duration answer,
                                 Duration tick) const {
        const Duration again_asked = refused > Duration(0) ? refused + longest_back_off : Duration(0);
        return open + longest_back_off + again_asked + open + answer + tick;
    }
    // The same where calls were not refused but lost: all that may be out at once were sent just before.
    Duration heard_after_loss(Duration answer, Duration tick) const { return lost + again + answer + tick; }
    // Where lists are pushed, what the agent has counts at once, and a broken watch is opened anew after
    // `reopen`; for the answer and the batch, what is left of the drain's grace.
    Duration heard_from_agent(Duration answer, Duration tick) const { return reopen + answer + tick; }
    // By then nothing more may be sent to a worker that began to drain in the silence.
    Duration allowed(Duration drain_grace) const {
        return std::max(notified_after, hold + notified_after_hold) + drain_grace;
    }
    // The same after a call that failed, whatever else is allowed then.
    static Duration allowed_after_failure(Duration drain_grace) { return notified_after + drain_grace; }
};

// `list_valid`: how long a list counts without a watch, 0 for no such time; `drain_grace`: within which sends
// to a draining worker must stop.
inline WatchTimes watch_times(Duration list_valid, Duration drain_grace) {
    using namespace std::chrono_literals;
    WatchTimes out;
    out.late = 500ms;
    out.again = 1s;
    out.reopen = std::clamp<Duration>(drain_grace / 2, 10ms, 500ms);
    out.late_whole = 1500ms;
    out.open = 1s;
    out.lost = 4s; // discovery may make its callers wait, and one that gives up and asks anew lengthens that
    // What remains of the 6 s pays for being late and for two calls with all their answers' time.
    out.hold = notified_after - notified_after_hold - out.late - out.open;
    // A list that is valid for less is looked at more often. A hold beyond its validity gains nothing.
    if (list_valid > 0ns) out.hold = std::clamp<Duration>(list_valid / 2, 250ms, out.hold);
    return out;
}

} // namespace willowrill::discovery_client
