// One member of the core: witness and replica in one state machine. Deterministic: time, messages and the
// disk come from outside, so that the same code runs in the control plane and in the simulated cluster of the
// tests.
//
// Safety rests on epochs and durable promises alone, never on clocks; timeouts only decide when to try.
//   - A witness takes part in no epoch below its promise, and stores the promise before it answers.
//   - A candidate has the promise of more than half of the witnesses, one of them from the in-sync set of the
//     highest epoch record among their answers; so that set can acknowledge nothing more, and the newest
//     state of its members that promised holds everything acknowledged so far.
//   - Every member of the new in-sync set holds that state before the new record is stored anywhere.
//   - The primary acknowledges a state once every member of its in-sync set has stored it.
#pragma once

#include "replication/types.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <span>
#include <variant>

namespace willowrill::replication {

using Time = std::chrono::milliseconds; // steady, from any origin

struct Timing {
    Time heartbeat{250};
    Time election{1000};       // without a heartbeat for so long, a backup stands for primary
    Time election_step{150};   // and so much later for each member before it in the order of succession
    Time first_election{100};  // after a start, how long a primary that serves has to make itself heard
    Time phase{700};           // an election phase that takes longer is given up
    Time gather{100};          // how long a candidate waits for further promises beyond those it needs
    Time gather_planned{300};  // the same where a primary changes the membership and nothing is urgent
    Time member_silent{800};   // an in-sync member that says nothing for so long is dropped
    Time member_steady{1000};  // a member must answer for so long before it is taken into the in-sync set
    Time witness_silent{3500}; // a witness silent for so long is replaced, where a spare member stands by
    Time primary_alone{1200};  // a primary that hears fewer than half of the witnesses steps down
    Time current{800};         // a member that has not heard the primary for so long calls itself stale
};

struct Options {
    MemberId self;
    bool initial_start = false;
    std::vector<MemberId> seeds;
    std::size_t tolerated = 1; // members that may be lost at once, disks included
    Timing timing{};
    std::uint64_t random_seed = 1;
};

// `recovering`: the disk was empty, and it is not known what was promised. `canvassing`: asking whether an
// election would succeed. `collecting`, `fetching`, `installing`, `accepting`: phases of an election.
enum class Role { recovering, backup, canvassing, collecting, fetching, installing, accepting, primary };

// ---- Events and actions ----------------------------------------------------------------------------------

struct Tick {};
struct Received {
    MemberId from;
    Message message;
};
struct PeerConnected {
    MemberId peer;
};
struct PeerLost {
    MemberId peer;
};
// Asks for a new state to be acknowledged; one at a time. `id` is the caller's.
struct Propose {
    std::uint64_t id = 0;
    std::string content;
};
// Asks whether this member is still the primary at a moment after the question.
struct Confirm {
    std::uint64_t id = 0;
};
// The process is about to end.
struct Leave {};
using Event = std::variant<Tick, Received, PeerConnected, PeerLost, Propose, Confirm, Leave>;

struct Send {
    MemberId to;
    Message message;
};
struct Committed {
    std::uint64_t id = 0;
};
// Not decided here: it may or may not be in force.
struct Undecided {
    std::uint64_t id = 0;
};
struct Confirmed {
    std::uint64_t id = 0;
};
// `committed()` has a newer state.
struct StateChanged {};
using Action = std::variant<Send, Committed, Undecided, Confirmed, StateChanged>;

class Replica {
  public:
    Replica(Options options, Storage& storage);

    // Takes in one event and appends to the actions, which are carried out in their order.
    void step(Time now, const Event& event, std::vector<Action>& actions);

    Role role() const { return role_; }
    bool is_primary() const { return role_ == Role::primary; }
    // The primary of the newest epoch known, or nothing while there is none.
    std::optional<MemberId> primary() const;
    // Whether what `committed()` says was current a moment ago.
    bool current(Time now) const;
    const ReplicatedState& committed() const { return committed_; }
    const WitnessRegister& witness_register() const { return register_; }
    // The state on disk, acknowledged or not.
    const ReplicatedState& state() const { return state_; }
    bool leaving() const { return leaving_; }

  private:
    struct Peer {
        bool connected = false;
        Time connected_at{0};
        Time heard{-1'000'000};        // last message of any kind
        Time steady_since{-1};         // answers without a gap since then; negative: does not
        std::uint64_t heartbeat = 0;   // highest number answered in this epoch
        Time heartbeat_at{-1'000'000}; // when it was answered
        Position holds;
        bool voting = false;
        bool intact = false;
        bool leaving = false;
        Time learn_sent{-1'000'000};
    };
    struct Promise {
        WitnessRegister witness_register;
        Position position;
    };
    struct Proposal {
        std::uint64_t id = 0;
        Position position;
        Time since{0};
        std::set<MemberId> stored;
    };

    void on(const Tick&);
    void on(const Received& received);
    void on(const PeerConnected& event);
    void on(const PeerLost& event);
    void on(const Propose& event);
    void on(const Confirm& event);
    void on(const Leave&);

    void on_message(const MemberId& from, const PromiseRequest& request);
    void on_message(const MemberId& from, const PromiseReply& reply);
    void on_message(const MemberId& from, const FetchRequest& request);
    void on_message(const MemberId& from, const FetchReply& reply);
    void on_message(const MemberId& from, const InstallRequest& request);
    void on_message(const MemberId& from, const InstallReply& reply);
    void on_message(const MemberId& from, const AcceptRequest& request);
    void on_message(const MemberId& from, const AcceptReply& reply);
    void on_message(const MemberId& from, const ReplicateRequest& request);
    void on_message(const MemberId& from, const ReplicateReply& reply);
    void on_message(const MemberId& from, const Heartbeat& beat);
    void on_message(const MemberId& from, const HeartbeatReply& reply);
    void on_message(const MemberId& from, const Learn& learn);
    void on_message(const MemberId& from, const RecoveryRequest& request);
    void on_message(const MemberId& from, const RecoveryReply& reply);
    void on_message(const MemberId& from, const Yield& yield);

    void change_role(Role next);
    void format_or_load();
    void stand(bool tentative);
    void start_collecting();
    void count_promises();
    void plan_record();
    void install();
    void maybe_accept();
    void count_accepts();
    void become_primary();
    void abandon_election(Epoch seen);
    void step_down(Epoch seen);
    void drop_orders();
    void heartbeat();
    void check_confirmations();
    void check_commit();
    void supervise_members();
    void try_recovery();
    void commit(const ReplicatedState& state);
    void learn_decided(const EpochRecord& record);

    bool save_register(const WitnessRegister& next);
    bool save_state(const ReplicatedState& next);
    void send(const MemberId& to, Message message);
    bool alive(const MemberId& member) const;
    bool may_stand() const;
    bool reaches_quorum() const;
    bool has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& of) const;
    bool steady(const MemberId& member) const;
    std::vector<MemberId> spares() const;
    std::vector<MemberId> next_witnesses(const std::vector<MemberId>& present) const;
    std::vector<MemberId> electors() const;
    const EpochRecord& highest_accepted() const;
    const EpochRecord& highest_decided() const;
    std::size_t place_in_order() const;
    Time election_delay() const;
    bool hears_primary() const;
    std::size_t fewest_in_sync() const { return options_.tolerated + 1; }

    Options options_;
    Storage& storage_;
    std::mt19937_64 random_;
    Time now_{0};
    std::vector<Action>* actions_ = nullptr;

    Role role_ = Role::backup;
    WitnessRegister register_;
    ReplicatedState state_;
    ReplicatedState committed_;
    bool voting_ = false;
    bool storage_broken_ = false;
    bool leaving_ = false;
    std::map<MemberId, Peer> peers_; // bounded: members ever heard of that the carrier connects to

    Epoch highest_seen_ = 0; // of any epoch number, to stand above
    Time primary_heard_{-1'000'000};
    bool heard_in_this_life_ = false;
    Time role_since_{0};
    Time stand_not_before_{0};
    Time quorum_reached_{-1}; // connected to enough witnesses since then; negative: is not

    // Of the election under way.
    Epoch candidate_epoch_ = 0;
    std::map<MemberId, Promise> promises_;
    Time quorum_since_{-1};
    EpochRecord planned_;
    std::vector<std::vector<MemberId>> groups_; // more than half of each must store the record
    MemberId fetch_from_;
    std::set<MemberId> installed_;
    std::set<MemberId> accepted_by_;

    // Of the primary.
    std::uint64_t beat_number_ = 0;
    Time beat_sent_{-1'000'000};
    std::optional<Proposal> proposal_;
    std::map<std::uint64_t, std::uint64_t>
        confirmations_; // caller's id to the heartbeat that must be answered
    Time reconfigured_{-1'000'000};
    bool planned_change_ = false; // this election changes the membership of a primary that serves

    // Of the recovery.
    std::uint64_t nonce_ = 0;
    std::map<MemberId, RecoveryReply> recovery_;
    Time recovery_asked_{-1'000'000};
};

} // namespace willowrill::replication
