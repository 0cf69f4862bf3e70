// The scheduler leases known to this core member: those renewed at this member and those renewed at other
// core members. Performs no I/O of its own. Not thread-safe.
//
// Each member publishes the list of the leases that are renewed at it. The version of a list consists of the
// member's incarnation and a sequence number. When the list changes, the member sends a delta, which
// increments the number. Between changes it sends keep-alives; a keep-alive names the version and renews all
// leases of the list except those it marks as silent. A receiver requests a snapshot if its version differs
// or if one of the leases has expired there.
//
// Lost and duplicated messages are harmless: a delta is applied only to the version it is based on, and a
// lease that is not renewed expires.
#pragma once

#include "system/membership/lease_table.h"
#include "system/messages/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace willowrill::control {

class LeaseReplicator {
  public:
    struct Callbacks {
        std::function<void(const messages::LeasesMessage&)> broadcast; // to all other core members
        std::function<void(const std::string&, const messages::LeasesMessage&)> send; // to one core member
        std::function<void(const std::vector<membership::Lease>&)> changed;           // with all known leases
    };
    // `incarnation`: a new random value at each start of the process.
    LeaseReplicator(std::uint64_t incarnation, Callbacks callbacks);

    // A scheduler has renewed its lease at this member.
    void on_renewed(membership::Time now, const membership::Lease& lease);
    // The connection on which the lease was renewed at this member has closed. The lease itself remains until
    // it expires.
    void on_disconnected(const membership::Lease& lease);
    // Handles a message from the core member `from`.
    void on_message(membership::Time now, const std::string& from, const messages::LeasesMessage& message);
    // Sends the full list to a member that this one has just connected to.
    void on_connected(const std::string& member) const;
    // Removes the leases that were not renewed in time.
    void expire(membership::Time now);
    // Broadcasts pending removals and a keep-alive. Has to be called several times per lease duration.
    void publish();

    std::vector<membership::Lease> leases() const { return leases_.leases(); }

  private:
    // The last received version of another core member's list.
    struct PeerLeases {
        messages::LeaseListVersion version;
        std::map<std::string, std::uint64_t> incarnations; // by node; at most `membership::max_leases`
    };

    void on(membership::Time now, const std::string& from, const messages::LeasesSnapshot& snapshot);
    void on(membership::Time now, const std::string& from, const messages::LeasesDelta& delta);
    void on(membership::Time now, const std::string& from, const messages::LeasesKeepAlive& keep_alive);
    void on(membership::Time now, const std::string& from, const messages::LeasesSnapshotRequest&);
    void on(membership::Time now, const std::string& from, const messages::UnknownLeasesUpdate& update);

    // The next three return whether the set of all known leases has changed.
    bool apply_snapshot(membership::Time now, PeerLeases& peer, const messages::LeasesSnapshot& snapshot);
    bool apply_delta(membership::Time now, PeerLeases& peer, const messages::LeasesDelta& delta);
    bool renew_all(membership::Time now, PeerLeases& peer, const std::vector<membership::Lease>& leases);
    // Returns false if a lease that the keep-alive renews has expired at this member.
    bool apply_keep_alive(membership::Time now, const PeerLeases& peer,
                          const messages::LeasesKeepAlive& keep_alive);
    // Requests a snapshot unless `version` is older than the version already received.
    void request_snapshot(const std::string& from, const messages::LeaseListVersion& version);

    messages::LeasesSnapshot snapshot() const;
    void publish_delta(const std::vector<membership::Lease>& changed,
                       const std::vector<std::string>& removed);
    void on_changed() const { callbacks_.changed(leases_.leases()); }

    Callbacks callbacks_;
    membership::LeaseTable leases_;
    std::map<std::string, membership::Lease> local_leases_; // by node; at most `membership::max_leases`
    std::set<std::string> renewed_since_publish_;           // nodes in `local_leases_`
    std::set<std::string> removed_since_publish_;           // nodes no longer in `local_leases_`
    messages::LeaseListVersion version_;                    // of the last published list
    std::map<std::string, PeerLeases> peers_;               // by core member; bounded by the size of the mesh
};

} // namespace willowrill::control
