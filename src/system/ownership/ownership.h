// Singleton roles: each key has one owner among the live candidates, named by the primary under a fencing
// token that grows with every change of owner. An owner whose work is not seen for a while loses the key.
// Pure.
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

// The rank of a candidate for a key: the same everywhere, and few keys move when candidates come and go.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

// Candidates with the best first.
std::vector<std::string> rendezvous_order(std::string_view key, const std::vector<std::string>& candidates);

// Whether each key goes to the candidate that ranks best for it, or all keys to one candidate.
enum class Placement { distributed, colocated };

// Run by the primary of an epoch; made anew for each epoch.
class RoleAssigner {
  public:
    RoleAssigner(std::uint64_t epoch, Time timeout, Placement placement = Placement::distributed)
        : epoch_(epoch), timeout_(timeout), placement_(placement) {}

    // The owner's work under this token has been seen.
    void on_owner_activity(const std::string& key, FencingToken token, Time now);
    // Assigns what has no live owner, or one that shows no work. Keys that are to be together and came apart,
    // as one of them was lost, come together again once that is forgotten.
    std::vector<Assignment> assign(const std::vector<std::string>& keys, const std::vector<std::string>& live,
                                   Time now);

    // Shows a visitor all that decides what is assigned next: `visitor(fields...)`. For searches through
    // states (src/system/verification).
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(epoch_, number_, roles_.size());
        for (const auto& [key, role] : roles_) {
            const FencingToken& token = role.assignment.token;
            visitor(key, role.assignment.owner, token.epoch, token.number, role.seen, role.assigned,
                    role.failed);
        }
    }

  private:
    struct Role {
        Assignment assignment;
        Time seen{0};
        Time assigned{0};
        std::map<std::string, Time> failed; // candidates that showed no work, and when
    };
    bool has_working_owner(const Role& role, const std::vector<std::string>& live, Time now) const;
    // The candidate that the key is to go to now; "" where there is none.
    std::string choose(const std::string& key, const Role& role, const std::vector<std::string>& live,
                       Time now) const;
    // Of all keys, the owner of the most that works; "" where there is none.
    std::string owner_of_most(const std::vector<std::string>& live, Time now) const;
    bool is_apart_from(const std::string& owner, const Role& role, Time now) const;

    std::uint64_t epoch_;
    std::uint64_t number_ = 0;
    Time timeout_;
    Placement placement_;
    std::map<std::string, Role> roles_; // bounded by the number of zones
};

} // namespace willowrill::ownership
