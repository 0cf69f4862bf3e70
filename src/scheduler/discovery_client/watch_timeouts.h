// The timeouts of watching discovery, computed from the settings, and the resulting bounds on how late a
// change of the list is noticed. Pure computation, without I/O. docs/history/scale.md has the formula and the
// values of each deployment.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <chrono>

namespace willowrill::discovery_client {

using willowrill::Duration;

// Rules of STANDING.md: a change that a stalled watch misses counts as notified 6 s after the stall began or,
// for a request with a hold, 2 s after the end of the hold if that is later.
inline constexpr Duration notification_deadline = std::chrono::seconds(6);
inline constexpr Duration notification_deadline_after_hold = std::chrono::seconds(2);

// The timeouts of `DiscoveryWatcher`, and the bounds that follow from them.
struct WatchTimeouts {
    // The longest hold that a request asks discovery for.
    Duration max_hold{0};
    // How long after its hold a request may stay unanswered before another one is sent beside it, without a
    // hold.
    Duration stall_timeout{0};
    // The same for a full list. Such a response is expensive, and the whole fleet may request it at once.
    Duration full_list_stall_timeout{0};
    // The pause between such requests while none has failed, as discovery may make its callers wait.
    Duration retry_interval{0};
    // Where lists are pushed, the pause between a failure and the next request.
    Duration reopen_delay{0};
    Duration connect_timeout{0};
    // How long a request that has been sent may take beyond its hold.
    Duration response_timeout{0};

    // The time from the start of a stall, in the worst case the start of the request, to the response of the
    // `attempts`-th request sent after it, if that response takes `response_time`.
    Duration max_time_to_response(int attempts, Duration response_time) const {
        return max_hold + stall_timeout + (attempts - 1) * retry_interval + response_time;
    }
    // The time from the moment that discovery is reachable again after failed requests to the end of the
    // batch that processes its list. In the worst case, discovery returns just as a connection attempt times
    // out; then follow the randomized back-off, a connection attempt that succeeds just in time, the response
    // and the batch. If the whole fleet returns at once, discovery may refuse a request after
    // `refused_after`, which adds one retry.
    Duration max_time_to_list_after_failure(Duration longest_back_off, Duration refused_after,
                                            Duration response_time, Duration tick) const {
        const Duration retry_time =
            refused_after > Duration(0) ? refused_after + longest_back_off : Duration(0);
        return connect_timeout + longest_back_off + retry_time + connect_timeout + response_time + tick;
    }
    // The same if requests were lost instead of refused: the maximum number of them was sent just before.
    Duration max_time_to_list_after_loss(Duration response_time, Duration tick) const {
        return response_timeout + retry_interval + response_time + tick;
    }
    // The same where an agent pushes the lists: what the agent has counts as notified at once, and a broken
    // watch is reopened after `reopen_delay`. The response and the batch must fit into the rest of the drain
    // grace.
    Duration max_time_to_list_from_agent(Duration response_time, Duration tick) const {
        return reopen_delay + response_time + tick;
    }
    // The time after which nothing may be sent to a worker that began to drain during a stall.
    Duration drain_deadline(Duration drain_grace) const {
        return std::max(notification_deadline, max_hold + notification_deadline_after_hold) + drain_grace;
    }
    // The same after a failed request, for which the hold does not extend the time.
    static Duration drain_deadline_after_failure(Duration drain_grace) {
        return notification_deadline + drain_grace;
    }
};

// `list_valid` is how long a list is valid without a watch, 0 if there is no limit. `drain_grace` is the time
// within which sends to a draining worker must stop.
inline WatchTimeouts compute_watch_timeouts(Duration list_valid, Duration drain_grace) {
    using namespace std::chrono_literals;
    WatchTimeouts timeouts;
    timeouts.stall_timeout = 500ms;
    timeouts.retry_interval = 1s;
    timeouts.reopen_delay = std::clamp<Duration>(drain_grace / 2, 10ms, 500ms);
    timeouts.full_list_stall_timeout = 1500ms;
    timeouts.connect_timeout = 1s;
    // Discovery may make its callers wait, and callers that give up and retry early lengthen that wait.
    timeouts.response_timeout = 4s;
    // The rest of the 6 s is left for the stall timeout and for two requests with the full time of their
    // responses.
    timeouts.max_hold = notification_deadline - notification_deadline_after_hold - timeouts.stall_timeout -
                        timeouts.connect_timeout;
    // A list with a shorter validity is requested more often. A hold beyond its validity has no benefit.
    if (list_valid > 0ns) timeouts.max_hold = std::clamp<Duration>(list_valid / 2, 250ms, timeouts.max_hold);
    return timeouts;
}

} // namespace willowrill::discovery_client
