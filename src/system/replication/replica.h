// One member of the core: witness and replica in one state machine. Deterministic: time, messages and the
// disk come from outside as events, so that the same code runs in the control plane and in the simulated
// cluster of the tests.
//
// Safety rests on epochs and durable promises alone, never on clocks; timeouts only decide when to try.
//   - A witness takes part in no epoch below its promise, and stores the promise before it answers.
//   - A candidate has the promise of more than half of the witnesses, one of them from the in-sync set of the
//     highest epoch record among their answers; so that set can acknowledge nothing more, and the newest
//     state of its members that promised holds everything acknowledged so far.
//   - Every member of the new in-sync set holds that state before the new record is stored anywhere.
//   - The primary acknowledges a state once every member of its in-sync set has stored it.
//
// Saves are asked for and answered later (`Save`, `Saved`, `SaveFailed`); meanwhile the member goes on, but
// whatever vouches for a record waits until that record and all before it are durable. After a refused save
// the fate of the record is unknown: the member drops all that waited, takes no part in votes, and returns
// once both of its records have been written anew and read back.
#pragma once

#include "system/replication/types.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace willowrill::replication {

inline constexpr Epoch initial_epoch = 1;

using Time = std::chrono::milliseconds; // is_steady, from any origin

struct Timing {
    Time heartbeat{250};
    Time election{1000};            // without a heartbeat for so long, a backup stands for primary
    Time election_step{150};        // and so much later for each member before it in the order of succession
    Time first_election{100};       // after a start, how long a primary that serves has to make itself heard
    Time phase{700};                // an election phase that takes longer is given up
    Time prepare_wait{100};         // how long a candidate waits for further promises beyond those it needs
    Time prepare_wait_planned{300}; // the same where a primary changes the membership and nothing is urgent
    Time member_timeout{800};       // an in-sync member that says nothing for so long is dropped
    Time steady_after{1000};       // a member must answer for so long before it is taken into the in-sync set
    Time steady_after_urgent{100}; // the same where copies or witnesses are missing
    Time witness_timeout{2500};    // a witness silent for so long is replaced, where a spare member stands by
    Time quorum_loss_timeout{1200};    // a primary that hears fewer than half of the witnesses steps down
    Time current{900};                 // without proof of contact for so long, a member calls itself stale
    Time resend{300};                  // a state that a member has not stored is sent to it again
    Time confirm{700};                 // a confirmation that finds no quorum for so long is given up
    Time disk_timeout{600};            // a disk that answers nothing for so long takes no part
    Time restore_backoff_first{200};   // after a refused save, the pause before the records are written anew;
    Time restore_backoff_max{1000};    // it doubles up to this
    Time election_backoff_first{1000}; // a member that won and could not serve lets others stand for so long;
    Time election_backoff_max{8000};   // it doubles up to this
    Time min_service{3000};            // a primary has min_service once it has been one for so long
    Time initial_growth{5000}; // at the first start, orders wait so long for the core to reach its size
};

struct Options {
    MemberId self;
    bool initial_start = false;
    std::vector<MemberId> seeds;
    std::size_t tolerated = 1; // members that may be lost at once, disks included
    Timing timing{};
    std::uint64_t random_seed = 1;
};

// `loading`: the disk has not been read yet. `recovering`: its register was lost, and it is not known what
// was promised. `storage_failed`: the disk refused a record. `pre_voting`: asks whether an election would
// succeed. `preparing`, `fetching`, `installing`, `accepting`: phases of an election.
enum class Role {
    loading,
    recovering,
    storage_failed,
    backup,
    pre_voting,
    preparing,
    fetching,
    installing,
    accepting,
    primary
};

const char* name_of(Role role);

// ---- Events and actions ----------------------------------------------------------------------------------

struct Tick {};
// What the disk held at the start.
struct Loaded {
    std::optional<WitnessRegister> witness_register;
    std::optional<ReplicatedState> state;
};
// The record of this ticket survives any loss of power.
struct Saved {
    SaveId ticket = 0;
};
// The disk refused it, or reported an error after taking it: it may be there or not.
struct SaveFailed {
    SaveId ticket = 0;
};
struct Received {
    MemberId from;
    Message message;
};
struct PeerConnected {
    MemberId peer;
};
struct PeerDisconnected {
    MemberId peer;
};
// Asks for a new state to be acknowledged; one at a time. `id` is the caller's. Not taken where another state
// than `based_on` is the newest.
struct Propose {
    std::uint64_t id = 0;
    Position based_on;
    std::string content;
};
// Asks whether this member is still the primary at a moment after the question.
struct ConfirmLeadership {
    std::uint64_t id = 0;
};
// The process is about to end.
struct BeginShutdown {};
using Event = std::variant<Tick, Loaded, Saved, SaveFailed, Received, PeerConnected, PeerDisconnected,
                           Propose, ConfirmLeadership, BeginShutdown>;

struct Send {
    MemberId to;
    Message message;
};
// To be answered by `Saved` or `SaveFailed`, each ticket once and in their order. After a failure all are to
// fail, unseen by the disk, up to the next one that `restores`: what was asked for before the failure was
// known may only make sense behind the record that failed.
struct Save {
    SaveId ticket = 0;
    DiskRecord record;
    bool restores = false;
};
struct Committed {
    std::uint64_t id = 0;
};
// Not decided here: it may or may not be in force.
struct OutcomeUnknown {
    std::uint64_t id = 0;
};
struct LeadershipConfirmed {
    std::uint64_t id = 0;
};
// `committed()` has a newer state.
struct StateChanged {};
using Action = std::variant<Send, Save, Committed, OutcomeUnknown, LeadershipConfirmed, StateChanged>;

class Replica {
  public:
    explicit Replica(Options options);

    // Takes in one event and appends to the actions, which are carried out in their order. `Loaded` comes
    // first, once.
    void step(Time now, const Event& event, std::vector<Action>& actions);

    Role role() const { return role_; }
    // Why the role changed last, for the operators' log.
    const char* role_reason() const { return role_reason_; }
    bool is_primary() const { return role_ == Role::primary; }
    // The primary of the newest epoch known, or nothing while there is none.
    std::optional<MemberId> primary() const;
    // Whether a quorum vouched a moment ago, by this member's clock, for what `committed()` says.
    bool current(Time now) const;
    const ReplicatedState& committed() const { return committed_; }
    const WitnessRegister& witness_register() const { return register_; }
    // The newest state that was given to the disk, acknowledged or not.
    const ReplicatedState& state() const { return state_; }
    bool shutting_down() const { return shutting_down_; }
    // Whether the others hold enough copies and a quorum without this member, as far as that can be had:
    // witnesses can be replaced only where a member stands by.
    bool may_end(Time now) const;

  private:
    struct Peer {
        bool connected = false;
        Time heard{-1'000'000};        // last message of any kind
        Time steady_since{-1};         // answers without a gap since then; negative: does not
        std::uint64_t heartbeat = 0;   // highest number answered in this epoch
        Time heartbeat_at{-1'000'000}; // when that one was sent
        Position holds;
        bool voting = false;
        Time voting_at{-1'000'000}; // when it last said that it can vote
        bool complete = false;
        bool shutting_down = false;
        std::int64_t reply_sent_at = 0; // by its clock, of its newest reply
        Time commit_notification_sent{-1'000'000};
    };
    struct Proposal {
        std::uint64_t id = 0;
        Position position;
        Time sent{0};
        std::set<MemberId> stored;
    };
    struct Confirmation {
        std::uint64_t heartbeat = 0; // that must be answered
        Time since{0};
    };
    // What waits for saves: a message that vouches for them, or a step of this member's own.
    struct SendPrepareRequests {
        Epoch epoch = 0;
    };
    struct StartInstall {
        Epoch epoch = 0;
    };
    struct SendAcceptRequests {
        Epoch epoch = 0;
    };
    struct CountOwnCopy {
        Position position;
    };
    struct FinishRestoration {};
    using DeferredAction = std::variant<Send, SendPrepareRequests, StartInstall, SendAcceptRequests,
                                        CountOwnCopy, FinishRestoration>;
    struct InFlightSave {
        SaveId id = 0;
        std::optional<bool> complete; // as the register to be saved says; none for a state
    };
    struct Deferred {
        SaveId after = 0;
        DeferredAction action;
    };

    void on(const Tick&);
    void on(const Loaded& loaded);
    void on(const Saved& saved);
    void on(const SaveFailed& failed);
    void on(const Received& received);
    void on(const PeerConnected& event);
    void on(const PeerDisconnected& event);
    void on(const Propose& event);
    void on(const ConfirmLeadership& event);
    void on(const BeginShutdown&);

    void on_message(const MemberId& from, const PrepareRequest& request);
    void on_message(const MemberId& from, const PrepareReply& reply);
    void on_message(const MemberId& from, const FetchRequest& request);
    void on_message(const MemberId& from, const FetchReply& reply);
    void on_message(const MemberId& from, const InstallRequest& request);
    void on_message(const MemberId& from, const InstallReply& reply);
    void on_message(const MemberId& from, const AcceptRequest& request);
    void on_message(const MemberId& from, const AcceptReply& reply);
    void on_message(const MemberId& from, const ReplicateRequest& request);
    void on_message(const MemberId& from, const ReplicateReply& reply);
    void on_message(const MemberId& from, const Heartbeat& heartbeat);
    void on_message(const MemberId& from, const HeartbeatReply& reply);
    void on_message(const MemberId& from, const CommitNotification& notification);
    void on_message(const MemberId& from, const RecoveryRequest& request);
    void on_message(const MemberId& from, const RecoveryReply& reply);
    void on_message(const MemberId& from, const LeadershipTransfer& transfer);

    // Durability (durability.cpp).
    void save(const WitnessRegister& next);
    void save(const ReplicatedState& next);
    void issue(DiskRecord record, bool restores = false);
    void when_durable(DeferredAction action);
    void carry_out(const Send& send);
    void carry_out(const SendPrepareRequests& due);
    void carry_out(const StartInstall& due);
    void carry_out(const SendAcceptRequests& due);
    void carry_out(const CountOwnCopy& copy);
    void carry_out(const FinishRestoration&);
    bool finish_save(SaveId id, bool saved);
    void restore();
    bool disk_answers() const;
    bool can_vote() const;

    // Election (election.cpp).
    void begin_candidacy();
    void start_pre_vote();
    PrepareReply own_prepare_reply() const;
    void start_election();
    void start_preparing();
    void count_prepare_replies();
    std::set<MemberId> members_granting() const;
    void plan_record();
    std::vector<MemberId> next_in_sync(const std::vector<MemberId>& witnesses) const;
    void install();
    void start_accept_if_installed();
    void count_accepts();
    void abandon_election(Epoch seen, const char* reason);
    void back_off_election();
    std::vector<MemberId> standbys() const;
    std::vector<MemberId> next_witnesses(const std::vector<MemberId>& present) const;
    bool replaceable(const MemberId& witness) const;
    std::vector<MemberId> prepare_recipients() const;
    const EpochRecord& highest_accepted() const;
    const EpochRecord& highest_decided() const;
    std::size_t succession_rank() const;
    Time election_delay() const;

    // The primary (primary.cpp).
    void become_primary();
    void step_down(Epoch seen, const char* reason);
    void abort_client_requests();
    void transfer_leadership();
    void heartbeat();
    void send_heartbeat(const MemberId& to);
    void check_confirmations();
    void expire_confirmations();
    void check_commit();
    void resend_proposal();
    void supervise_members();
    bool membership_should_change() const;
    bool has_grown() const;
    Time sent_at(std::uint64_t number) const;

    void change_role(Role next, const char* reason);
    void try_recovery();
    void commit(const ReplicatedState& state);
    void adopt_decided(const EpochRecord& record);
    void note_contact(const Heartbeat& heartbeat);
    HeartbeatReply heartbeat_reply(std::uint64_t number, Epoch epoch) const;
    void send(const MemberId& to, Message message);
    bool is_alive(const MemberId& member) const;
    bool may_start_election() const;
    bool reaches_quorum() const;
    bool has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& of) const;
    bool is_steady(const MemberId& member) const;
    bool lacks_redundancy() const;
    bool quorum_answered(Time now, Time within) const;
    bool heard_primary_recently() const;
    std::size_t min_in_sync() const { return options_.tolerated + 1; }
    std::size_t full_witness_count() const { return 2 * options_.tolerated + 1; }

    Options options_;
    std::mt19937_64 random_;
    Time now_{0};
    std::vector<Action>* actions_ = nullptr;

    Role role_ = Role::loading;
    const char* role_reason_ = "start";
    WitnessRegister register_; // as last given to the disk
    ReplicatedState state_;    // likewise
    ReplicatedState committed_;
    bool has_register_ = false;
    bool register_unsaved_ = false; // `register_` holds what was not given to the disk
    bool shutting_down_ = false;
    bool is_first_start_ = false;
    std::map<MemberId, Peer> peers_; // bounded: members ever heard of that the carrier connects to

    Epoch highest_epoch_seen_ = 0; // of any epoch number, to stand above
    Time primary_heard_at_{-1'000'000};
    Time contact_at_{-1'000'000}; // a primary in contact with a quorum had heard this member at that time
    bool heard_primary_since_start_ = false;
    Time role_since_{0};
    Time started_at_{0};
    Time no_election_before_{0};
    Time quorum_reached_{-1}; // connected to enough witnesses since then; negative: is not

    // Of the disk.
    SaveId last_save_id_ = 0;
    bool durable_complete_ = false;            // as the register that is surely on disk says
    std::deque<InFlightSave> in_flight_saves_; // bounded: each message of a peer asks for two at the most
    std::deque<Deferred> deferred_;
    Time disk_progress_{0}; // when the disk last answered, or was first asked after it had answered all
    Time restore_at_{0};
    Time restore_backoff_{0};

    // Of the election under way.
    Epoch candidate_epoch_ = 0;
    std::map<MemberId, PrepareReply> prepare_replies_;
    Time quorum_since_{-1};
    EpochRecord planned_;
    std::vector<std::vector<MemberId>> groups_; // more than half of each must store the record
    MemberId fetch_from_;
    std::set<MemberId> installed_;
    std::set<MemberId> accepted_by_;
    Time accept_sent_{0};
    Time election_backoff_{0}; // of a member that won and could not serve

    // Of the primary.
    std::uint64_t heartbeat_number_ = 0;
    std::deque<std::pair<std::uint64_t, Time>> sent_heartbeats_; // the last ones sent, bounded
    Time heartbeat_sent_at_{-1'000'000};
    Time leadership_transfer_sent_{-1'000'000};
    std::optional<Proposal> proposal_;
    std::map<std::uint64_t, Confirmation> confirmations_; // by the caller's id
    Time reconfigured_at_{-1'000'000};
    Time primary_since_{0};
    bool planned_change_ = false; // this election changes the membership of a primary that serves

    // Of the recovery.
    std::uint64_t recovery_nonce_ = 0;
    std::map<MemberId, RecoveryReply> recovery_replies_;
    Time recovery_requested_at_{-1'000'000};
};

} // namespace willowrill::replication
