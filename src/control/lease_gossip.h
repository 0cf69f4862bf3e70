// The schedulers' leases as this core member knows them: those renewed here, and those that other members
// tell of. Pure; one thread.
#pragma once

#include "membership/lease_table.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace willowrill::control {

class LeaseGossip {
  public:
    struct Callbacks {
        std::function<void(const nlohmann::json&)> broadcast; // to all other core members
        std::function<void(const std::vector<membership::Lease>&)> changed;
    };
    explicit LeaseGossip(Callbacks callbacks);

    void on_renewed(membership::Time now, const membership::Lease& lease);
    // The connection on which it was renewed here has broken.
    void on_disconnected(const membership::Lease& lease);
    // What another member has told. Throws nlohmann::json::exception on a message of the wrong shape.
    void on_gossip(membership::Time now, const nlohmann::json& message);
    void expire(membership::Time now);
    // Tells the others of the leases renewed here, and of the core members this one reaches.
    void tell(const std::vector<std::string>& core) const;

    std::vector<membership::Lease> leases() const { return leases_.leases(); }

  private:
    void on_changed() const { callbacks_.changed(leases_.leases()); }

    Callbacks callbacks_;
    membership::LeaseTable leases_;
    std::map<std::string, membership::Lease> renewed_here_; // by node, at most `most_leases`
};

} // namespace willowrill::control
