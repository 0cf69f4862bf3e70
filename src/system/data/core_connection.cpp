#include "system/data/core_connection.h"

#include "system/messages/codec.h"
#include "system/transport/dial.h"
#include "system/transport/process.h"

#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::milliseconds dial_timeout{500};

} // namespace

CoreConnection::CoreConnection(asio::io_context& loop, const settings::Settings& settings,
                               Callbacks callbacks)
    : loop_(loop), core_port_(settings.first_internal_port), callbacks_(std::move(callbacks)),
      session_(
          [this] {
              std::vector<std::string> hosts;
              for (const settings::Endpoint& seed : callbacks_.seeds())
                  hosts.push_back(seed.host);
              return hosts;
          },
          {settings.zone, settings.region}),
      timer_(loop) {}

void CoreConnection::tick() {
    feed(distribution::SessionTick{});
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

void CoreConnection::feed(const distribution::SessionEvent& event) {
    std::vector<distribution::SessionAction> actions;
    session_.step(steady_now(), event, actions);
    for (const distribution::SessionAction& action : actions)
        std::visit([this](const auto& one) { carry_out(one); }, action);
}

void CoreConnection::carry_out(const distribution::Dial& dial) {
    transport::dial(loop_, dial.host, core_port_, dial_timeout,
                    [this](const transport::FrameConnectionPtr& connection) {
                        if (connection) return on_connected(connection);
                        feed(distribution::DialFailed{});
                    });
}

void CoreConnection::on_connected(const transport::FrameConnectionPtr& connection) {
    connection_ = connection;
    callbacks_.session_began();
    connection->start(
        [this](const nlohmann::json& document) {
            feed(distribution::MessageReceived{messages::decode_core_update(document)});
        },
        [this, raw = connection.get()] {
            if (connection_.get() != raw) return; // it was left before
            connection_ = nullptr;
            feed(distribution::ConnectionLost{});
        });
    connection->send(messages::encode(messages::SchedulerHello{}));
    feed(distribution::DialSucceeded{});
}

void CoreConnection::carry_out(const distribution::Disconnect&) {
    if (const auto connection = std::exchange(connection_, nullptr)) connection->close();
}

void CoreConnection::carry_out(const distribution::RenewLease& renewal) {
    if (!connection_) return;
    membership::Lease lease = callbacks_.lease();
    lease.renewal = renewal.renewal;
    const messages::RenewLease message{lease, callbacks_.active_position(), callbacks_.resync()};
    connection_->send(messages::encode(message));
}

void CoreConnection::carry_out(const distribution::Pushed& pushed) { callbacks_.on_update(pushed.message); }

} // namespace willowrill::data
