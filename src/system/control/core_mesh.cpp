#include "system/control/core_mesh.h"

#include "system/messages/codec.h"
#include "system/settings/settings.h"
#include "system/transport/dial.h"

#include <utility>

namespace willowrill::control {
namespace {

// Short, as a dial into a cut hangs long after the cut has healed.
constexpr std::chrono::milliseconds dial_timeout{250};

} // namespace

CoreMesh::CoreMesh(asio::io_context& loop, messages::CoreMember self, std::uint16_t internal_port,
                   Callbacks callbacks)
    : loop_(loop), self_(std::move(self)), internal_port_(internal_port), callbacks_(std::move(callbacks)) {}

bool CoreMesh::add_peer(const MemberId& member) {
    if (member == self_.id) return false;
    if (links_.contains(member)) return true;
    if (links_.size() >= messages::max_core_members || !settings::parse_endpoint(member)) return false;
    links_[member] = {};
    dial(member);
    return true;
}

void CoreMesh::maintain() {
    for (const auto& [member, link] : links_)
        if (!link.connection && !link.dialling) dial(member);
}

void CoreMesh::dial(const MemberId& member) {
    const auto endpoint = settings::parse_endpoint(member);
    links_[member].dialling = true;
    transport::dial(loop_, endpoint.value().host, internal_port_, dial_timeout,
                    [this, member](const transport::FrameConnectionPtr& connection) {
                        Link& link = links_[member];
                        link.dialling = false;
                        if (!connection) return;
                        link.connection = connection;
                        connection->observe_sent_frames(callbacks_.counter(member));
                        connection->start([](const nlohmann::json&) {},
                                          [this, member] {
                                              links_[member].connection = nullptr;
                                              callbacks_.lost(member);
                                          });
                        connection->send(messages::encode(messages::CoreHello{self_}));
                        callbacks_.connected(member);
                    });
}

void CoreMesh::send(const MemberId& to, const messages::CoreMessage& message) {
    const auto link = links_.find(to);
    if (link != links_.end() && link->second.connection)
        link->second.connection->send(messages::encode(message));
}

void CoreMesh::broadcast(const messages::CoreMessage& message) {
    transport::Frame frame;
    for (const auto& [member, link] : links_) {
        if (!link.connection) continue;
        if (!frame) frame = messages::frame_of(message);
        link.connection->send_frame(frame);
    }
}

std::vector<MemberId> CoreMesh::connected() const {
    std::vector<MemberId> out;
    for (const auto& [member, link] : links_)
        if (link.connection) out.push_back(member);
    return out;
}

} // namespace willowrill::control
