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
#include "system/replication/recovery_confirmations.h"
#include "system/replication/register_recovery.h"
#include "system/replication/role.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <optional>
#include <random>
#include <set>
#include <vector>

namespace willowrill::replication {

// One member of the core: a witness and a copy of the replicated state in one state machine.
//
// Protocol: primary-backup replication of one document, with numbered epochs; there is no log. The record of
// an epoch names its primary, its in-sync set and its witnesses. The primary proposes a state, sends it to
// the in-sync set, and commits it once every one of them has stored it. Every change of primary, in-sync set
// or witnesses is the same election for a higher epoch, in four phases:
//   1. prepare: a majority of the witnesses of both the highest decided and the highest accepted record
//      promise to take part in no lower epoch, and report which state they hold. A backup first runs a
//      pre-vote, which binds nobody, so that a backup that cannot win does not disrupt the primary;
//   2. fetch: the candidate gets the newest state from the member that holds it;
//   3. install: it sends that state to every member of the new in-sync set;
//   4. accept: a majority of the witnesses of each of the old records and of the new one store the new
//      record.
//
// Invariants. Safety depends on epochs and durable records alone, never on clocks: timeouts only decide when
// something is attempted.
//   - A witness takes part in no epoch below the one it promised, and stores the promise before it replies.
//   - A candidate has prepare replies from a quorum, including one from a member of the in-sync set of the
//     highest record among the replies. That set can commit nothing more, because a commit needs all of its
//     members; and the newest state of its members that replied contains everything committed so far.
//   - Every member of the new in-sync set holds that state before the new record is stored anywhere.
//   - A member marks its copy as complete only after the state itself is durable. A copy that may be older
//     than a state the member has acknowledged is not marked as complete.
//   - Before the primary answers a request that commits nothing, a round of heartbeats proves that it still
//     is the primary (`ConfirmLeadership`), so that a primary that was suspended returns no stale data.
//   - A member without a register votes only once nothing that it may have forgotten can decide an election
//     (register_recovery.h).
//   - After a failed save it is unknown whether the record is stored: the member discards all actions
//     deferred behind it, does not vote, and returns once both of its records are rewritten and read back.
//
// Usage. The replica is deterministic: time, messages and disk results are passed in as events, so that the
// same code runs in the control plane and in the simulated cluster of the tests. The caller passes `Loaded`
// once and first, a `Tick` about every 50 ms, and all other events as they occur, with a time that never
// decreases. It executes the returned actions in order. Saves are asynchronous (`Save`, `Saved`,
// `SaveFailed`): the replica continues meanwhile, and defers every action that confirms a record until that
// record and all records before it are durable. Not thread-safe, and must not be copied during a call of
// `step`, which keeps a pointer to the caller's list of actions.
//
// Components: `Durability` (saves and deferred actions), `PeerTable` (the other members), `Election` (state
// of the candidacy), `ElectionBackoff`, `HeartbeatLog`, `LeadershipConfirmations`, `RegisterRecovery`,
// `RecoveryConfirmations`, and the pure functions of quorum.h and membership_plan.h. `Replica` makes all
// decisions.
class Replica {
  public:
    explicit Replica(Options options);

    // Processes one event and appends the resulting actions.
    void step(Time now, const Event& event, std::vector<Action>& actions);

    Role role() const { return role_; }
    // The reason for the last change of role, for the log.
    const char* role_reason() const { return role_reason_; }
    bool is_primary() const { return role_ == Role::primary; }
    // The primary of the newest known epoch; empty if it has not been heard from recently.
    std::optional<MemberId> primary() const;
    // Whether a quorum recently confirmed, by this member's clock, that `committed()` is up to date.
    bool is_current(Time now) const;
    const ReplicatedState& committed() const { return committed_; }
    const WitnessRegister& witness_register() const { return register_; }
    // The newest state passed to the disk, committed or not.
    const ReplicatedState& state() const { return state_; }
    bool shutting_down() const { return shutting_down_; }
    // Whether this member can leave without reducing the redundancy of the others: it is not in sync, and it
    // is not a witness unless there is no standby to replace it.
    bool is_safe_to_shut_down(Time now) const;

    // Passes every field that influences future behaviour, except the options, to `visitor(fields...)`, for
    // the model checker in src/system/verification. Counters are passed as differences, because only these
    // affect behaviour. Rounds of heartbeats older than `max_age`, which exceeds all timeouts, are omitted.
    template <class Visitor> void visit_state(Visitor& visitor, Time now, Time max_age) const {
        const std::uint64_t newest_heartbeat = heartbeats_.newest_number();
        visitor(role_, role_since_, started_at_, is_first_start_, shutting_down_, has_register_, register_,
                register_unsaved_, state_, committed_, highest_epoch_seen_, primary_heard_at_, contact_at_,
                quorum_connected_since_, prepare_quorum_since_, primary_since_, reconfigured_at_,
                leadership_transfer_sent_at_);
        if (proposal_) visitor(proposal_->id, proposal_->position, proposal_->sent_at, proposal_->stored_by);
        std::mt19937_64 random = random_;
        visitor(random()); // the next output stands for the generator's state
        durability_.visit_state(visitor);
        recovery_.visit_state(visitor);
        peers_.visit_state(visitor, newest_heartbeat);
        election_.visit_state(visitor);
        backoff_.visit_state(visitor);
        heartbeats_.visit_state(visitor, now, max_age);
        confirmations_.visit_state(visitor, newest_heartbeat);
        recovery_confirmations_.visit_state(visitor, newest_heartbeat);
    }
    // The number of the newest round of heartbeats, from which the differences above are computed.
    std::uint64_t newest_heartbeat() const { return heartbeats_.newest_number(); }

  private:
    // The state that the primary is replicating.
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

    // Condition of the members (replica.cpp).
    bool is_alive(const MemberId& member) const { return peers_.is_alive(member, now_); }
    bool is_steady(const MemberId& member) const;
    bool lacks_redundancy() const;
    bool is_connected_to_quorum() const;
    bool has_recent_quorum(Time now, Time max_age) const;
    bool heard_primary_recently() const;
    std::size_t min_in_sync() const { return replication::min_in_sync(options_.tolerated_losses); }
    std::size_t full_witness_count() const {
        return replication::full_witness_count(options_.tolerated_losses);
    }

    // Durability and recovery of a lost register (replica_durability.cpp).
    void on(const Loaded& loaded);
    void start_with_register(const WitnessRegister& found, bool has_state);
    void start_first_epoch();
    void on(const Saved& saved);
    void on(const SaveFailed& failed);
    void save(const WitnessRegister& next);
    void save(const ReplicatedState& next);
    void issue(DiskRecord record, Durability::Purpose purpose = Durability::Purpose::ordinary);
    void when_durable(DeferredAction action);
    void execute(const Send& send);
    void execute(const FinishRestoration&);
    void start_restoration();
    bool can_vote() const;
    void request_recovery();
    void on_message(const MemberId& from, const RecoveryRequest& request);
    void confirm_leadership_to(const RecoveryConfirmations::Request& request);
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
    void follow_primary(const Heartbeat& heartbeat);
    void adopt_decided(const EpochRecord& record);
    void update_contact_time(const Heartbeat& heartbeat);
    HeartbeatReply heartbeat_reply(std::uint64_t number, Epoch epoch) const;

    // Election (replica_election.cpp).
    bool may_start_election() const;
    Time election_delay() const;
    void begin_candidacy();
    void start_pre_vote();
    void start_election();
    void start_preparing();
    void execute(const SendPrepareRequests& ready_action);
    PrepareReply own_prepare_reply() const;
    void send_prepare_requests(bool pre_vote);
    void on_message(const MemberId& from, const PrepareReply& reply);
    void on_prepare_refused(const PrepareReply& reply);
    void count_prepare_replies();
    void plan_record();
    bool waits_for_more_replies();
    void execute(const StartInstall& ready_action);
    void on_message(const MemberId& from, const FetchReply& reply);
    void install();
    void on_message(const MemberId& from, const InstallReply& reply);
    void start_accept_if_installed();
    void execute(const SendAcceptRequests& ready_action);
    void on_message(const MemberId& from, const AcceptReply& reply);
    void become_primary_if_accepted();
    void abandon_election(Epoch seen_epoch, const char* reason);
    void check_election_phase();
    std::vector<MemberId> standbys() const;
    std::vector<MemberId> prepare_recipients() const;
    std::vector<MemberId> plan_witnesses(const std::set<MemberId>& present) const;
    bool is_replaceable(const MemberId& witness) const;

    // The primary (replica_primary.cpp).
    void become_primary();
    void finish_inherited_proposal();
    void step_down(Epoch seen_epoch, const char* reason);
    void abort_client_requests();
    void transfer_leadership();
    void on(const Propose& event);
    bool may_propose(const Propose& event) const;
    bool has_initial_growth_ended() const;
    void execute(const CountOwnCopy& ready_action);
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
    void run_primary_tasks();
    bool step_down_if_unable_to_serve();
    bool membership_should_change() const;
    bool in_sync_set_should_change() const;

    Options options_;
    std::mt19937_64 random_;
    Time now_{0};                            // time of the current event
    std::vector<Action>* actions_ = nullptr; // output of the current call of `step`

    Role role_ = Role::loading;
    const char* role_reason_ = "start";
    Time role_since_{0};
    Time started_at_{0};
    bool is_first_start_ = false;
    bool shutting_down_ = false;

    // Records that this member has stored or is storing.
    Durability durability_;
    bool has_register_ = false;
    WitnessRegister register_;      // as last passed to the disk
    bool register_unsaved_ = false; // `register_` has changes not passed to the disk
    ReplicatedState state_;         // as last passed to the disk
    ReplicatedState committed_;
    RegisterRecovery recovery_;

    // Knowledge about the other members.
    PeerTable peers_;
    Epoch highest_epoch_seen_ = 0;               // highest epoch in any message; new epochs exceed it
    std::optional<Time> primary_heard_at_;       // empty: not since the process started
    std::optional<Time> contact_at_;             // proven contact with a primary that had a quorum
    std::optional<Time> quorum_connected_since_; // since when a quorum of witnesses is connected

    // State of a candidate.
    Election election_;
    ElectionBackoff backoff_;
    std::optional<Time> prepare_quorum_since_;

    // State of the primary.
    HeartbeatLog heartbeats_;
    std::optional<Proposal> proposal_;
    LeadershipConfirmations confirmations_;
    RecoveryConfirmations recovery_confirmations_;
    Time primary_since_{0};
    Time reconfigured_at_{0}; // when the newest epoch began
    std::optional<Time> leadership_transfer_sent_at_;
};

} // namespace willowrill::replication
