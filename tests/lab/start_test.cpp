// A scheduler that starts with the list of its former life: real process, discovery and workers of the test.
#include "lab/folder.h"
#include "lab/process.h"
#include "lab/server.h"
#include "support/sockets.h"

#include <doctest/doctest.h>

#include <fstream>
#include <optional>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;
using testing::run_until;

std::string list_of(int version, const net::Endpoint& worker, const char* state) {
    return "{\"version\":" + std::to_string(version) + R"(,"full":true,"servers":[{"id":"w","addr":")" +
           worker.text() + R"(","zone":"z0","kind":"small","cell":0,"state":")" + state + R"("}]})";
}

// The platform's configuration of a scheduler that has the fleet for itself.
std::string scheduler_config(const net::Endpoint& discovery) {
    return R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery.text() +
           R"(","seed":"10000","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{
  "balancers":1,"slot_no":0,"tick_ns":5000000,"zone":"z0","zones":["z0"],"kinds":["small"],"tenants":[],
  "discovery":"ask",
  "classes":[{"name":"job","effect":"read_like","aim_ns":2000000000,"hard_limit_ns":10000000000,"worth":1}],
  "family_info":{"class_kind":[-1],"class_stretch":[0],"tells_start":false,"progress_ns":0},
  "reporting":{"fields":["load_share","x0"],"via":"pull"},
  "limits":{"cancel":true,"probes":true,"second_copies":false,"retry_after":true,"max_attempts":4,
   "max_open":20000,"max_retry_after_ns":2000000000,"conn_idle_ns":5000000000,"connect_timeout_ns":250000000},
  "prices":{},
  "safety":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"stop_sending_within_ns":1000000000,
   "cold_ns":9000000000,"start_capacity":0.4,"fall_multiple":2.5,"fall_ns":1000000000}}})";
}

// The program, with a remembered list of one worker, and a discovery that answers when the test wants it.
struct Started {
    explicit Started(const net::Endpoint& asked) {
        std::string config = scheduler_config(asked);
        config.insert(config.find("\"settings\""), "\"known\":" + list_of(1, worker.address(), "up") + ",");
        std::ofstream(folder.path + "/config") << config;
        process.emplace(loop, std::vector<std::string>{WILLOWRILLD},
                        std::vector<std::pair<std::string, std::string>>{
                            {"PROXY_CONFIG", folder.path + "/config"}, {"TMPDIR", ""}});
        REQUIRE(run_until(loop, [&] { return process->address_after("serves on ").has_value(); }));
        client = testing::connect_peer(loop, *process->address_after("serves on "));
        client->connection.write(
            "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
            "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Priority-Class: job\r\n"
            "X-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi");
    }
    bool answered_ready() const { return client->has_received("ready\n"); }
    Started() : Started(*net::Endpoint::parse("127.0.0.1:1")) {}

    const Folder folder;
    net::Loop loop;
    std::size_t jobs = 0; // that have reached the worker; probes are none
    Server worker{loop, {[this](Server::Call, const net::http::Head& head, const std::string&) {
                      jobs += head.method == "POST" ? 1 : 0;
                  }}};
    std::optional<Process> process;
    std::unique_ptr<testing::Peer> client;
};

} // namespace

// It served on its remembered list until it had asked: to workers that had gone while it was away.
TEST_CASE("a start sends nothing on a remembered list before discovery has said what is newer") {
    net::Loop discovery_loop;
    std::optional<Server::Call> asked;
    std::string target;
    Server discovery(discovery_loop,
                     {[&](Server::Call call, const net::http::Head& head, const std::string&) {
                         asked = call;
                         target = head.target;
                     }});
    Started at(discovery.address());
    REQUIRE(run_until(discovery_loop, [&] { return asked.has_value(); }));
    CHECK(target.find("from=1&hold_ms=1") != std::string::npos); // what is newer, and no wait
    // Room for what it must not do: without the rule, the answer and the job come within a few rounds.
    for (int round = 0; round < 300; ++round)
        at.loop.run_once(1ms);
    CHECK(at.client->has_received("not ready"));
    CHECK(at.jobs == 0);
    at.client->received.clear();
    discovery.answer(*asked, net::http::write_response(200, {}, list_of(2, at.worker.address(), "draining")));
    run_until(discovery_loop,
              [&] { return at.client->has_received("HTTP/1.1 503 ") || (at.loop.run_once(1ms), false); });
    CHECK(at.client->has_received("HTTP/1.1 503 ")); // its job, of which nothing has been sent
    CHECK(at.jobs == 0);
}

TEST_CASE("a start whose discovery cannot be reached serves on what it remembers") {
    Started at;
    CHECK(run_until(at.loop, [&] { return at.jobs == 1; }));
    CHECK(run_until(at.loop, [&] { return at.answered_ready(); }));
}

} // namespace willowrill::lab
