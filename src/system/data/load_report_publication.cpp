#include "system/data/load_report_publication.h"

#include "system/logging/log.h"

#include <memory>
#include <variant>

namespace willowrill::data {

using load_reports::ReportScope;
using load_reports::SubscribeRequest;

namespace {

constexpr std::size_t max_unidentified = 256;

} // namespace

LoadReportPublication::LoadReportPublication(Context& context, const ProbeAssignment& assignment,
                                             const std::string& host, std::uint16_t port)
    : context_(context), assignment_(assignment),
      listener_(context.loop, host, port, context.input_memory.peers,
                [this](const transport::FrameConnectionPtr& connection) { accept(connection); }) {}

void LoadReportPublication::publish(ReportScope scope) {
    std::map<Group, transport::Frame> frames;
    for (const auto& [connection, group] : subscribers_) {
        if (group.scope != scope) continue;
        transport::Frame& frame = frames[group];
        if (!frame) frame = next_frame(group);
        connection->send_frame(frame);
    }
    std::erase_if(publishers_, [&](const auto& item) {
        return item.first.scope == scope && !frames.contains(item.first);
    });
}

transport::Frame LoadReportPublication::next_frame(const Group& group) {
    std::map<std::string, const routing::Worker*> workers;
    for (const auto& [id, worker] : context_.workers) {
        if (worker.instance.service != group.service) continue;
        if (group.scope == ReportScope::all_zones || assignment_.contains(worker)) workers[id] = &worker;
    }
    const routing::Time now = steady_now();
    return transport::frame_of(encode(publishers_[group].delta(now, group.service, workers), now));
}

void LoadReportPublication::accept(const transport::FrameConnectionPtr& connection) {
    if (subscribers_.size() >= membership::max_leases || unidentified_.size() >= max_unidentified)
        return connection->close();
    unidentified_.insert(connection);
    connection->accept_short_frames_only();
    connection->start(
        [this, weak = std::weak_ptr(connection)](const nlohmann::json& message) {
            if (const auto self = weak.lock()) on_message(self, message);
        },
        [this, weak = std::weak_ptr(connection)] {
            if (const auto self = weak.lock()) {
                unidentified_.erase(self);
                subscribers_.erase(self);
            }
        });
}

void LoadReportPublication::on_message(const transport::FrameConnectionPtr& connection,
                                       const nlohmann::json& message) {
    const auto decoded = load_reports::decode_subscriber_message(
        message, protocol::own_greeting(protocol::initial_cluster_version));
    if (const auto* unsupported = std::get_if<load_reports::UnsupportedVersion>(&decoded)) {
        logging::warning("subscriber-refused").text("detail", unsupported->detail);
        context_.metrics.add(metrics::Total::refused_sessions, "subscriber", "self");
        connection->send(encode(load_reports::SubscribeRefusal{unsupported->detail}));
        return connection->close_when_sent();
    }
    const auto* request = std::get_if<SubscribeRequest>(&decoded);
    if (request == nullptr) return;
    unidentified_.erase(connection);
    subscribe(connection, *request);
}

void LoadReportPublication::subscribe(const transport::FrameConnectionPtr& connection,
                                      const SubscribeRequest& request) {
    const Group group{request.service, request.scope};
    subscribers_[connection] = group;
    count_sent_bytes(connection, request);
    connection->send(encode(publishers_[group].snapshot(group.service), steady_now()));
}

void LoadReportPublication::count_sent_bytes(const transport::FrameConnectionPtr& connection,
                                             const SubscribeRequest& request) {
    const char* crossing = metrics::name_of(
        metrics::crossing(context_.settings.zone, context_.settings.region, request.zone, request.region));
    connection->observe_sent_frames([this, crossing](std::size_t bytes) {
        context_.metrics.add(metrics::Total::internal_bytes, "readings", crossing,
                             static_cast<double>(bytes));
        context_.metrics.add(metrics::Total::internal_messages, "readings", crossing);
    });
}

} // namespace willowrill::data
