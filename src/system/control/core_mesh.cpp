#include "system/control/core_mesh.h"

#include "system/logging/log.h"
#include "system/messages/codec.h"
#include "system/settings/settings.h"
#include "system/transport/dial.h"
#include "system/transport/process.h"

#include <utility>

namespace willowrill::control {
namespace {

// Kept short because a connection attempt started during a network partition hangs long after the partition
// has healed.
constexpr std::chrono::milliseconds dial_timeout{250};
// Time before a member that refused a connection is dialled again.
constexpr std::chrono::milliseconds refusal_backoff{2000};

} // namespace

CoreMesh::CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
                   std::shared_ptr<budget::ByteBudget> input_memory, Callbacks callbacks)
    : loop_(loop), self_(std::move(self)), internal_port_(internal_port),
      input_memory_(std::move(input_memory)), callbacks_(std::move(callbacks)) {}

bool CoreMesh::add_peer(const MemberId& member) {
    if (member == self_.id) return false;
    if (links_.contains(member)) return true;
    if (links_.size() >= messages::max_core_members || !settings::parse_endpoint(member)) return false;
    links_[member] = {};
    dial(member);
    return true;
}

void CoreMesh::dial_disconnected_peers() {
    const std::chrono::milliseconds now = steady_now();
    for (const auto& [member, link] : links_)
        if (!link.connection && !link.dialling && now >= link.refused_until) dial(member);
}

void CoreMesh::dial(const MemberId& member) {
    const auto endpoint = settings::parse_endpoint(member);
    links_[member].dialling = true;
    transport::dial(loop_, endpoint.value().host, internal_port_, dial_timeout, input_memory_,
                    [this, member](const transport::FrameConnectionPtr& connection) {
                        links_[member].dialling = false;
                        if (connection) on_connected(member, connection);
                    });
}

void CoreMesh::on_connected(const MemberId& member, const transport::FrameConnectionPtr& connection) {
    Link& link = links_[member];
    link.connection = connection;
    link.greeting = {};
    link.agreement = {};
    link.state_delta_sender = {};
    connection->accept_short_frames_only(); // only replies to the hello come on it
    connection->observe_sent_frames(callbacks_.traffic_counter(member));
    connection->start(
        [this, member](const nlohmann::json& document) {
            on_reply(member, messages::decode_dial_reply(document));
        },
        [this, member] {
            links_[member].connection = nullptr;
            callbacks_.disconnected(member);
        });
    connection->send(messages::encode(messages::CoreHello{self_, callbacks_.greeting()}));
    callbacks_.connected(member);
}

void CoreMesh::on_reply(const MemberId& member, const messages::DialReply& reply) {
    Link& link = links_[member];
    if (const auto* accepted = std::get_if<messages::HelloReply>(&reply)) {
        link.greeting = accepted->greeting;
        if (auto agreement = protocol::negotiate(callbacks_.greeting(), link.greeting))
            link.agreement = std::move(agreement.value());
    }
    const auto* refusal = std::get_if<messages::HelloRefusal>(&reply);
    if (refusal == nullptr) return;
    callbacks_.refused(member);
    if (refusal_log_.is_due(steady_now(), member))
        logging::warning("refused-by-peer").field("peer", member).text("detail", refusal->detail);
    link.refused_until = steady_now() + refusal_backoff;
    if (link.connection) link.connection->close();
}

std::map<MemberId, protocol::Greeting> CoreMesh::greetings() const {
    std::map<MemberId, protocol::Greeting> result;
    for (const auto& [member, link] : links_)
        if (link.connection) result[member] = link.greeting;
    return result;
}

void CoreMesh::drop_incompatible_peers() {
    const protocol::Greeting own = callbacks_.greeting();
    for (const auto& [member, link] : links_)
        if (link.connection && !protocol::negotiate(own, link.greeting)) link.connection->close();
}

CoreMesh::Link* CoreMesh::connected_link(const MemberId& member) {
    const auto found = links_.find(member);
    return found != links_.end() && found->second.connection ? &found->second : nullptr;
}

bool CoreMesh::can_send(const Link& link, const messages::CoreMessage& message) const {
    const auto feature = messages::required_feature(message);
    if (!feature || link.agreement.has(*feature)) return true;
    callbacks_.message_held_back();
    return false;
}

void CoreMesh::send(const MemberId& to, const messages::CoreMessage& message) {
    const Link* link = connected_link(to);
    if (link != nullptr && can_send(*link, message)) link->connection->send(messages::encode(message));
}

void CoreMesh::send(const MemberId& to, const replication::Message& message) {
    Link* link = connected_link(to);
    if (link == nullptr) return;
    const bool supports_deltas = link->agreement.has(protocol::state_delta_feature);
    send_state(*link, link->state_delta_sender.prepare(message, supports_deltas));
}

void CoreMesh::send_state(const Link& link, const messages::CoreMessage& message) const {
    const auto* envelope = std::get_if<messages::ReplicationEnvelope>(&message);
    if (envelope == nullptr || replication::state_in(envelope->message) != nullptr)
        callbacks_.state_sent(envelope == nullptr);
    link.connection->send(messages::encode(message));
}

void CoreMesh::on_state_snapshot_request(const MemberId& from) {
    const Link* link = connected_link(from);
    if (link == nullptr) return;
    if (const auto message = link->state_delta_sender.on_snapshot_request()) send_state(*link, *message);
}

void CoreMesh::broadcast(const messages::CoreMessage& message) {
    transport::Frame frame;
    for (const auto& [member, link] : links_) {
        if (!link.connection || !can_send(link, message)) continue;
        if (!frame) frame = messages::frame_of(message);
        link.connection->send_frame(frame);
    }
}

std::vector<MemberId> CoreMesh::connected() const {
    std::vector<MemberId> result;
    for (const auto& [member, link] : links_)
        if (link.connection) result.push_back(member);
    return result;
}

} // namespace willowrill::control
