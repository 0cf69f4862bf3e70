// The schedulers' leases as this core member knows them: those renewed here, and those renewed at other core
// members. Pure; one thread.
//
// Each member publishes the list of the leases renewed at it. A list has a version: the member's incarnation
// and a number. At a change the member sends a delta, which raises the number by one; in between, a
// keep-alive that names the version renews every lease of the list at once, apart from those it names as
// silent. A receiver whose version differs, or that has let one of the leases lapse, requests a snapshot.
//
// Safe to lose or repeat messages: a delta is applied to its own base only, and a lease that nobody renews
// lapses.
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
        std::function<void(const std::string&, const messages::LeasesMessage&)> send; // to one of them
        std::function<void(const std::vector<membership::Lease>&)> changed;           // the leases known
    };
    // `incarnation`: drawn anew at each start of the process.
    LeaseReplicator(std::uint64_t incarnation, Callbacks callbacks);

    // A scheduler has renewed its lease here.
    void on_renewed(membership::Time now, const membership::Lease& lease);
    // The connection on which the lease was renewed here has broken. The lease itself lapses by time.
    void on_disconnected(const membership::Lease& lease);
    // A message of the core member `from`.
    void on_message(membership::Time now, const std::string& from, const messages::LeasesMessage& message);
    // This member has just connected to another.
    void on_connected(const std::string& member) const;
    // Ends the leases that were not renewed in time.
    void expire(membership::Time now);
    // Sends the others what was removed, and a keep-alive. Called a few times within a lease's duration.
    void publish();

    std::vector<membership::Lease> leases() const { return leases_.leases(); }

  private:
    // The list of another core member, as far as it has been received.
    struct PeerLeases {
        messages::LeaseListVersion version;
        std::map<std::string, std::uint64_t> incarnations; // by node; bounded as lease tables are
    };

    void on(membership::Time now, const std::string& from, const messages::LeasesSnapshot& snapshot);
    void on(membership::Time now, const std::string& from, const messages::LeasesDelta& delta);
    void on(membership::Time now, const std::string& from, const messages::LeasesKeepAlive& keep_alive);
    void on(membership::Time now, const std::string& from, const messages::LeasesSnapshotRequest&);
    void on(membership::Time now, const std::string& from, const messages::UnknownLeasesUpdate& update);

    // These return whether the view of all leases has changed.
    bool apply_snapshot(membership::Time now, PeerLeases& peer, const messages::LeasesSnapshot& snapshot);
    bool apply_delta(membership::Time now, PeerLeases& peer, const messages::LeasesDelta& delta);
    bool renew_all(membership::Time now, PeerLeases& peer, const std::vector<membership::Lease>& leases);
    // False where a lease that it renews has lapsed here.
    bool apply_keep_alive(membership::Time now, const PeerLeases& peer,
                          const messages::LeasesKeepAlive& keep_alive);
    // Requests a snapshot unless the version is older than what was received already.
    void request_snapshot(const std::string& from, const messages::LeaseListVersion& version);

    messages::LeasesSnapshot snapshot() const;
    void publish_delta(const std::vector<membership::Lease>& changed,
                       const std::vector<std::string>& removed);
    void on_changed() const { callbacks_.changed(leases_.leases()); }

    Callbacks callbacks_;
    membership::LeaseTable leases_;
    std::map<std::string, membership::Lease> local_leases_; // by node; bounded as lease tables are
    std::set<std::string> renewed_since_publish_;           // nodes among them
    std::set<std::string> removed_since_publish_;           // nodes that were among them
    messages::LeaseListVersion version_;                    // of the list published last
    std::map<std::string, PeerLeases> peers_;               // by core member; bounded as the mesh is
};

} // namespace willowrill::control
