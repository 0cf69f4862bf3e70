#include "system/data/core_connection.h"

#include "system/logging/log.h"
#include "system/messages/codec.h"
#include "system/transport/dial.h"
#include "system/transport/process.h"

#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds tick_period{100};
constexpr std::chrono::milliseconds dial_timeout{500};
// A scheduler goes by no cluster version: the core decides whom it takes in.
const protocol::Greeting own_greeting = protocol::own_greeting(protocol::initial_cluster_version);

} // namespace

CoreConnection::CoreConnection(asio::io_context& loop, const settings::Settings& settings,
                               std::shared_ptr<budget::ByteBudget> input_memory, Callbacks callbacks)
    : loop_(loop), core_port_(settings.first_internal_port), input_memory_(std::move(input_memory)),
      callbacks_(std::move(callbacks)), session_(
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
    transport::dial(loop_, dial.host, core_port_, dial_timeout, input_memory_,
                    [this](const transport::FrameConnectionPtr& connection) {
                        if (connection) return on_connected(connection);
                        feed(distribution::DialFailed{});
                    });
}

void CoreConnection::on_connected(const transport::FrameConnectionPtr& connection) {
    connection_ = connection;
    agreement_ = {};
    callbacks_.session_began();
    connection->start(
        [this, raw = connection.get()](const nlohmann::json& document) {
            if (connection_.get() == raw) on_document(document);
        },
        [this, raw = connection.get()] {
            if (connection_.get() != raw) return; // it was left before
            connection_ = nullptr;
            feed(distribution::ConnectionLost{});
        });
    connection->send(messages::encode(messages::SchedulerHello{own_greeting}));
    feed(distribution::DialSucceeded{});
}

void CoreConnection::on_document(const nlohmann::json& document) {
    const messages::CoreUpdate update = messages::decode_core_update(document);
    if (const auto* unknown = std::get_if<messages::UnknownMessage>(&update)) return on_unknown(*unknown);
    if (const auto* reply = std::get_if<messages::HelloReply>(&update))
        if (auto agreement = protocol::negotiate(own_greeting, reply->greeting))
            agreement_ = std::move(agreement.value());
    if (const auto* refusal = std::get_if<messages::HelloRefusal>(&update)) {
        callbacks_.refused();
        if (session_.refusal() != refusal->detail)
            logging::error("refused-by-core").text("detail", refusal->detail);
    }
    feed(distribution::MessageReceived{update});
}

void CoreConnection::on_unknown(const messages::UnknownMessage& message) {
    callbacks_.unknown_message();
    if (message.optional || !agreement_.refuses_unknown_messages()) return;
    logging::error("core-message-unknown").field("message", message.type);
    connection_->close();
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

void CoreConnection::carry_out(const distribution::DeliverUpdate& pushed) {
    callbacks_.on_update(pushed.message);
}

} // namespace willowrill::data
