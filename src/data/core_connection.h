// Carries this scheduler's session with the core (`distribution::CoreSession`) over sockets and timers. One
// thread.
#pragma once

#include "distribution/core_session.h"
#include "membership/lease_table.h"
#include "replication/types.h"
#include "settings/settings.h"
#include "transport/frame_connection.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::data {

class CoreConnection {
  public:
    struct Callbacks {
        std::function<membership::Lease()> lease;                    // as of now
        std::function<std::optional<replication::Position>()> holds; // the state in force, if any
        std::function<void(const nlohmann::json&)> on_push;          // state, members, zone
        std::function<std::vector<settings::Endpoint>()> seeds;      // as the settings file names them now
    };
    CoreConnection(asio::io_context& loop, std::uint16_t core_port, Callbacks callbacks);

    void start() { tick(); }
    // Renews at once: the lease has changed.
    void renew_now() { feed(distribution::LeaseChanged{}); }

  private:
    void tick();
    void feed(const distribution::SessionEvent& event);
    void carry_out(const distribution::Dial& dial);
    void carry_out(const distribution::Disconnect&);
    void carry_out(const distribution::RenewLease& renewal);
    void carry_out(const distribution::Pushed& pushed);
    void on_connected(const transport::FrameConnectionPtr& connection);

    asio::io_context& loop_;
    std::uint16_t core_port_;
    Callbacks callbacks_;
    distribution::CoreSession session_;
    SteadyTimer timer_;
    transport::FrameConnectionPtr connection_;
};

} // namespace willowrill::data
