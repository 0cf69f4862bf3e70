// Membership by leases: each scheduler renews its own at a core member, and core members tell each other.
// Bounded: at most `most_leases`. Pure.
#pragma once

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
    bool operator==(const Lease&) const = default;
};

// Who told of a renewal: its holder, or another core member, whose word may be late.
enum class Source { holder, core_member };

inline constexpr std::size_t most_leases = 4096;

class LeaseTable {
  public:
    explicit LeaseTable(Time duration) : duration_(duration) {}

    // Takes in a renewal. Says whether the view changed beyond the renewal's number.
    bool renew(Time now, const Lease& lease, Source source);
    // Another core member says that this life of the holder goes on renewing there. False where no lease of
    // the node is known; of another life nothing is changed.
    bool extend(Time now, const std::string& node, std::uint64_t incarnation);
    // Ends a lease at once: its holder's connection has broken.
    bool end(const std::string& node, std::uint64_t incarnation);
    // Removes what has lapsed. Says whether anything did.
    bool expire(Time now);

    std::vector<Lease> leases() const;
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        Lease lease;
        Time renewed{0};
    };
    Time duration_;
    std::map<std::string, Entry> entries_; // by node
    std::map<std::string, std::uint64_t>
        ended_; // incarnations that are over, so that late word does not revive them
};

} // namespace willowrill::membership
