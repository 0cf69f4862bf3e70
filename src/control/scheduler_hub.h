// The schedulers' sessions at a core member: takes their leases in and pushes what they need to know
// (configuration, evacuations, members, workers) whenever it changes. One thread.
#pragma once

#include "configuration/control_state.h"
#include "discovery/instances.h"
#include "membership/lease_table.h"
#include "replication/types.h"
#include "transport/frame_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace willowrill::control {

class SchedulerHub {
  public:
    struct Callbacks {
        std::function<bool()> is_current;                      // whether this member's state is current
        std::function<std::vector<std::string>()> core;        // ids of the core members known
        std::function<void(const membership::Lease&)> renewed; // by its holder, here
        std::function<void(const membership::Lease&)> ended;   // the holder's connection broke
    };
    explicit SchedulerHub(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

    void adopt(const transport::FrameConnectionPtr& connection);
    void on_message(const transport::FrameConnectionPtr& connection, const nlohmann::json& message);
    void on_closed(const transport::FrameConnectionPtr& connection);

    void publish_state(const replication::Position& position, const configuration::ControlState& state);
    void publish_members(const std::vector<membership::Lease>& leases);
    void publish_zone(const discovery::ZoneList& list);

    std::size_t sessions() const { return sessions_.size(); }

  private:
    using Frame = std::shared_ptr<const std::string>;
    struct Session {
        std::optional<membership::Lease> lease;
        Frame state; // the newest that this scheduler was sent
    };
    void push(const Frame& frame);
    void send_state(const transport::FrameConnectionPtr& connection, Session& session);

    Callbacks callbacks_;
    std::map<transport::FrameConnectionPtr, Session> sessions_;
    Frame state_, members_;
    std::map<std::string, Frame> zones_;
};

} // namespace willowrill::control
