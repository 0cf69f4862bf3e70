// The members as a scheduler holds them, on one session with a core member. Pure.
#pragma once

#include "system/membership/lease_table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::distribution {

class HeldMembers {
  public:
    // A new session: changes count from the next whole list on. What is held stays until then.
    void begin_session() { number_.reset(); }

    // Takes in a "members" or "members-change" message. False for a change of a list that is not held: the
    // whole one has to be asked for. Throws nlohmann::json::exception on a message of the wrong shape.
    bool take(const nlohmann::json& message);

    std::vector<membership::Lease> members() const;

  private:
    std::optional<std::uint64_t> number_;
    std::map<std::string, membership::Lease> members_; // by node; at most `most_leases`
};

} // namespace willowrill::distribution
