// How load readings come to this scheduler. Where it is home to a service in its zone, it probes the
// service's workers there and hands the readings to its subscribers: schedulers of the zone, and the homes of
// the other zones. Where it is not, it subscribes to the home, and goes round one that falls silent. One
// thread.
#pragma once

#include "system/data/context.h"
#include "system/distribution/home_schedulers.h"
#include "system/http/client.h"
#include "system/load_reports/load_report_delta.h"
#include "system/transport/frame_connection.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace willowrill::data {

class LoadReportExchange {
  public:
    LoadReportExchange(Context& context, const std::string& host, std::uint16_t port);

    void on_members(const std::vector<membership::Lease>& members) { members_ = members; }
    // Whether a first reading of every service has come.
    bool has_readings() const;
    std::size_t probes() const { return probes_; }

  private:
    using Clock = std::chrono::steady_clock;

    // Who gets what: `own` are readings made here, `all` those of every zone.
    enum class Scope { own, all };
    using Group = std::pair<std::string, Scope>; // by service
    // One that this scheduler subscribes to.
    struct Source {
        std::string node;
        transport::FrameConnectionPtr connection;
        bool dialling = false;
        Clock::time_point heard;
        load_reports::LoadReportSubscriber listener; // of what came on the connection
    };
    struct Prober {
        std::shared_ptr<http_client::Client> client;
        std::string address;
        routing::Time due{0};
        int failures = 0;
    };

    void tick();
    void arrange(const std::string& service);
    void follow(const std::string& key, const membership::Lease& home, const std::string& service,
                Scope scope);
    void probe_due();
    void on_report(const std::string& id, const http_client::Response* response);
    void publish(Scope scope);
    nlohmann::json next_message(const Group& group);
    void subscribe(const transport::FrameConnectionPtr& connection, const nlohmann::json& message);
    void accept(const transport::FrameConnectionPtr& connection);
    void on_readings(Source& source, const nlohmann::json& message);
    bool probes_here(const routing::Worker& worker) const;
    std::set<std::string> avoided();

    Context& context_;
    SteadyTimer timer_;
    transport::FrameListener listener_;
    std::vector<membership::Lease> members_;
    std::map<transport::FrameConnectionPtr, Group> subscribers_;
    std::map<Group, load_reports::LoadReportPublisher> tellers_; // of groups that have subscribers
    std::map<std::string, Source> sources_;           // by "service", or "service@zone" between homes
    std::set<std::string> home_of_;                   // services this scheduler is home to
    std::map<std::string, Clock::time_point> silent_; // schedulers that were silent, and when
    std::map<std::string, Prober> probers_;           // by instance id
    std::size_t probes_ = 0;
    std::uint64_t ticks_ = 0;
};

} // namespace willowrill::data
