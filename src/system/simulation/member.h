// A core member in virtual time: the real replica, queue of orders and hub of schedulers, with a model disk
// and model connections.
#pragma once

#include "system/control/order_queue.h"
#include "system/control/upgrade_status.h"
#include "system/distribution/scheduler_sessions.h"
#include "system/replication/replica.h"
#include "system/simulation/disk.h"
#include "system/simulation/history.h"
#include "system/simulation/network.h"
#include "system/simulation/state_transfer.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::simulation {

using replication::MemberId;

class Member;

// What all members of a run have in common.
struct Environment {
    EventQueue& queue;
    Network& network;
    History& history;
    std::size_t tolerated = 1;
    std::vector<MemberId> seeds;                  // as the settings name them now
    std::function<Member*(const MemberId&)> find; // null where nobody ever had the id
    double replays = 0;                           // share of messages between members that come once more
    // Deliberate breaks.
    bool break_answers_for_others = false;
    bool break_always_current = false;
    bool break_no_election_backoff = false;
    bool break_unchecked_upgrade = false;
    bool break_trusts_any_base = false;
    bool break_ignores_confirmations = false;
    bool trace = false;
    // An order to finish the upgrade was taken in: nobody puts an older program on a machine from then on.
    bool upgrade_ordered = false;
};

// The programs of a run in which members change their version.
inline constexpr protocol::VersionRange older_program{protocol::exact_version, protocol::exact_version};
inline constexpr protocol::VersionRange newer_program = protocol::supported_versions;

class Member {
  public:
    Member(Environment& environment, NodeId node, MemberId id, bool initial_start);

    const MemberId& id() const { return id_; }
    NodeId node() const { return node_; }
    bool up() const { return up_; }
    bool frozen() const { return frozen_until_ && environment_.queue.now() <= *frozen_until_; }
    bool answers() const { return up_ && !frozen(); }
    bool is_primary() const { return answers() && replica_->is_primary(); }
    bool is_shutting_down() const { return static_cast<bool>(on_ended_); }
    replication::Replica& replica() { return *replica_; }
    control::OrderQueue& orders() { return *orders_; }
    Disk& disk() { return disk_; }

    void start();
    void stop(bool power_lost);
    void freeze(Time duration);
    void thaw();
    // Begins a graceful shutdown; `on_ended` is called once the process has ended.
    void shut_down(std::function<void()> on_ended);
    void feed(replication::Event event);
    // The program that the next start runs.
    void install(protocol::VersionRange program) { installed_ = program; }
    protocol::VersionRange installed() const { return installed_; }
    // As the operators' interface does; only a primary of the newer program is asked.
    void finish_upgrade(control::OnOrderDone done);
    bool knows_upgrades() const { return program_.max >= protocol::negotiated_version; }
    // Runs this now, or once the process wakes; never in another incarnation of it.
    void when_running(std::function<void()> act) { when_awake(incarnation_, std::move(act)); }

    // A scheduler's connection, accepted here, and what comes on it.
    using ToScheduler = std::function<void(const nlohmann::json&)>;
    distribution::SessionId accept_scheduler(ToScheduler send, std::function<void()> close);
    void on_scheduler_message(distribution::SessionId id, const nlohmann::json& message);
    void on_scheduler_closed(distribution::SessionId id);

    bool removed = false;              // it has ended for good
    bool fails_as_primary = false;     // its disk refuses all saves while it is the primary
    bool break_forgets_orders = false; // deliberate: orders taken are not remembered

  private:
    struct SchedulerEnd {
        ToScheduler send;
        std::function<void()> close;
    };
    void tick(std::uint64_t incarnation);
    void dial_others();
    protocol::Greeting greeting() const;
    bool speaks_with(const protocol::Greeting& peer) const;
    void raise_cluster_version(protocol::Version version);
    bool can_read(const std::string& content) const;
    void gossip();
    void add_peer(const MemberId& id);
    // Runs this later in this incarnation of the process; while it is frozen, once it wakes.
    void later(Time delay, std::function<void()> act);
    void when_awake(std::uint64_t incarnation, std::function<void()> act);
    void carry_out(const replication::Action& action);
    std::function<void()> delivery(Member& other, std::function<void(Member&)> deliver) const;
    void send_to(const MemberId& to, std::function<void(Member&)> deliver);
    void send_replication(const MemberId& to, const replication::Message& message);
    void send_core_message(const MemberId& to, const messages::CoreMessage& message, bool may_replay);
    void on_core_message(const MemberId& from, ConnectionSerial serial, const messages::CoreMessage& message);
    void replay_later(const MemberId& to, const std::function<void(Member&)>& deliver);
    void on_committed();
    void end_if_possible();
    void trace_role(replication::Role before) const;

    Environment& environment_;
    NodeId node_;
    MemberId id_;
    Disk disk_;
    bool initial_start_;
    protocol::VersionRange installed_ = newer_program, program_ = newer_program;
    protocol::Version cluster_version_ = protocol::initial_cluster_version; // in this incarnation
    std::unique_ptr<replication::Replica> replica_;
    std::unique_ptr<control::OrderQueue> orders_;
    std::unique_ptr<distribution::SchedulerSessions> hub_;
    std::vector<std::unique_ptr<control::OrderQueue>> past_orders_; // may still be inside a call
    std::deque<replication::Event> events_;
    bool feeding_ = false;
    bool up_ = false;
    std::uint64_t incarnation_ = 0;
    std::uint64_t ticks_ = 0;
    std::optional<Time> frozen_until_;
    std::deque<std::function<void()>> when_awake_; // what came while it was frozen, in its order
    std::map<MemberId, ConnectionPtr> links_;      // those that are up
    StateTransfer states_;
    std::set<MemberId> peers_, dialling_;
    std::map<distribution::SessionId, SchedulerEnd> schedulers_;
    distribution::SessionId last_session_ = 0;
    replication::Position newest_; // committed in this incarnation
    Time shutdown_began_at_{0};
    std::function<void()> on_ended_;
};

} // namespace willowrill::simulation
