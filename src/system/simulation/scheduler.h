// A scheduler in virtual time: the real session with the core, over model connections. Takes in states as the
// data plane does: never an older one than it holds.
#pragma once

#include "system/distribution/core_session.h"
#include "system/distribution/state_update.h"
#include "system/simulation/member.h"

#include <optional>
#include <set>
#include <string>

namespace willowrill::simulation {

class Scheduler {
  public:
    Scheduler(Environment& environment, NodeId node, std::string name);

    NodeId node() const { return node_; }
    const std::string& name() const { return name_; }
    bool up() const { return up_; }
    Time started() const { return started_at_; }
    Version version() const { return held_ ? held_->configuration.version : 0; }
    const std::set<std::string>& evacuated() const { return held_ ? held_->evacuated : nothing_; }
    const configuration::Configuration* configuration() const {
        return held_ ? &held_->configuration : nullptr;
    }

    void start();
    void stop();

  private:
    void tick(std::uint64_t incarnation);
    void feed(const distribution::SessionEvent& event);
    void carry_out(const distribution::Dial& dial);
    void carry_out(const distribution::Disconnect&);
    void carry_out(const distribution::RenewLease& renewal);
    void carry_out(const distribution::DeliverUpdate& pushed);
    std::optional<distribution::ActiveState> active_state() const;
    void take_in(errors::Result<distribution::StateUpdateResult> result);
    void on_connected(const ConnectionPtr& connection, Member& member);

    Environment& environment_;
    NodeId node_;
    std::string name_;
    std::optional<distribution::CoreSession> session_;
    ConnectionPtr connection_;
    Member* member_ = nullptr; // at the other end
    distribution::SessionId session_id_ = 0;
    bool up_ = false;
    std::uint64_t incarnation_ = 0;
    Time started_at_{0};
    std::optional<distribution::StateUpdate> held_;
    messages::ResyncRequest resync_;
    const std::set<std::string> nothing_;
};

} // namespace willowrill::simulation
