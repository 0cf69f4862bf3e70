// The schedulers' leases as this core member knows them: those renewed here, and those that other members
// tell of. What is renewed here is told as changes of a numbered list; between changes a proof of life that
// names the number stands for a renewal of every lease in it. A member that lacks the number asks for the
// whole list. Pure; one thread.
#pragma once

#include "system/membership/lease_table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace willowrill::control {

class LeaseGossip {
  public:
    struct Callbacks {
        std::function<void(const nlohmann::json&)> broadcast;                // to all other core members
        std::function<void(const std::string&, const nlohmann::json&)> send; // to one of them
        std::function<void(const std::vector<membership::Lease>&)> changed;
    };
    // `life`: drawn anew at each start of the process.
    LeaseGossip(std::uint64_t life, Callbacks callbacks);

    void on_renewed(membership::Time now, const membership::Lease& lease);
    // The connection on which it was renewed here has broken.
    void on_disconnected(const membership::Lease& lease);
    // A message of another member: "leases", "leases-change", "leases-alive" or "leases-wanted". Throws
    // nlohmann::json::exception on one of the wrong shape.
    void on_message(membership::Time now, const std::string& from, const nlohmann::json& message);
    // A member that has just been connected to.
    void on_connected(const std::string& member) const;
    void expire(membership::Time now);
    // Tells the others what has changed, and that the rest is alive.
    void tell();

    std::vector<membership::Lease> leases() const { return leases_.leases(); }

  private:
    // What another member has told of the leases renewed there.
    struct Told {
        std::uint64_t life = 0;
        std::uint64_t number = 0;
        std::map<std::string, std::uint64_t> incarnations; // by node, at most `most_leases`
    };
    bool take_whole(membership::Time now, Told& told, const nlohmann::json& message);
    bool take_change(membership::Time now, Told& told, const nlohmann::json& message);
    bool take_leases(membership::Time now, Told& told, const nlohmann::json& leases);
    // False where a lease that it vouches for has lapsed here.
    bool take_proof_of_life(membership::Time now, const Told& told, const nlohmann::json& message);
    nlohmann::json message(const char* type) const;
    nlohmann::json whole_message() const;
    void send_change(const std::vector<membership::Lease>& set, const std::vector<std::string>& gone);
    void on_changed() const { callbacks_.changed(leases_.leases()); }

    std::uint64_t life_;
    Callbacks callbacks_;
    membership::LeaseTable leases_;
    std::map<std::string, membership::Lease> renewed_here_; // by node, at most `most_leases`
    std::set<std::string> renewed_since_told_;              // nodes among them
    std::set<std::string> gone_since_told_;                 // nodes that were among them
    std::uint64_t number_ = 0;                              // of the list last told
    std::map<std::string, Told> told_;                      // by core member; bounded, as the mesh is
};

} // namespace willowrill::control
