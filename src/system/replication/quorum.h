// Pure functions on quorums and sets of members.
#pragma once

#include "system/replication/types.h"

#include <cstddef>
#include <set>
#include <vector>

namespace willowrill::replication {

bool contains(const std::vector<MemberId>& group, const MemberId& member);

// Whether the record names the member, as a witness or as in sync.
bool takes_part(const EpochRecord& record, const MemberId& member);

// Whether more than half of the group are among the members. Always false for an empty group.
bool has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& members);

// In-sync members needed so that one copy remains after `tolerated_losses` losses.
constexpr std::size_t min_in_sync(std::size_t tolerated_losses) { return tolerated_losses + 1; }

// Witnesses needed so that a majority of them remains after `tolerated_losses` losses.
constexpr std::size_t full_witness_count(std::size_t tolerated_losses) { return 2 * tolerated_losses + 1; }

} // namespace willowrill::replication
