// Membership by leases: each scheduler renews its lease at a core member, and core members replicate the
// renewals to each other. Has no connections and no clock; callers pass the time. Holds at most `max_leases`
// leases. Not thread-safe.
#pragma once

#include "system/protocol/version.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace willowrill::membership {

using Time = std::chrono::milliseconds; // of a steady clock

enum class Phase {
    starting, // has no configuration yet
    ready,    // accepts clients
    leaving   // serves its existing clients and accepts no new ones
};

// The data that a scheduler sends with each renewal.
struct Lease {
    std::string node;
    std::uint64_t incarnation = 0; // random number chosen at each start of the process
    std::uint64_t renewal = 0;     // increases within an incarnation
    std::string zone;
    std::string region;
    std::string client_address; // where clients connect, HOST:PORT
    std::string peer_address;   // where other schedulers connect, HOST:PORT
    Phase phase = Phase::starting;
    protocol::VersionRange versions; // protocol versions that the holder supports
    bool operator==(const Lease&) const = default;
};

// The sender of a renewal: the holder itself, or another core member, whose copy may arrive late.
enum class Source { holder, core_member };

inline constexpr std::size_t max_leases = 4096;

class LeaseTable {
  public:
    // `duration`: how long a lease is valid after its renewal.
    explicit LeaseTable(Time duration) : duration_(duration) {}

    // Applies a renewal, unless it is older than the known one or belongs to an ended incarnation. Returns
    // true if the lease is new or a field other than the renewal number changed.
    bool renew(Time now, const Lease& lease, Source source);
    // Extends a lease whose holder keeps renewing at another core member. Returns false if no lease of the
    // node is known. A lease of another incarnation is not changed.
    bool extend(Time now, const std::string& node, std::uint64_t incarnation);
    // Ends a lease immediately, because its holder's connection is closed. Returns true if it was known.
    bool end(const std::string& node, std::uint64_t incarnation);
    // Removes expired leases. Returns true if there were any.
    bool expire(Time now);

    // All leases, ordered by node.
    std::vector<Lease> leases() const;
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        Lease lease;
        Time renewed_at{0};
    };
    Time duration_;
    std::map<std::string, Entry> entries_; // by node
    // The last ended incarnation of each node, so that a late renewal does not revive it.
    std::map<std::string, std::uint64_t> ended_incarnations_;
};

} // namespace willowrill::membership
