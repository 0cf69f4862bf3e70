// Publishes the load reports known here to the schedulers that subscribe: accepts their connections, reads
// what they ask for and sends them updates. All subscribers of one service and scope know the same. One
// thread, that of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/probe_assignment.h"
#include "system/load_reports/load_report_codec.h"
#include "system/load_reports/load_report_publisher.h"
#include "system/transport/frame_connection.h"
#include "system/transport/frame_listener.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace willowrill::data {

class LoadReportPublication {
  public:
    // Listens at `host` and `port`; throws boost::system::system_error where that cannot be had. `context`
    // and `assignment` must outlive this.
    LoadReportPublication(Context& context, const ProbeAssignment& assignment, const std::string& host,
                          std::uint16_t port);

    // Sends every subscriber with that scope what changed since the last time.
    void publish(load_reports::ReportScope scope);

  private:
    struct Group { // of subscribers
        std::string service;
        load_reports::ReportScope scope;
        auto operator<=>(const Group&) const = default;
    };

    void accept(const transport::FrameConnectionPtr& connection);
    void on_message(const transport::FrameConnectionPtr& connection, const nlohmann::json& message);
    // Sends the new subscriber a snapshot of what its group knows; from then on it gets the group's deltas.
    void subscribe(const transport::FrameConnectionPtr& connection,
                   const load_reports::SubscribeRequest& request);
    void count_sent_bytes(const transport::FrameConnectionPtr& connection,
                          const load_reports::SubscribeRequest& request);
    transport::Frame next_frame(const Group& group);

    Context& context_;
    const ProbeAssignment& assignment_;
    std::set<transport::FrameConnectionPtr> unidentified_; // that have not said what they want
    std::map<transport::FrameConnectionPtr, Group> subscribers_;
    std::map<Group, load_reports::LoadReportPublisher> publishers_; // of groups that have subscribers
    transport::FrameListener listener_;
};

} // namespace willowrill::data
