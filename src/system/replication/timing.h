// How long a replica waits for what. Timeouts only decide when something is tried: safety never rests on
// them.
#pragma once

#include <chrono>

namespace willowrill::replication {

using Time = std::chrono::milliseconds; // of a steady clock, from any origin

struct Timing {
    // Heartbeats, and what they prove.
    Time heartbeat{250};            // between two rounds of heartbeats
    Time contact_validity{900};     // without proof of contact for so long, a member calls itself stale
    Time quorum_loss_timeout{1200}; // a primary that hears no quorum for so long steps down
    Time confirmation_timeout{700}; // a leadership confirmation that finds no quorum for so long fails
    Time resend{300};               // a state that a member has not stored is sent to it again

    // Elections.
    Time election_timeout{1000};       // without a heartbeat for so long, a backup starts an election
    Time election_step{150};           // and so much later for each rank in the order of succession
    Time first_election{100};          // after a start, how long a serving primary has to be heard
    Time election_phase{700};          // an election phase that takes longer is abandoned
    Time prepare_wait{100};            // how long a candidate waits for more replies than it needs
    Time prepare_wait_planned{300};    // the same for a membership change, where nothing is urgent
    Time election_backoff_first{1000}; // a member that won and could not serve waits for so long;
    Time election_backoff_max{8000};   // it doubles up to this
    Time min_service{3000};            // a primary that has served for so long has no backoff any more
    Time initial_growth{5000};         // at the first start, orders wait so long for the core to grow

    // Members.
    Time member_timeout{800};      // an in-sync member silent for so long is removed from the set
    Time steady_after{1000};       // a member must answer for so long before it joins the in-sync set
    Time steady_after_urgent{100}; // the same where replicas or witnesses are missing
    Time witness_timeout{2500};    // a witness silent for so long is replaced, where a standby is there

    // The disk.
    Time disk_timeout{600};          // a disk that answers nothing for so long takes no part
    Time restore_backoff_first{200}; // after a refused save, the wait before the records are written anew;
    Time restore_backoff_max{1000};  // it doubles up to this
};

} // namespace willowrill::replication
