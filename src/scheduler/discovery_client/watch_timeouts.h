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

struct WatchTimeouts {
    Duration max_hold{0};                // the longest wait that a call asks for
    Duration stall_timeout{0};           // after its hold; then discovery is asked beside it, with no hold
    Duration full_list_stall_timeout{0}; // the same for a whole list, which is dear: all may want it at once
    Duration retry_interval{
        0}; // between such calls, while none has failed: discovery may make its callers wait
    Duration reopen_delay{0};     // from a call that failed to the next where lists are pushed
    Duration connect_timeout{0};  // the longest that a connection may take to come up
    Duration response_timeout{0}; // the longest that a call which was sent may take beyond its hold

    // From the moment a watch falls silent, at the worst just as its call began, to the answer of the
    // `tries`-th call made after it, if that answer takes `answer`.
    Duration max_time_to_response(int tries, Duration answer) const {
        return max_hold + stall_timeout + (tries - 1) * retry_interval + answer;
    }
    // From the moment discovery can be reached again after calls have failed, at the worst just as one is
    // being given up, to the end of the answer that tells what it had then: the give-up of a connection, the
    // pause with its chance, another connection that comes up just in time, the answer, and the batch that
    // heeds it. With the whole fleet back at once, discovery may refuse a call after `refused` and be asked
    // once more.
    Duration max_time_to_list_after_failure(Duration longest_back_off, Duration refused, Duration answer,
                                            Duration tick) const {
        const Duration again_asked = refused > Duration(0) ? refused + longest_back_off : Duration(0);
        return connect_timeout + longest_back_off + again_asked + connect_timeout + answer + tick;
    }
    // The same where calls were not refused but lost: all that may be out at once were sent just before.
    Duration max_time_to_list_after_loss(Duration answer, Duration tick) const {
        return response_timeout + retry_interval + answer + tick;
    }
    // Where lists are pushed, what the agent has counts at once, and a broken watch is opened anew after
    // `reopen`; for the answer and the batch, what is left of the drain's grace.
    Duration max_time_to_list_from_agent(Duration answer, Duration tick) const {
        return reopen_delay + answer + tick;
    }
    // By then nothing more may be sent to a worker that began to drain in the silence.
    Duration drain_deadline(Duration drain_grace) const {
        return std::max(notified_after, max_hold + notified_after_hold) + drain_grace;
    }
    // The same after a call that failed, whatever else is allowed then.
    static Duration drain_deadline_after_failure(Duration drain_grace) {
        return notified_after + drain_grace;
    }
};

// `list_valid`: how long a list counts without a watch, 0 for no such time; `drain_grace`: within which sends
// to a draining worker must stop.
inline WatchTimeouts compute_watch_timeouts(Duration list_valid, Duration drain_grace) {
    using namespace std::chrono_literals;
    WatchTimeouts out;
    out.stall_timeout = 500ms;
    out.retry_interval = 1s;
    out.reopen_delay = std::clamp<Duration>(drain_grace / 2, 10ms, 500ms);
    out.full_list_stall_timeout = 1500ms;
    out.connect_timeout = 1s;
    out.response_timeout =
        4s; // discovery may make its callers wait, and one that gives up and asks anew lengthens that
    // What remains of the 6 s pays for being late and for two calls with all their answers' time.
    out.max_hold = notified_after - notified_after_hold - out.stall_timeout - out.connect_timeout;
    // A list that is valid for less is looked at more often. A hold beyond its validity gains nothing.
    if (list_valid > 0ns) out.max_hold = std::clamp<Duration>(list_valid / 2, 250ms, out.max_hold);
    return out;
}

} // namespace willowrill::discovery_client
