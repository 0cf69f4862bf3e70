// The members of the service as a scheduler has learned them from its core member. Free of I/O; not
// thread-safe.
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
    // Starts a new session: deltas are rejected until the next snapshot. The known members are kept until
    // then.
    void begin_session() { list_number_.reset(); }

    void apply(const messages::MembersSnapshot& snapshot);
    // Returns false, without any change, if the base of the delta is missing: the caller has to request a
    // snapshot.
    [[nodiscard]] bool apply(const messages::MembersDelta& delta);

    // Returns the members ordered by node name.
    std::vector<membership::Lease> members() const;

  private:
    void add_leases(const std::vector<membership::Lease>& leases);

    std::optional<std::uint64_t> list_number_;         // empty until the first snapshot of the session
    std::map<std::string, membership::Lease> members_; // by node; at most `max_leases`
};

} // namespace willowrill::distribution
