// Pure functions that choose the members of the next epoch.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace willowrill::replication {

using PrepareReplies = std::map<MemberId, PrepareReply>; // granted replies, by member

// The rank of a backup in the order in which backups start an election. In-sync members with a complete state
// rank from 0, in the order of the in-sync set starting at the last primary. All others share one higher
// rank.
std::size_t succession_rank(const MemberId& self, const WitnessRegister& known);

// Replaces the witnesses for which `may_replace` holds and then grows the set up to `full_count`, as far as
// there are candidates. Candidates are taken from the back. The result is sorted.
std::vector<MemberId> next_witnesses(std::vector<MemberId> current, std::vector<MemberId> candidates,
                                     const std::function<bool(const MemberId&)>& may_replace,
                                     std::size_t full_count);

// The witnesses that granted the prepare request and are not shutting down, and this member. Members that
// shut down are included only while the set has fewer than `min_count` members.
std::vector<MemberId> next_in_sync(const MemberId& self, const std::vector<MemberId>& witnesses,
                                   const PrepareReplies& replies, std::size_t min_count);

} // namespace willowrill::replication
