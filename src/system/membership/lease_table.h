// Membership by leases: each scheduler renews its own at a core member, and core members replicate them to
// each other. Knows no connections and no clock but the times it is given. Bounded: at most `max_leases`.
// One thread.
#pragma once

#include "system/protocol/version.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace willowrill::membership {

using Time = std::chrono::milliseconds; // steady

enum class Phase {
    starting, // knows no configuration yet
    ready,    // takes clients
    leaving   // serves those it has, and is to get no more
};

// What a scheduler says of itself when it renews.
struct Lease {
    std::string node;
    std::uint64_t incarnation = 0; // drawn anew at each start of the process
    std::uint64_t renewal = 0;     // counts up within an incarnation
    std::string zone;
    std::string region;
    std::string client_address; // where clients connect, HOST:PORT
    std::string peer_address;   // where other schedulers connect, HOST:PORT
    Phase phase = Phase::starting;
    protocol::VersionRange versions; // of the protocol, that its holder speaks
    bool operator==(const Lease&) const = default;
};

// Where a renewal comes from: its holder, or another core member, by which it may come late.
enum class Source { holder, core_member };

inline constexpr std::size_t max_leases = 4096;

class LeaseTable {
  public:
    // `duration`: how long a lease lasts from its renewal on.
    explicit LeaseTable(Time duration) : duration_(duration) {}

    // Takes in a renewal; one that is older than what is known, or of an incarnation that has ended, changes
    // nothing. True where the membership changed beyond the renewal's number.
    bool renew(Time now, const Lease& lease, Source source);
    // This incarnation of the holder goes on renewing at another core member. False where no lease of the
    // node is known; of another incarnation nothing is changed.
    bool extend(Time now, const std::string& node, std::uint64_t incarnation);
    // Ends a lease at once, as its holder's connection has broken. True where it was known.
    bool end(const std::string& node, std::uint64_t incarnation);
    // Removes the leases that have lapsed. True where there were any.
    bool expire(Time now);

    // In the order of their nodes.
    std::vector<Lease> leases() const;
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        Lease lease;
        Time renewed_at{0};
    };
    Time duration_;
    std::map<std::string, Entry> entries_; // by node
    // Incarnations that have ended, by node, so that a late renewal does not revive them.
    std::map<std::string, std::uint64_t> ended_incarnations_;
};

} // namespace willowrill::membership
