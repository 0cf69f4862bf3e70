#include "system/replication/election_backoff.h"

#include <algorithm>

namespace willowrill::replication {

ElectionBackoff::ElectionBackoff(const Timing& timing)
    : first_election_(timing.first_election), first_(timing.election_backoff_first),
      max_(timing.election_backoff_max) {}

void ElectionBackoff::begin(Time now) {
    if (!not_before_) not_before_ = now + first_election_;
}

void ElectionBackoff::wait_until(Time at) { not_before_ = std::max(not_before_.value_or(at), at); }

void ElectionBackoff::back_off(Time now) {
    backoff_ = std::clamp(2 * backoff_, first_, max_);
    wait_until(now + backoff_);
}

} // namespace willowrill::replication
