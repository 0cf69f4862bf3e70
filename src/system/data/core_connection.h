// Carries this scheduler's session with the core (`distribution::CoreSession`) over sockets and timers. One
// thread.
#pragma once

#include "system/distribution/core_session.h"
#include "system/membership/lease_table.h"
#include "system/messages/messages.h"
#include "system/replication/types.h"
#include "system/settings/settings.h"
#include "system/transport/frame_connection.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::data {

class CoreConnection {
  public:
    struct Callbacks {
        std::function<membership::Lease()> lease; // as of now
        std::function<std::optional<replication::Position>()>
            active_position;                                        // of the state in force, if any
        std::function<messages::ResyncRequest()> resync;            // what is to be sent as a snapshot
        std::function<void()> session_began;                        // with another member, or the same anew
        std::function<void(const messages::CoreUpdate&)> on_update; // state, members, zone
        std::function<std::vector<settings::Endpoint>()> seeds;     // as the settings file names them now
        std::function<void()> refused;         // a core member refused a session, as no version is in common
        std::function<void()> unknown_message; // one came that is not understood
    };
    // `input_memory`: what the core sends is part of it.
    CoreConnection(asio::io_context& loop, const settings::Settings& settings,
                   std::shared_ptr<budget::ByteBudget> input_memory, Callbacks callbacks);

    void start() { tick(); }
    // Renews at once: the lease has changed, or something is lacking.
    void renew_now() { feed(distribution::LeaseChanged{}); }
    // Why the core refuses this process, if it does.
    const std::optional<std::string>& refusal() const { return session_.refusal(); }

  private:
    void tick();
    void feed(const distribution::SessionEvent& event);
    void carry_out(const distribution::Dial& dial);
    void carry_out(const distribution::Disconnect&);
    void carry_out(const distribution::RenewLease& renewal);
    void carry_out(const distribution::DeliverUpdate& pushed);
    void on_connected(const transport::FrameConnectionPtr& connection);
    void on_document(const nlohmann::json& document);
    void on_unknown(const messages::UnknownMessage& message);

    asio::io_context& loop_;
    std::uint16_t core_port_;
    std::shared_ptr<budget::ByteBudget> input_memory_;
    Callbacks callbacks_;
    distribution::CoreSession session_;
    SteadyTimer timer_;
    transport::FrameConnectionPtr connection_;
    protocol::Agreement
        agreement_; // of this connection; before the core member's reply, of the lowest version
};

} // namespace willowrill::data
