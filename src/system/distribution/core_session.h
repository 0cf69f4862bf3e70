// A scheduler's session with the core: renews its lease at one core member, and hands on what that member
// sends. Leaves a member that is silent or not current, and moves to a nearer one where there is one. Pure:
// connections and time come from outside; one thread.
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
// The content of the lease has changed: it is renewed at once.
struct LeaseChanged {};
using SessionEvent =
    std::variant<SessionTick, DialSucceeded, DialFailed, ConnectionLost, MessageReceived, LeaseChanged>;

// ---- Actions ---------------------------------------------------------------------------------------------

// Answered by `DialSucceeded` or `DialFailed`.
struct Dial {
    std::string host;
};
struct Disconnect {};
struct RenewLease {
    std::uint64_t renewal = 0;
};
// A state, the members or a list of workers, for the scheduler to take in.
struct DeliverUpdate {
    messages::CoreUpdate message;
};
using SessionAction = std::variant<Dial, Disconnect, RenewLease, DeliverUpdate>;

class CoreSession {
  public:
    // Of this scheduler.
    struct Location {
        std::string zone;
        std::string region;
    };
    // `seeds`: hosts of core members as the settings name them now; asked only when one is looked for.
    explicit CoreSession(std::function<std::vector<std::string>()> seeds, Location location = {})
        : seeds_(std::move(seeds)), location_(std::move(location)) {}

    void step(SteadyTime now, const SessionEvent& event, std::vector<SessionAction>& actions);
    bool connected() const { return phase_ == Phase::connected; }
    // Why a core member refused a session, where no other has answered a renewal since.
    const std::optional<std::string>& refusal() const { return refusal_; }

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
    void move_nearer();
    // Of a member from here: 0 in this zone, 1 in this region, 2 elsewhere or not known.
    int distance(const messages::CoreMember& member) const;
    std::vector<std::string> candidates() const;

    // A member that was left or could not be reached, and is not moved to for a while.
    struct BackOff {
        SteadyTime until{0};
        SteadyTime pause{0}; // doubles with each time
    };

    std::function<std::vector<std::string>()> seeds_;
    Location location_;
    SteadyTime now_{0};
    std::vector<SessionAction>* actions_ = nullptr;

    Phase phase_ = Phase::idle;
    std::string host_;                                  // dialled last
    std::string preferred_;                             // the one that was current last
    std::map<std::string, messages::CoreMember> known_; // by host, as the last current one named them; at
                                                        // most `max_core_members`
    std::map<std::string, BackOff> backed_off_;         // by host; at most `max_core_members`
    std::size_t next_candidate_ = 0;
    SteadyTime renewed_{0}, answered_{0}, current_{0};
    std::uint64_t renewal_ = 0;
    std::optional<std::string> refusal_;
    SteadyTime refused_until_{0}; // no member is dialled before
};

} // namespace willowrill::distribution
