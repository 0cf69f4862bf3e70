#include "system/replication/election_backoff.h"

#include <algorithm>

namespace willowrill::replication {

ElectionBackoff::ElectionBackoff(const Timing& timing)
    : first_election_(timing.first_election), initial_backoff_(timing.election_backoff_first),
      max_backoff_(timing.election_backoff_max) {}

void ElectionBackoff::start(Time now) {
    if (!not_before_) not_before_ = now + first_election_;
}

void ElectionBackoff::postpone_until(Time at) { not_before_ = std::max(not_before_.value_or(at), at); }

void ElectionBackoff::back_off(Time now) {
    backoff_ = std::clamp(2 * backoff_, initial_backoff_, max_backoff_);
    postpone_until(now + backoff_);
}

} // namespace willowrill::replication
