// Timeouts and intervals of a replica. They only decide when something is attempted; safety never depends on
// them.
#pragma once

#include <chrono>

namespace willowrill::replication {

using Time = std::chrono::milliseconds; // of a steady clock with an arbitrary origin

struct Timing {
    // Heartbeats and proofs of contact.
    Time heartbeat{250};            // interval between two rounds of heartbeats
    Time contact_validity{900};     // a member without proof of contact for this long is stale
    Time quorum_loss_timeout{1200}; // a primary without a quorum for this long steps down
    Time confirmation_timeout{700}; // a leadership confirmation without a quorum fails after this
    Time resend{300};               // interval at which an unacknowledged state is resent

    // Elections.
    Time election_timeout{1000};       // a backup without a heartbeat for this long starts an election
    Time election_step{150};           // additional delay for each succession rank
    Time first_election{100};          // delay after startup, so that a serving primary can be heard
    Time election_phase{700};          // an election is abandoned when a phase takes longer
    Time prepare_wait{100};            // how long a candidate waits for replies beyond the quorum
    Time prepare_wait_planned{300};    // the same for a membership change, which is not urgent
    Time election_backoff_first{1000}; // initial backoff of a member that won and could not serve
    Time election_backoff_max{8000};   // upper bound of the doubling backoff
    Time min_service{3000};            // a primary that serves for this long resets its backoff
    Time initial_growth{5000};         // at the first start, proposals are rejected for this long until
                                       // the core has its full number of witnesses

    // Members.
    Time member_timeout{800};      // an in-sync member silent for this long is removed from the set
    Time steady_after{1000};       // how long a member must answer before it joins the in-sync set
    Time steady_after_urgent{100}; // the same while replicas or witnesses are missing
    Time witness_timeout{2500};    // a witness silent for this long is replaced by a standby, if any

    // The disk.
    Time disk_timeout{600};          // a member whose disk does not answer for this long cannot vote
    Time restore_backoff_first{200}; // initial wait after a failed save before records are rewritten
    Time restore_backoff_max{1000};  // upper bound of the doubling backoff
};

} // namespace willowrill::replication
