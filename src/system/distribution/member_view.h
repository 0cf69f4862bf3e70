// The members of the service as a scheduler knows them from its core member. Pure; one thread.
#pragma once

#include "system/membership/lease_table.h"
#include "system/messages/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::distribution {

class MemberView {
  public:
    // Deltas count from the next snapshot on; the members known stay until it comes.
    void begin_session() { number_.reset(); }

    void apply(const messages::MembersSnapshot& snapshot);
    // False where the base of the delta is missing: nothing has changed, and the snapshot has to be
    // requested.
    [[nodiscard]] bool apply(const messages::MembersDelta& delta);

    // In the order of their nodes' names.
    std::vector<membership::Lease> members() const;

  private:
    void add(const std::vector<membership::Lease>& leases);

    std::optional<std::uint64_t> number_;              // of the list; none until the session's first snapshot
    std::map<std::string, membership::Lease> members_; // by node; bounded as lease tables are
};

} // namespace willowrill::distribution
