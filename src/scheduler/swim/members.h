// Membership of the schedulers by the SWIM protocol: suspicion, incarnation numbers, indirect probes and
// piggybacked updates, with two Lifeguard extensions: suspicion timeouts that shrink as independent
// confirmations arrive, and probe timeouts that grow while the local instance looks unhealthy. The class does
// no I/O and reads no clock: messages and the current time are passed in, and actions are returned.
#pragma once

#include <pcg_random.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::swim {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds; // by the instance's own clock

// An IPv4 address and a port, in host byte order.
struct Address {
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
};

// Identifies one life of an instance, that is, one run of its process. A restart under the same name is
// another life with a larger number.
struct MemberId {
    std::string name;
    std::uint64_t life = 0;
    auto operator<=>(const MemberId&) const = default;
};

enum class State : std::uint8_t {
    alive,
    suspect, // a probe failed; the member may still refute the suspicion
    dead,    // the suspicion was not refuted in time
    left     // announced by the member itself; final for this life
};

std::string_view name_of(State state);

struct Member {
    MemberId id;
    Address address;
    State state = State::alive;
    std::uint32_t incarnation = 0; // increased only by the member itself, to refute a suspicion
};

enum class MessageKind : std::uint8_t {
    ping,         // to be answered with an ack
    ack,          // answers a ping, or a ping_request whose target has answered
    ping_request, // asks the receiver to probe `subject` on behalf of the sender
    nack,         // answers a ping_request whose target is silent, or a ping meant for another life
    sync_request, // asks for all members
    sync          // a part of the answer to a sync_request
};

struct Message {
    MessageKind kind = MessageKind::ping;
    std::uint32_t sequence = 0;
    std::uint64_t life = 0;        // the life that a ping is meant for; 0 means any
    Address subject{};             // the target of a ping_request
    std::vector<Member> updates{}; // piggybacked updates, or the members of a sync
};

struct Settings {
    Duration probe_period{0};             // one member is probed per period
    Duration probe_timeout{0};            // wait before indirect probes; at most half of the period
    std::size_t indirect_probe_count = 3; // members asked to probe a silent target
    std::size_t suspicion_multiplier =
        4;                    // shortest suspicion timeout, in periods per log10 of the member count
    Duration forget_after{0}; // time after which dead and left members are removed
    std::size_t max_members = 1000;
    std::size_t max_update_bytes = 900;     // budget for the updates of one message
    std::size_t sync_interval_periods = 30; // periods between two full synchronizations
    std::vector<Address> seeds{};
    // Encoded size of one update, without the name.
    static constexpr std::size_t update_overhead_bytes = 40;
};

// A message that the caller must send.
struct OutgoingMessage {
    Address to;
    Message message;
};
// A member that was added or whose state changed. `previous_state` is empty for a new member.
struct StateChange {
    Member member;
    std::optional<State> previous_state;
};
// Collects what the caller must do after a call into `Swim`.
struct Actions {
    std::vector<OutgoingMessage> sends;
    std::vector<StateChange> changes;
};

struct Statistics {
    std::uint64_t probes = 0, indirect_probes = 0, probes_failed = 0;
    // `refuted` counts suspicions about this instance itself.
    std::uint64_t suspected = 0, refuted = 0, declared_dead = 0;
    std::uint64_t over_limit = 0; // members not added because of `max_members`
    std::uint64_t conflicts = 0;  // updates that show two living members with one name at two addresses
};

// The membership state of one instance. Not thread-safe.
class Swim {
  public:
    Swim(Settings settings, MemberId self, Address address, std::uint64_t seed, Time now);

    // Requests the member list from the seeds.
    void start(Time now, Actions& actions);
    // Runs the timers. Must be called at the time that `next_tick` returns, or later.
    void tick(Time now, Actions& actions);
    Time next_tick() const;
    void receive(Time now, Address from, const Message& message, Actions& actions);
    // Announces to some members that this instance leaves, and stops probing.
    void leave(Time now, Actions& actions);
    void update_settings(Settings settings) { settings_ = std::move(settings); }
    // Continues under a new life number; the current life is marked as left.
    void begin_life(std::uint64_t life, Time now, Actions& actions);

    const Member& self() const { return self_; }
    const std::map<MemberId, Member>& others() const { return members_; }
    // Members that are alive or suspect, including this instance.
    std::size_t alive_count() const;
    // Whether some member is suspect, or dead but not yet removed and not replaced by a later life. Such a
    // member may still run and hold data that this instance lacks.
    bool has_unreachable_member() const;
    // The address of a random alive member other than this instance.
    std::optional<Address> random_alive_address();
    const Statistics& statistics() const { return statistics_; }

  private:
    // Local data about a member, which is not exchanged.
    struct Details {
        Time state_since{0};                       // start of the current state
        Time suspicion_deadline{0};                // when a suspect is declared dead
        Time suspected_since{0};                   // start of the suspicion
        std::vector<std::uint64_t> confirmed_by{}; // sources of the suspicion; bounded
    };
    // A member whose state is still to be piggybacked on outgoing messages.
    struct PendingUpdate {
        MemberId id;
        std::size_t transmissions = 0;
    };
    // A probe that another member has requested.
    struct RelayedProbe {
        Address requester{};
        // Sequence numbers of the ping_request and of the ping that is sent for it.
        std::uint32_t request_sequence = 0, ping_sequence = 0;
        Time deadline{0};
        bool nack_sent = false;
    };

    void apply_update(Time now, const Member& update, std::uint64_t source, Actions& actions);
    void handle_update_about_self(const Member& update);
    void add_member(Time now, const Member& update, Actions& actions);
    void set_state(Time now, Member& member, State state, std::uint32_t incarnation, Actions& actions);
    void queue_update(const MemberId& id);
    void send(Address to, Message message, Actions& actions);
    void piggyback_updates(Message& message);
    void start_probe(Time now, Actions& actions);
    void finish_probe(Time now, Actions& actions);
    void suspect_member(Time now, Member& member, std::uint64_t source, Actions& actions);
    void remove_expired(Time now);
    void contact_unreachable(Actions& actions);
    void send_all_members(Address to, Actions& actions);
    std::optional<MemberId> next_probe_target();
    Duration min_suspicion_timeout() const;
    std::size_t max_transmissions() const;
    const Member* find_member(const MemberId& id) const;
    template <class Predicate>
    std::vector<const Member*> sample_members(std::size_t count, Predicate&& predicate);

    Settings settings_;
    Member self_;
    pcg32 random_;
    std::map<MemberId, Member> members_;
    std::map<MemberId, Details> details_;
    std::vector<MemberId> probe_round_; // remaining targets of the current probe round, in random order
    std::vector<PendingUpdate> pending_updates_;
    std::vector<RelayedProbe> relayed_probes_; // bounded by `max_relayed_probes`
    // The probe of the current period.
    struct {
        MemberId target{};
        std::uint32_t sequence = 0;
        Time indirect_at{0}, ends{0}; // when the indirect probes are due; `ends` is unused
        bool pending = false, indirect_sent = false;
        std::size_t nacks_expected = 0, nacks = 0;
    } probe_;
    std::size_t local_health_ = 0; // Lifeguard's local health multiplier; 0 is healthy
    std::uint32_t sequence_ = 0;
    std::size_t period_count_ = 0;
    Time next_period_at_{0};
    bool leaving_ = false;
    Statistics statistics_;
};

} // namespace willowrill::swim
