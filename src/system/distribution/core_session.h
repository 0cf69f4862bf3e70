// A scheduler's session with the core: renews the scheduler's lease at one core member and passes the updates
// of that member on. Leaves a member that is silent or not current, and moves to a nearer one if there is
// one. A state machine without I/O or clock: the caller supplies events and the time, and carries out the
// actions. Not thread-safe.
#pragma once

#include "system/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace willowrill::distribution {

using SteadyTime = std::chrono::milliseconds;

// ---- Events ----------------------------------------------------------------------------------------------

struct SessionTick {};
struct DialSucceeded {};
struct DialFailed {};
struct ConnectionLost {};
struct MessageReceived {
    messages::CoreUpdate message;
};
// The content of the lease has changed. The session renews it immediately.
struct LeaseChanged {};
using SessionEvent =
    std::variant<SessionTick, DialSucceeded, DialFailed, ConnectionLost, MessageReceived, LeaseChanged>;

// ---- Actions ---------------------------------------------------------------------------------------------

// Opens a connection to the host. The caller reports `DialSucceeded` or `DialFailed`.
struct Dial {
    std::string host;
};
struct Disconnect {};
struct RenewLease {
    std::uint64_t renewal = 0;
};
// Passes an update from the core to the scheduler: a state, the members or a list of workers.
struct DeliverUpdate {
    messages::CoreUpdate message;
};
using SessionAction = std::variant<Dial, Disconnect, RenewLease, DeliverUpdate>;

class CoreSession {
  public:
    // Location of this scheduler; empty strings if it is not known.
    struct Location {
        std::string zone;
        std::string region;
    };
    // `seeds`: returns the hosts of core members in the current settings; called only when the session
    // selects a member to dial.
    explicit CoreSession(std::function<std::vector<std::string>()> seeds, Location location = {})
        : seeds_(std::move(seeds)), location_(std::move(location)) {}

    // Handles one event and appends the resulting actions to `actions`.
    void step(SteadyTime now, const SessionEvent& event, std::vector<SessionAction>& actions);
    bool connected() const { return phase_ == Phase::connected; }
    // The reason for which a core member refused a session, unless a renewal has been acknowledged since.
    const std::optional<std::string>& refusal() const { return refusal_detail_; }

  private:
    enum class Phase { idle, dialling, connected };

    void on(const SessionTick&);
    void on(const DialSucceeded&);
    void on(const DialFailed&);
    void on(const ConnectionLost&);
    void on(const MessageReceived& received);
    void on(const LeaseChanged&);
    void change_phase(Phase next);
    void dial_next();
    void renew();
    void on_lease_ack(const messages::LeaseAck& ack);
    void on_refusal(const messages::HelloRefusal& refusal);
    void back_off(const std::string& host);
    void move_to_nearer_member();
    // Distance of a member: 0 in the same zone, 1 in the same region, 2 elsewhere or unknown.
    int distance(const messages::CoreMember& member) const;
    std::vector<std::string> candidate_hosts() const;

    // A member that was left or could not be reached. The session does not move to it before `until`.
    struct BackOff {
        SteadyTime until{0};
        SteadyTime duration{0}; // doubles with each failure, up to a maximum
    };

    std::function<std::vector<std::string>()> seeds_;
    Location location_;
    SteadyTime now_{0};
    std::vector<SessionAction>* actions_ = nullptr;

    Phase phase_ = Phase::idle;
    std::string dialled_host_;   // host dialled most recently
    std::string preferred_host_; // the last member known to be current
    // By host, as listed by the last current member; at most `max_core_members`.
    std::map<std::string, messages::CoreMember> known_members_;
    std::map<std::string, BackOff> back_offs_; // by host; at most `max_core_members`
    std::size_t next_candidate_ = 0;
    SteadyTime last_renewal_{0}, last_answer_{0}, last_current_{0};
    std::uint64_t renewal_number_ = 0;
    std::optional<std::string> refusal_detail_;
    SteadyTime dial_blocked_until_{0}; // no member is dialled before this time
};

} // namespace willowrill::distribution
