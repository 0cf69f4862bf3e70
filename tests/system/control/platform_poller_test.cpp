// Tests the poller against a fake platform over loopback: which calls it makes and which lists it publishes.
#include "system/control/platform_poller.h"

#include "system/http_server/server.h"

#include "support/free_port.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace willowrill;
using namespace willowrill::control;
using nlohmann::json;

namespace {

constexpr std::size_t memory_bytes = 32U << 20U;
const std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};

// Serves instance lists in pages of `page_size` and records the request targets.
class FakePlatform {
  public:
    FakePlatform(asio::io_context& loop, std::uint16_t port)
        : server_(loop, "127.0.0.1", port, {},
                  [this](const http_server::Request& request, const http_server::Respond& respond) {
                      respond(answer(std::string(request.target())));
                  }) {}

    std::map<std::string, std::size_t> workers{{"hall-a", 2}, {"hall-b", 1}, {"hall-c", 0}}; // by zone
    std::size_t page_size = 50;
    bool rejects = false;
    std::size_t padding_bytes = 0; // of each page
    bool endless = false;          // each page names another one
    std::vector<std::string> targets;

  private:
    static std::string value_in(const std::string& target, const std::string& key) {
        const std::size_t at = target.find(key + "=");
        if (at == std::string::npos) return "";
        const std::size_t begin = at + key.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    http_server::Response answer(const std::string& target) {
        targets.push_back(target);
        http_server::Response response;
        if (rejects) {
            response.result(http::status::too_many_requests);
            return response;
        }
        const std::string zone = value_in(target, "zone"), token = value_in(target, "pageToken");
        std::vector<json> matching;
        for (const auto& [name, count] : workers)
            for (std::size_t i = 0; i < count && (zone.empty() || zone == name); ++i)
                matching.push_back({{"instanceId", name + std::to_string(i)},
                                    {"service", "s"},
                                    {"address", "127.0.0.1:9"},
                                    {"zone", name},
                                    {"capacity", 4},
                                    {"state", "in_service"},
                                    {"coldRemainingMs", 0}});
        const std::size_t from = token.empty() ? 0 : std::stoul(token);
        const std::size_t to = std::min(matching.size(), from + page_size);
        json page{{"instances", json::array()}, {"nextToken", nullptr}};
        for (std::size_t i = from; i < to; ++i)
            page["instances"].push_back(matching[i]);
        if (padding_bytes > 0) page["padding"] = std::string(padding_bytes, 'p');
        if (endless) page["nextToken"] = "0";
        if (to < matching.size()) page["nextToken"] = std::to_string(to);
        response.body() = page.dump();
        return response;
    }

    http_server::Server server_;
};

struct PollerFixture {
    PollerFixture()
        : port(free_port(loop)), platform(loop, port),
          poller(loop, {"127.0.0.1", port}, zones.size(), std::make_shared<budget::ByteBudget>(memory_bytes),
                 metrics, [this](const discovery::ZoneList& list) { lists.push_back(list); }) {}
    void own(const std::vector<std::string>& owned, std::uint64_t number = 1) {
        for (const std::string& zone : owned)
            poller.start_polling(zone, {7, number});
    }
    // Starts the polls that are due at this time and waits until at least `calls` requests have been made and
    // the event loop is idle.
    void poll(std::chrono::seconds at, std::size_t calls) {
        platform.targets.clear();
        poller.tick(PlatformPoller::Clock::time_point(at));
        while (platform.targets.size() < calls)
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U, "%zu calls", platform.targets.size());
        while (loop.run_one_for(std::chrono::milliseconds(20)) > 0) {
        }
    }

    asio::io_context loop;
    metrics::Metrics metrics;
    std::uint16_t port;
    FakePlatform platform;
    std::vector<discovery::ZoneList> lists;
    PlatformPoller poller;
};

// A time at which every poll is due.
constexpr std::chrono::seconds due_time{1000000000};

} // namespace

Test(platform_poller, an_owner_of_every_zone_reads_them_in_one_call) {
    PollerFixture fixture;
    fixture.own(zones);
    fixture.poll(due_time, 1);
    cr_assert_eq(fixture.platform.targets.size(), 1U);
    cr_assert(fixture.platform.targets[0] == "/instances");
    cr_assert_eq(fixture.lists.size(), 3U);
    cr_assert_eq(fixture.lists[0].instances.size(), 2U);
    cr_assert_eq(fixture.lists[1].instances.size(), 1U);
    cr_assert(fixture.lists[2].zone == "hall-c" && fixture.lists[2].instances.empty(),
              "an empty list is published");
}

Test(platform_poller, an_owner_of_some_zones_reads_each_separately) {
    PollerFixture fixture;
    fixture.own({"hall-a", "hall-b"});
    fixture.poll(due_time, 2);
    cr_assert_eq(fixture.platform.targets.size(), 2U);
    cr_assert_eq(fixture.lists.size(), 2U);
    for (const discovery::ZoneList& list : fixture.lists)
        for (const discovery::Instance& instance : list.instances)
            cr_assert(instance.zone == list.zone);
}

Test(platform_poller, lists_that_take_as_many_pages_together_are_read_separately) {
    PollerFixture fixture;
    fixture.platform.page_size = 4;
    fixture.platform.workers = {{"hall-a", 4}, {"hall-b", 4}, {"hall-c", 4}};
    fixture.own(zones);
    fixture.poll(due_time, 3);
    cr_assert_eq(fixture.lists.size(), 3U);
    fixture.poll(2 * due_time, 3);
    for (const std::string& target : fixture.platform.targets)
        cr_assert(target.find("zone=") != std::string::npos, "%s", target.c_str());
    cr_assert_eq(fixture.lists.size(), 6U);
}

Test(platform_poller, a_zone_assigned_to_another_member_is_not_published) {
    PollerFixture fixture;
    fixture.own(zones);
    fixture.poller.stop_polling("hall-b", {7, 1});
    fixture.poll(due_time, 1);
    cr_assert_eq(fixture.lists.size(), 3U, "a token that is not newer does not stop polling");
    fixture.poller.stop_polling("hall-b", {7, 2});
    fixture.lists.clear();
    fixture.poll(2 * due_time, 2);
    cr_assert_eq(fixture.lists.size(), 2U);
    for (const discovery::ZoneList& list : fixture.lists)
        cr_assert(list.zone != "hall-b");
}

Test(platform_poller, a_rejection_publishes_nothing_and_serials_increase_within_a_token) {
    PollerFixture fixture;
    fixture.own(zones);
    fixture.platform.rejects = true;
    fixture.poll(due_time, 1);
    cr_assert(fixture.lists.empty());
    fixture.platform.rejects = false;
    fixture.poll(2 * due_time, 1);
    fixture.poll(3 * due_time, 1);
    cr_assert_eq(fixture.lists.size(), 6U);
    cr_assert_gt(fixture.lists[3].serial, fixture.lists[0].serial);
    fixture.own(zones, 5);
    fixture.poll(4 * due_time, 1);
    cr_assert(fixture.lists[6].token == (discovery::FencingToken{7, 5}));
}

// Guards against rule FAULT: up to 200 pages of 8 MiB were kept.
Test(platform_poller, a_list_whose_pages_do_not_end_is_given_up) {
    PollerFixture fixture;
    fixture.platform.endless = true;
    fixture.platform.padding_bytes = 1U << 20U;
    fixture.own(zones);
    fixture.poller.tick(PlatformPoller::Clock::time_point(due_time));
    while (fixture.loop.run_one_for(std::chrono::milliseconds(500)) > 0) {
    }
    cr_assert_geq(fixture.platform.targets.size(), 2U);
    cr_assert_leq(fixture.platform.targets.size(), 17U);
    cr_assert(fixture.lists.empty());
}
