// Arithmetic of quorums and sets of members. Pure.
#pragma once

#include "system/replication/types.h"

#include <cstddef>
#include <set>
#include <vector>

namespace willowrill::replication {

bool contains(const std::vector<MemberId>& group, const MemberId& member);

// Whether more than half of the group are among the members. Never so for an empty group.
bool has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& members);

// In-sync members needed so that one copy is left after `tolerated` losses.
constexpr std::size_t min_in_sync(std::size_t tolerated_losses) { return tolerated_losses + 1; }

// Witnesses needed so that more than half of them are left after `tolerated` losses.
constexpr std::size_t full_witness_count(std::size_t tolerated_losses) { return 2 * tolerated_losses + 1; }

} // namespace willowrill::replication
