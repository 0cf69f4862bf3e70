// A feed of load reports from one home scheduler at a time: connects to it, asks for the reports and applies
// its updates to the workers known here. A home that cannot be reached or falls silent is backed off, so that
// the next one in the order is tried. One thread, that of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/scheduler_backoff.h"
#include "system/load_reports/load_report_messages.h"
#include "system/load_reports/load_report_subscriber.h"
#include "system/membership/lease_table.h"
#include "system/transport/frame_connection.h"

#include <chrono>
#include <memory>
#include <string>

namespace willowrill::data {

class Subscription : public std::enable_shared_from_this<Subscription> {
  public:
    // `request`: sent on each new connection. `context` and `backoff` must outlive the subscription.
    Subscription(Context& context, SchedulerBackoff& backoff, load_reports::SubscribeRequest request)
        : context_(context), backoff_(backoff), request_(std::move(request)) {}

    // Subscribes to `home` unless a connection to it is up and not silent; to be called periodically.
    void subscribe_to(const membership::Lease& home);
    // Ends the connection, also one that is still coming up.
    void close();

  private:
    using Clock = std::chrono::steady_clock;

    void drop_silent_or_other(const std::string& home);
    // `connection`: null where it did not come up.
    void on_connected(const std::string& node, const transport::FrameConnectionPtr& connection);
    void start(const transport::FrameConnectionPtr& connection);
    void on_message(const nlohmann::json& message);
    void on_refused(const load_reports::SubscribeRefusal& refusal);

    Context& context_;
    SchedulerBackoff& backoff_;
    load_reports::SubscribeRequest request_;
    std::string node_; // name of the home scheduler connected to or dialled
    transport::FrameConnectionPtr connection_;
    bool dialling_ = false;
    bool closed_ = false;
    Clock::time_point last_message_at_;
    load_reports::LoadReportSubscriber subscriber_; // of what came on the connection
};

} // namespace willowrill::data
