// A subscription to load reports and their publication, against each other on loopback.
#include "system/data/subscription.h"

#include "data/load_report_scene.h"
#include "system/data/load_report_publication.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::data;
using load_reports::ReportScope;

namespace {

struct Feed {
    Feed() : home(loop, "home"), own(loop, "own"), port(free_port(loop)) {
        home.assignment.set_members({scheduler_lease("home", "hall-a", "north", port)});
        home.assignment.add_home_service(service_name);
        publication.emplace(home.context, home.assignment, "127.0.0.1", port);
    }
    static std::uint16_t free_port(asio::io_context& loop) {
        const Tcp::acceptor free(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return free.local_endpoint().port();
    }
    std::shared_ptr<Subscription> subscription(
        ReportScope scope,
        const protocol::Greeting& greeting = protocol::own_greeting(protocol::initial_cluster_version)) {
        const load_reports::SubscribeRequest request{greeting, service_name, scope, "hall-a", "north"};
        return std::make_shared<Subscription>(own.context, backoff, request);
    }
    // Runs the loop, and publishes, until the condition holds; false where that does not come.
    template <class Condition> bool publish_until(ReportScope scope, Condition condition) {
        for (int round = 0; round < 10'000; ++round) {
            if (condition()) return true;
            loop.run_one_for(std::chrono::milliseconds(1));
            publication->publish(scope);
        }
        return false;
    }

    asio::io_context loop;
    LoadReportScene home, own;
    std::uint16_t port;
    SchedulerBackoff backoff;
    std::optional<LoadReportPublication> publication;
};

routing::LoadReport report(std::size_t active) {
    routing::LoadReport out;
    out.as_of = steady_now();
    out.active = active;
    return out;
}

} // namespace

Test(subscription, reports_of_all_zones_reach_a_subscriber_of_the_zone) {
    Feed feed;
    feed.home.add_worker("i1", "hall-a", "127.0.0.1:1").apply_report(report(3));
    feed.home.add_worker("i2", "hall-c", "127.0.0.1:1").apply_report(report(5));
    const routing::Worker& first = feed.own.add_worker("i1", "hall-a", "127.0.0.1:1");
    const routing::Worker& second = feed.own.add_worker("i2", "hall-c", "127.0.0.1:1");
    const auto subscription = feed.subscription(ReportScope::all_zones);
    subscription->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    cr_assert(
        feed.publish_until(ReportScope::all_zones, [&] { return first.load_report && second.load_report; }));
    cr_assert_eq(first.load_report->active, 3U);
    cr_assert_eq(second.load_report->active, 5U);
    cr_assert(feed.backoff.backed_off(SchedulerBackoff::Clock::now()).empty());
}

Test(subscription, a_home_of_another_zone_hears_only_of_workers_probed_there) {
    Feed feed;
    feed.home.assignment.set_members({scheduler_lease("home", "hall-a", "north", feed.port),
                                      scheduler_lease("other", "hall-c", "south", 1)});
    feed.home.add_worker("i1", "hall-a", "127.0.0.1:1").apply_report(report(3));
    feed.home.add_worker("i2", "hall-c", "127.0.0.1:1").apply_report(report(5));
    const routing::Worker& first = feed.own.add_worker("i1", "hall-a", "127.0.0.1:1");
    const routing::Worker& second = feed.own.add_worker("i2", "hall-c", "127.0.0.1:1");
    const auto subscription = feed.subscription(ReportScope::probed_here);
    subscription->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    cr_assert(feed.publish_until(ReportScope::probed_here, [&] { return first.load_report.has_value(); }));
    cr_assert_not(second.load_report.has_value());
}

Test(subscription, a_home_that_cannot_be_reached_is_backed_off) {
    Feed feed;
    const auto subscription = feed.subscription(ReportScope::all_zones);
    subscription->subscribe_to(scheduler_lease("gone", "hall-a", "north", 1));
    cr_assert(feed.publish_until(ReportScope::all_zones, [&] {
        return feed.backoff.backed_off(SchedulerBackoff::Clock::now()).contains("gone");
    }));
}

Test(subscription, nothing_arrives_after_it_was_closed) {
    Feed feed;
    feed.home.add_worker("i1", "hall-a", "127.0.0.1:1").apply_report(report(3));
    const routing::Worker& closed = feed.own.add_worker("i1", "hall-a", "127.0.0.1:1");
    const auto first = feed.subscription(ReportScope::all_zones);
    first->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    first->close(); // while it connects
    LoadReportScene other(feed.loop, "other");
    const routing::Worker& open = other.add_worker("i1", "hall-a", "127.0.0.1:1");
    const load_reports::SubscribeRequest request{protocol::own_greeting(protocol::initial_cluster_version),
                                                 service_name, ReportScope::all_zones, "hall-a", "north"};
    const auto second = std::make_shared<Subscription>(other.context, feed.backoff, request);
    second->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    cr_assert(feed.publish_until(ReportScope::all_zones, [&] { return open.load_report.has_value(); }));
    cr_assert_not(closed.load_report.has_value());
}

Test(subscription, a_subscriber_that_speaks_other_versions_is_told_so_and_backs_off) {
    Feed feed;
    feed.home.add_worker("i1", "hall-a", "127.0.0.1:1").apply_report(report(3));
    const routing::Worker& worker = feed.own.add_worker("i1", "hall-a", "127.0.0.1:1");
    const auto subscription = feed.subscription(ReportScope::all_zones, {{97, 99}, {}});
    subscription->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    cr_assert(feed.publish_until(ReportScope::all_zones, [&] {
        return feed.backoff.backed_off(SchedulerBackoff::Clock::now()).contains("home");
    }));
    cr_assert_not(worker.load_report.has_value());
    const auto figures = [](const LoadReportScene& scene) { return scene.context.metrics.text(); };
    cr_assert(figures(feed.home).find(R"(refused_sessions_total{by="self",peer="subscriber"} 1)") !=
              std::string::npos);
    cr_assert(figures(feed.own).find(R"(refused_sessions_total{by="peer",peer="publisher"} 1)") !=
              std::string::npos);
}

Test(subscription, a_subscriber_that_names_one_version_alone_is_served) {
    Feed feed;
    feed.home.add_worker("i1", "hall-a", "127.0.0.1:1").apply_report(report(3));
    const routing::Worker& worker = feed.own.add_worker("i1", "hall-a", "127.0.0.1:1");
    const auto subscription = feed.subscription(ReportScope::all_zones, {});
    subscription->subscribe_to(scheduler_lease("home", "hall-a", "north", feed.port));
    cr_assert(feed.publish_until(ReportScope::all_zones, [&] { return worker.load_report.has_value(); }));
}
