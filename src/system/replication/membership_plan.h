// Who are the members of the next epoch. Pure.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace willowrill::replication {

using PrepareReplies = std::map<MemberId, PrepareReply>; // of those who granted, by member

// A backup's place in the order in which backups start an election: in-sync members with a complete state
// come first, in the order after the last primary, from 0; then all others, with one rank.
std::size_t succession_rank(const MemberId& self, const WitnessRegister& known);

// Grows the witnesses to `full_count`, and replaces those that `may_replace` names, as far as there are
// candidates. The last candidates come first. Sorted.
std::vector<MemberId> next_witnesses(std::vector<MemberId> current, std::vector<MemberId> candidates,
                                     const std::function<bool(const MemberId&)>& may_replace,
                                     std::size_t full_count);

// The witnesses that granted the prepare and stay, and this member; those that shut down only where there are
// fewer than `min_count` others.
std::vector<MemberId> next_in_sync(const MemberId& self, const std::vector<MemberId>& witnesses,
                                   const PrepareReplies& replies, std::size_t min_count);

} // namespace willowrill::replication
