#include "system/control/connection_acceptor.h"

#include "system/logging/log.h"
#include "system/messages/codec.h"
#include "system/messages/unknown_fields.h"
#include "system/transport/process.h"

#include <utility>

namespace willowrill::control {
namespace {

using distribution::SessionId;
using replication::MemberId;

constexpr std::size_t max_unidentified = 256;

} // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& loop, const std::string& address, std::uint16_t port,
                                       std::shared_ptr<budget::ByteBudget> input_memory, Handler& handler)
    : handler_(handler),
      listener_(loop, address, port, std::move(input_memory),
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }) {}

void ConnectionAcceptor::accept(const transport::FrameConnectionPtr& connection) {
    if (unidentified_.size() >= max_unidentified) return connection->close();
    unidentified_.insert(connection);
    connection->accept_short_frames_only();
    const auto peer = std::make_shared<Peer>();
    const auto on_document = [this, weak = std::weak_ptr(connection), peer](const nlohmann::json& document) {
        const auto self = weak.lock();
        if (!self) return;
        on_message(self, *peer, document);
        if (!std::holds_alternative<std::monostate>(peer->identity)) identified_.try_emplace(self, peer);
    };
    connection->start(on_document, [this, weak = std::weak_ptr(connection), peer] {
        if (const auto self = weak.lock()) {
            unidentified_.erase(self);
            identified_.erase(self);
        }
        if (const auto* session = std::get_if<SessionId>(&peer->identity))
            handler_.on_scheduler_closed(*session);
    });
}

void ConnectionAcceptor::on_message(const transport::FrameConnectionPtr& connection, Peer& peer,
                                    const nlohmann::json& document) {
    if (const auto* session = std::get_if<SessionId>(&peer.identity)) {
        count_unknown_fields(PeerKind::scheduler, document);
        const auto message = messages::decode_scheduler_message(document);
        if (const auto* unknown = std::get_if<messages::UnknownMessage>(&message))
            return handle_unknown_message(connection, peer, PeerKind::scheduler, *unknown);
        return handler_.on_scheduler_message(*session, message);
    }
    if (const auto* member = std::get_if<MemberId>(&peer.identity)) {
        count_unknown_fields(PeerKind::core_member, document);
        return on_core_message(connection, peer, *member, messages::decode_core_message(document));
    }
    on_hello(connection, peer, document);
}

void ConnectionAcceptor::count_unknown_fields(PeerKind kind, const nlohmann::json& document) {
    if (const std::size_t count = messages::count_unknown_fields(document); count > 0)
        handler_.on_unknown_fields(kind, count);
}

void ConnectionAcceptor::on_core_message(const transport::FrameConnectionPtr& connection, Peer& peer,
                                         const MemberId& from, const messages::CoreMessage& message) {
    if (const auto* unknown = std::get_if<messages::UnknownMessage>(&message))
        return handle_unknown_message(connection, peer, PeerKind::core_member, *unknown);
    if (const auto* delta = std::get_if<messages::ReplicationDelta>(&message))
        return on_replication_delta(peer, from, *delta);
    if (const auto* envelope = std::get_if<messages::ReplicationEnvelope>(&message))
        peer.state_delta_receiver.on_message(envelope->message);
    handler_.on_core_message(from, message);
}

void ConnectionAcceptor::on_replication_delta(Peer& peer, const MemberId& from,
                                              const messages::ReplicationDelta& delta) {
    if (const auto complete_message = peer.state_delta_receiver.apply(delta))
        return handler_.on_core_message(from, messages::ReplicationEnvelope{*complete_message});
    logging::warning("state-base-missing").field("peer", peer.name).field("epoch", delta.base.epoch);
    handler_.on_missing_state_base(from);
}

void ConnectionAcceptor::handle_unknown_message(const transport::FrameConnectionPtr& connection,
                                                const Peer& peer, PeerKind kind,
                                                const messages::UnknownMessage& message) {
    handler_.on_unknown_message(kind);
    if (message.optional || !peer.agreement.refuses_unknown_messages()) return;
    logging::error("peer-message-unknown").field("peer", peer.name).field("message", message.type);
    connection->close();
}

void ConnectionAcceptor::refuse(const transport::FrameConnectionPtr& connection, const Peer& peer,
                                PeerKind kind, const errors::Error& error) {
    handler_.on_refused(kind);
    if (refusal_log_.is_due(steady_now(), peer.name))
        logging::warning("peer-refused").field("peer", peer.name).text("detail", error.detail);
    connection->send(messages::encode(messages::HelloRefusal{handler_.greeting().versions, error.detail}));
    connection->close_when_sent();
}

void ConnectionAcceptor::on_hello(const transport::FrameConnectionPtr& connection, Peer& peer,
                                  const nlohmann::json& document) {
    unidentified_.erase(connection);
    const auto hello = messages::decode_hello(document);
    if (!hello) return connection->close();
    const auto* core = std::get_if<messages::CoreHello>(&*hello);
    const PeerKind kind = core != nullptr ? PeerKind::core_member : PeerKind::scheduler;
    peer.name = core != nullptr ? core->member.id : "scheduler";
    count_unknown_fields(kind, document);
    peer.greeting = std::visit([](const auto& one) { return one.greeting; }, *hello);
    auto agreement = protocol::negotiate(handler_.greeting(), peer.greeting);
    if (!agreement) return refuse(connection, peer, kind, agreement.error());
    peer.agreement = std::move(agreement.value());
    if (core != nullptr && !handler_.on_core_member(core->member)) return connection->close();
    // Programs that announce a single version do not read on the connections they dial, so they get no reply.
    if (peer.agreement.version >= protocol::negotiated_version)
        connection->send(messages::encode(messages::HelloReply{handler_.greeting()}));
    if (core == nullptr) {
        peer.identity = handler_.on_scheduler(connection);
        return;
    }
    peer.identity = core->member.id;
    connection->accept_long_frames(); // replicated states
}

void ConnectionAcceptor::refuse_incompatible_peers() {
    const protocol::Greeting own = handler_.greeting();
    for (const auto& [connection, peer] : identified_) {
        const auto agreement = protocol::negotiate(own, peer->greeting);
        const bool is_core_member = std::holds_alternative<MemberId>(peer->identity);
        if (!agreement)
            refuse(connection, *peer, is_core_member ? PeerKind::core_member : PeerKind::scheduler,
                   agreement.error());
    }
}

} // namespace willowrill::control
