#pragma once

#include "system/replication/actions.h"
#include "system/replication/durability.h"
#include "system/replication/election.h"
#include "system/replication/election_backoff.h"
#include "system/replication/events.h"
#include "system/replication/heartbeat_log.h"
#include "system/replication/leadership_confirmations.h"
#include "system/replication/options.h"
#include "system/replication/peer_table.h"
#include "system/replication/quorum.h"
#include "system/replication/register_recovery.h"
#include "system/replication/role.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <optional>
#include <random>
#include <set>
#include <vector>

namespace willowrill::replication {

// One member of the core: witness and copy of the replicated state in one state machine.
//
// Protocol. Primary-backup replication of one document, with numbered epochs; there is no log. The record of
// an epoch names its primary, its in-sync set and its witnesses. The primary proposes a state, sends it to
// the in-sync set, and commits it once every one of them has stored it. Every change of primary, in-sync set
// or witnesses is the same election for a higher epoch, in four phases:
//   1. prepare: more than half of the witnesses, of the highest record decided and of the highest accepted,
//      agree to take part in no lower epoch, and say which state they hold. A pre-vote, which binds nobody,
//      comes before the election of a backup, so that one that cannot win disturbs nobody;
//   2. fetch: the candidate gets the newest state from the member that holds it;
//   3. install: it gives that state to every member of the new in-sync set;
//   4. accept: more than half of the witnesses, of the old records and of the new one, store the new record.
//
// Invariants, and why it is safe. Safety rests on epochs and durable records alone, never on clocks: timeouts
// only decide when something is tried.
//   - A witness takes part in no epoch below the one it promised, and stores the promise before it answers.
//   - A candidate has the prepare replies of a quorum, one of them from a member of the in-sync set of the
//     highest record among the answers. That set can commit nothing more, as every one of its members would
//     have to store it; and the newest state of its members that replied holds everything committed so far.
//   - Every member of the new in-sync set holds that state before the new record is stored anywhere.
//   - A member calls its copy complete only behind the state itself, and a copy that may be an older one than
//     the member vouched for is not called complete.
//   - Before the primary answers anything that is not a commit, a round of heartbeats proves that it still is
//     the primary (`ConfirmLeadership`). A primary that was frozen meanwhile answers nothing out of date.
//   - After a refused save the fate of the record is unknown: the member drops all that waited for it, takes
//   no
//     part in votes, and returns once both of its records have been written anew and read back.
//
// What a caller does. Deterministic: time, messages and the disk come from outside as events, so that the
// same code runs in the control plane and in the simulated cluster of the tests. The caller passes `Loaded`
// first and once, a `Tick` every 50 ms or so, and everything else as it happens, with a time that never
// decreases; it carries out the returned actions in their order. Saves may take their time (`Save`, `Saved`,
// `SaveFailed`): meanwhile the replica goes on, and defers whatever vouches for a record until that record
// and all before it are durable. One thread. Not copied while in use: actions are appended to the list of the
// current call.
//
// Parts: `Durability` (saves and what waits for them), `PeerTable` (what the others said), `Election` (state
// of the candidacy), `ElectionBackoff`, `HeartbeatLog`, `LeadershipConfirmations`, `RegisterRecovery`, and
// the pure functions of quorum.h and membership_plan.h. `Replica` alone decides what happens when.
class Replica {
  public:
    explicit Replica(Options options);

    // Takes in one event and appends to the actions.
    void step(Time now, const Event& event, std::vector<Action>& actions);

    Role role() const { return role_; }
    // Why the role changed last, for the operators' log.
    const char* role_reason() const { return role_reason_; }
    bool is_primary() const { return role_ == Role::primary; }
    // The primary of the newest epoch known, or nothing while there is none.
    std::optional<MemberId> primary() const;
    // Whether a quorum vouched a moment ago, by this member's clock, for what `committed()` says.
    bool is_current(Time now) const;
    const ReplicatedState& committed() const { return committed_; }
    const WitnessRegister& witness_register() const { return register_; }
    // The newest state that was given to the disk, committed or not.
    const ReplicatedState& state() const { return state_; }
    bool shutting_down() const { return shutting_down_; }
    // Whether the others hold enough copies and a quorum without this member, as far as that can be had:
    // witnesses can be replaced only where a member stands by.
    bool is_safe_to_shut_down(Time now) const;

    // Shows a visitor all that decides what happens next, apart from the options: `visitor(fields...)`. For
    // searches through states (src/system/verification); counters are shown as distances, as only these
    // matter, and rounds of heartbeats older than `max_age`, which exceeds all timeouts, are left out.
    template <class Visitor> void visit_state(Visitor& visitor, Time now, Time max_age) const {
        const std::uint64_t newest_heartbeat = heartbeats_.number();
        visitor(role_, role_since_, started_at_, is_first_start_, shutting_down_, has_register_, register_,
                register_unsaved_, state_, committed_, highest_epoch_seen_, primary_heard_at_, contact_at_,
                quorum_reached_since_, prepare_quorum_since_, primary_since_, reconfigured_at_,
                leadership_transfer_sent_at_);
        if (proposal_) visitor(proposal_->id, proposal_->position, proposal_->sent_at, proposal_->stored_by);
        std::mt19937_64 random = random_;
        visitor(random()); // two generators that give one number alike give all alike
        durability_.visit_state(visitor);
        recovery_.visit_state(visitor);
        peers_.visit_state(visitor, newest_heartbeat);
        election_.visit_state(visitor);
        backoff_.visit_state(visitor);
        heartbeats_.visit_state(visitor, now, max_age);
        confirmations_.visit_state(visitor, newest_heartbeat);
    }
    // The number of the newest round of heartbeats, to which the distances above are.
    std::uint64_t newest_heartbeat() const { return heartbeats_.number(); }

  private:
    // Of the primary: the state that is being replicated.
    struct Proposal {
        std::uint64_t id = 0;
        Position position;
        Time sent_at{0};
        std::set<MemberId> stored_by;
    };

    // Events (replica.cpp).
    void on(const Tick&);
    void on(const Received& received);
    void on(const PeerConnected& event);
    void on(const PeerDisconnected& event);
    void on(const BeginShutdown&);
    void change_role(Role next, const char* reason);
    void send(const MemberId& to, Message message);
    void commit(const ReplicatedState& state);

    // What the members are like (replica.cpp).
    bool is_alive(const MemberId& member) const { return peers_.is_alive(member, now_); }
    bool is_steady(const MemberId& member) const;
    bool lacks_redundancy() const;
    bool reaches_quorum() const;
    bool quorum_answered(Time now, Time within) const;
    bool heard_primary_recently() const;
    std::size_t min_in_sync() const { return replication::min_in_sync(options_.tolerated_losses); }
    std::size_t full_witness_count() const {
        return replication::full_witness_count(options_.tolerated_losses);
    }

    // The disk, and a register that was lost (replica_durability.cpp).
    void on(const Loaded& loaded);
    void start_with_register(const WitnessRegister& found, bool has_state);
    void start_first_epoch();
    void on(const Saved& saved);
    void on(const SaveFailed& failed);
    void save(const WitnessRegister& next);
    void save(const ReplicatedState& next);
    void issue(DiskRecord record, Durability::Purpose purpose = Durability::Purpose::ordinary);
    void when_durable(DeferredAction action);
    void carry_out(const Send& send);
    void carry_out(const FinishRestoration&);
    void restore();
    bool can_vote() const;
    void request_recovery();
    void on_message(const MemberId& from, const RecoveryRequest& request);
    void on_message(const MemberId& from, const RecoveryReply& reply);

    // Witness and backup (replica_backup.cpp).
    void on_message(const MemberId& from, const PrepareRequest& request);
    void on_message(const MemberId& from, const AcceptRequest& request);
    void on_message(const MemberId& from, const FetchRequest& request);
    void on_message(const MemberId& from, const InstallRequest& request);
    void on_message(const MemberId& from, const ReplicateRequest& request);
    void on_message(const MemberId& from, const Heartbeat& heartbeat);
    void on_message(const MemberId& from, const CommitNotification& notification);
    void on_message(const MemberId& from, const LeadershipTransfer& transfer);
    void follow(const Heartbeat& heartbeat);
    void adopt_decided(const EpochRecord& record);
    void note_contact(const Heartbeat& heartbeat);
    HeartbeatReply heartbeat_reply(std::uint64_t number, Epoch epoch) const;

    // Election (replica_election.cpp).
    bool may_start_election() const;
    Time election_delay() const;
    void begin_candidacy();
    void start_pre_vote();
    void start_election();
    void start_preparing();
    void carry_out(const SendPrepareRequests& due);
    PrepareReply own_prepare_reply() const;
    void send_prepare_requests(bool pre_vote);
    void on_message(const MemberId& from, const PrepareReply& reply);
    void on_prepare_refused(const PrepareReply& reply);
    void count_prepare_replies();
    void plan_record();
    bool waits_for_more_replies();
    void carry_out(const StartInstall& due);
    void on_message(const MemberId& from, const FetchReply& reply);
    void install();
    void on_message(const MemberId& from, const InstallReply& reply);
    void start_accept_if_installed();
    void carry_out(const SendAcceptRequests& due);
    void on_message(const MemberId& from, const AcceptReply& reply);
    void become_primary_if_accepted();
    void abandon_election(Epoch seen, const char* reason);
    void check_election_phase();
    std::vector<MemberId> standbys() const;
    std::vector<MemberId> prepare_recipients() const;
    std::vector<MemberId> plan_witnesses(const std::set<MemberId>& present) const;
    bool is_replaceable(const MemberId& witness) const;

    // The primary (replica_primary.cpp).
    void become_primary();
    void finish_inherited_proposal();
    void step_down(Epoch seen, const char* reason);
    void abort_client_requests();
    void transfer_leadership();
    void on(const Propose& event);
    bool may_propose(const Propose& event) const;
    bool has_grown() const;
    void carry_out(const CountOwnCopy& due);
    void on_message(const MemberId& from, const ReplicateReply& reply);
    void commit_if_stored();
    void resend_proposal();
    void on(const ConfirmLeadership& event);
    void check_confirmations();
    void expire_confirmations();
    void send_heartbeats();
    void send_heartbeat(const MemberId& to);
    void on_message(const MemberId& from, const HeartbeatReply& reply);
    void notify_commit(const MemberId& to);
    void supervise();
    bool lost_leadership();
    bool membership_should_change() const;
    bool in_sync_set_should_change() const;

    Options options_;
    std::mt19937_64 random_;
    Time now_{0};                            // of the event that is taken in
    std::vector<Action>* actions_ = nullptr; // of the event that is taken in

    Role role_ = Role::loading;
    const char* role_reason_ = "start";
    Time role_since_{0};
    Time started_at_{0};
    bool is_first_start_ = false;
    bool shutting_down_ = false;

    // What this member stored, or is storing.
    Durability durability_;
    bool has_register_ = false;
    WitnessRegister register_;      // as last given to the disk
    bool register_unsaved_ = false; // `register_` holds what was not given to the disk
    ReplicatedState state_;         // as last given to the disk
    ReplicatedState committed_;
    RegisterRecovery recovery_;

    // What it knows of the others.
    PeerTable peers_;
    Epoch highest_epoch_seen_ = 0;         // of any epoch number, to stand above
    std::optional<Time> primary_heard_at_; // in this life of the process
    std::optional<Time> contact_at_;       // a primary in contact with a quorum had heard this member then
    std::optional<Time> quorum_reached_since_; // connected to enough witnesses

    // Of a candidate.
    Election election_;
    ElectionBackoff backoff_;
    std::optional<Time> prepare_quorum_since_;

    // Of the primary.
    HeartbeatLog heartbeats_;
    std::optional<Proposal> proposal_;
    LeadershipConfirmations confirmations_;
    Time primary_since_{0};
    Time reconfigured_at_{0}; // when the newest epoch began
    std::optional<Time> leadership_transfer_sent_at_;
};

} // namespace willowrill::replication
