// Singleton roles: the primary assigns each key to one owner among the live candidates, with a fencing token
// that increases with every change of owner. An owner without activity for the timeout loses the key. No I/O
// and no clock.
#pragma once

#include "system/discovery/instances.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace willowrill::ownership {

using Time = std::chrono::milliseconds;
using FencingToken = discovery::FencingToken;

struct Assignment {
    std::string key;
    std::string owner;
    FencingToken token;
    bool operator==(const Assignment&) const = default;
};

// The rendezvous hashing weight of a candidate for a key. All processes compute the same weight, and few keys
// move when candidates join or leave.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// The candidates by descending weight for the key.
std::vector<std::string> rendezvous_order(std::string_view key, const std::vector<std::string>& candidates);

// Whether each key is assigned to its highest-ranking candidate, or all keys to one candidate.
enum class Placement { distributed, colocated };

// Used by the primary of an epoch; a new one is created for each epoch.
class RoleAssigner {
  public:
    RoleAssigner(std::uint64_t epoch, Time timeout, Placement placement = Placement::distributed)
        : epoch_(epoch), timeout_(timeout), placement_(placement) {}

    // Records that the owner was active for the key under this token. Other tokens are ignored.
    void on_owner_activity(const std::string& key, FencingToken token, Time now);
    // Returns the assignments of all keys, and reassigns keys without a live and active owner. Colocated keys
    // that were separated by the failure of an owner are joined again after the failed owner's cooldown.
    std::vector<Assignment> assign(const std::vector<std::string>& keys, const std::vector<std::string>& live,
                                   Time now);

    // Passes every field that influences future assignments to `visitor(fields...)`, for the model checker in
    // src/system/verification.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(epoch_, number_, roles_.size());
        for (const auto& [key, role] : roles_) {
            const FencingToken& token = role.assignment.token;
            visitor(key, role.assignment.owner, token.epoch, token.number, role.last_activity_at,
                    role.assigned_at, role.failed_candidates);
        }
    }

  private:
    struct Role {
        Assignment assignment;
        Time last_activity_at{0};
        Time assigned_at{0};
        std::map<std::string, Time> failed_candidates; // inactive owners and when they lost the key
    };
    bool has_active_owner(const Role& role, const std::vector<std::string>& live, Time now) const;
    // The candidate to assign the key to; empty if there is none.
    std::string choose_owner(const std::string& key, const Role& role, const std::vector<std::string>& live,
                             Time now) const;
    // The active owner of the most keys; empty if there is none.
    std::string owner_of_most_keys(const std::vector<std::string>& live, Time now) const;
    // Whether a colocated key should move to `owner`, which holds the most keys.
    bool should_move_to(const std::string& owner, const Role& role, Time now) const;

    std::uint64_t epoch_;
    std::uint64_t number_ = 0;
    Time timeout_;
    Placement placement_;
    std::map<std::string, Role> roles_; // bounded by the number of zones
};

} // namespace willowrill::ownership
