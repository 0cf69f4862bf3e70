#include "system/control/connection_acceptor.h"

#include "system/messages/codec.h"

namespace willowrill::control {
namespace {

using distribution::SessionId;
using replication::MemberId;

constexpr std::size_t max_unidentified = 256;

} // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& loop, const std::string& address, std::uint16_t port,
                                       Handler& handler)
    : handler_(handler),
      listener_(loop, address, port,
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }) {}

void ConnectionAcceptor::accept(const transport::FrameConnectionPtr& connection) {
    if (unidentified_.size() >= max_unidentified) return connection->close();
    unidentified_.insert(connection);
    const auto identity = std::make_shared<Identity>();
    const auto on_document = [this, weak = std::weak_ptr(connection),
                              identity](const nlohmann::json& document) {
        if (const auto self = weak.lock()) on_message(self, *identity, document);
    };
    connection->start(on_document, [this, weak = std::weak_ptr(connection), identity] {
        if (const auto self = weak.lock()) unidentified_.erase(self);
        if (const auto* session = std::get_if<SessionId>(identity.get()))
            handler_.on_scheduler_closed(*session);
    });
}

void ConnectionAcceptor::on_message(const transport::FrameConnectionPtr& connection, Identity& identity,
                                    const nlohmann::json& document) {
    if (const auto* session = std::get_if<SessionId>(&identity))
        return handler_.on_scheduler_message(*session, messages::decode_scheduler_message(document));
    if (const auto* member = std::get_if<MemberId>(&identity))
        return handler_.on_core_message(*member, messages::decode_core_message(document));
    on_hello(connection, identity, document);
}

void ConnectionAcceptor::on_hello(const transport::FrameConnectionPtr& connection, Identity& identity,
                                  const nlohmann::json& document) {
    unidentified_.erase(connection);
    const auto hello = messages::decode_hello(document);
    if (!hello) return connection->close();
    if (const auto* core = std::get_if<messages::CoreHello>(&*hello)) {
        if (!handler_.on_core_member(core->member)) return connection->close();
        identity = core->member.id;
        return;
    }
    identity = handler_.on_scheduler(connection);
}

} // namespace willowrill::control
