#include "system/data/subscription.h"

#include "system/load_reports/load_report_codec.h"
#include "system/logging/log.h"
#include "system/transport/dial.h"

#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds silence_timeout{1000};
constexpr std::chrono::milliseconds dial_timeout{400};

} // namespace

void Subscription::subscribe_to(const membership::Lease& home) {
    drop_silent_or_other(home.node);
    if (connection_ || dialling_) return;
    const auto endpoint = settings::parse_endpoint(home.peer_address);
    if (!endpoint) return;
    dialling_ = true;
    node_ = home.node;
    transport::dial(
        context_.loop, endpoint.value().host, endpoint.value().port, dial_timeout,
        context_.input_memory.peers,
        [self = shared_from_this(), node = home.node](const transport::FrameConnectionPtr& connection) {
            self->on_connected(node, connection);
        });
}

void Subscription::drop_silent_or_other(const std::string& home) {
    if (!connection_) return;
    const Clock::time_point now = Clock::now();
    const bool silent = now - last_message_at_ > silence_timeout;
    if (silent) backoff_.back_off(node_, now);
    if (silent || node_ != home) std::exchange(connection_, nullptr)->close();
}

void Subscription::close() {
    closed_ = true;
    if (connection_) std::exchange(connection_, nullptr)->close();
}

void Subscription::on_connected(const std::string& node, const transport::FrameConnectionPtr& connection) {
    dialling_ = false;
    if (closed_) {
        if (connection) connection->close();
        return;
    }
    if (!connection) return backoff_.back_off(node, Clock::now());
    connection_ = connection;
    last_message_at_ = Clock::now();
    subscriber_ = {};
    start(connection);
    connection->send(encode(request_));
}

void Subscription::start(const transport::FrameConnectionPtr& connection) {
    connection->start(
        [weak = weak_from_this()](const nlohmann::json& message) {
            if (const auto self = weak.lock()) self->on_message(message);
        },
        [weak = weak_from_this(), raw = connection.get()] {
            const auto self = weak.lock();
            if (self && self->connection_.get() == raw) self->connection_ = nullptr;
        });
}

void Subscription::on_message(const nlohmann::json& message) {
    last_message_at_ = Clock::now();
    const auto decoded = load_reports::decode_publisher_message(message, steady_now());
    if (const auto* update = std::get_if<load_reports::LoadReportUpdate>(&decoded))
        subscriber_.apply(*update, context_.workers);
    if (const auto* refusal = std::get_if<load_reports::SubscribeRefusal>(&decoded)) on_refused(*refusal);
}

// Another scheduler is the home until this one's back-off is over.
void Subscription::on_refused(const load_reports::SubscribeRefusal& refusal) {
    logging::warning("subscription-refused").field("publisher", node_).text("detail", refusal.detail);
    context_.metrics.add(metrics::Total::refused_sessions, "publisher", "peer");
    backoff_.back_off(node_, Clock::now());
    std::exchange(connection_, nullptr)->close();
}

} // namespace willowrill::data
