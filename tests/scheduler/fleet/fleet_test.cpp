// Real scheduler processes on loopback, connected by a proxy that drops a fifth of the datagrams. The
// timeouts of the waits only end a test that has failed.
#include "lab/fleet.h"
#include "lab/folder.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;

struct Cluster {
    explicit Cluster(std::size_t size, bool with_state = false, const std::string& log_level = "info")
        : fleet(loop, {.program = WILLOWRILLD,
                       .folder = folder.path,
                       .with_state = with_state,
                       .log_level = log_level}) {
        fleet.proxy().loss = 0.2;
        fleet.proxy().duplicate = 0.05;
        fleet.proxy().delay_most = 30ms;
        for (std::size_t i = 0; i < size; ++i)
            fleet.start(i);
        for (std::size_t i = 0; i < size; ++i)
            REQUIRE(wait_until([&] { return fleet.ready(i); }));
    }
    template <class Done> bool wait_until(Done done, net::Duration timeout = 60s) {
        const net::Time end = loop.now() + timeout;
        while (!done()) {
            if (loop.now() > end) return false;
            loop.run_once(5ms);
        }
        return true;
    }
    void run_jobs(std::size_t count, std::size_t instances) {
        for (std::size_t i = 0; i < count; ++i) {
            fleet.send(i % instances, i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c");
            if (i % 10 == 9) REQUIRE(wait_until([&] { return fleet.waiting() == 0; }));
        }
        REQUIRE(wait_until([&] { return fleet.waiting() == 0; }));
    }
    // Checks that the instance's lower bounds do not exceed the true counts; returns whether they are equal.
    bool has_all_counts(std::size_t instance) {
        const auto totals = fleet.told(instance);
        bool is_complete = true;
        for (const char* tenant : {"a", "b", "c"}) {
            const auto found = totals.find(tenant);
            const Told total = found == totals.end() ? Told{} : found->second;
            CHECK(total.low <= fleet.truth(tenant));
            is_complete = is_complete && total.low == fleet.truth(tenant);
        }
        return is_complete;
    }
    bool sees_alive_members(std::size_t instance, std::size_t expected) {
        const std::string text = fleet.ask(instance, "/_members");
        std::size_t alive = 0;
        for (std::size_t from = text.find("\"alive\""); from != std::string::npos;
             from = text.find("\"alive\"", from + 1))
            ++alive;
        return alive == expected;
    }

    Folder folder;
    net::Loop loop;
    LiveFleet fleet;
};

TEST_CASE("five schedulers converge to the true counts despite datagram loss and a partition") {
    Cluster cluster(5);
    for (std::size_t i = 0; i < 5; ++i)
        REQUIRE(cluster.wait_until([&] { return cluster.sees_alive_members(i, 5); }));
    cluster.run_jobs(150, 5);
    CHECK(cluster.fleet.failed() == 0);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(cluster.wait_until([&] { return cluster.has_all_counts(i); }));
    cluster.fleet.proxy().cut_off(4, true);
    cluster.run_jobs(150, 5); // the partitioned instance goes on counting
    CHECK_FALSE(cluster.has_all_counts(0));
    for (std::size_t i = 0; i < 5; ++i) {
        for (const auto& [tenant, total] : cluster.fleet.told(i))
            CHECK(total.high >= cluster.fleet.truth(tenant));
    }
    cluster.fleet.proxy().cut_off(4, false);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(cluster.wait_until([&] { return cluster.has_all_counts(i); }));
}

TEST_CASE("SIGTERM loses no counts, SIGKILL none that are in the snapshot") {
    Cluster cluster(3, true);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(cluster.wait_until([&] { return cluster.sees_alive_members(i, 3); }));
    cluster.run_jobs(30, 3);
    cluster.fleet.process(1).signal(SIGTERM);
    REQUIRE(cluster.wait_until([&] { return cluster.fleet.process(1).ended().has_value(); }));
    CHECK(cluster.fleet.process(1).ended() == 0);
    CHECK(cluster.wait_until([&] { return cluster.has_all_counts(0); }));
    cluster.fleet.start(1);
    REQUIRE(cluster.wait_until([&] { return cluster.fleet.ready(1); }));
    CHECK(cluster.fleet.process(1).log().find("lives read from the last snapshot") != std::string::npos);
    CHECK(cluster.wait_until([&] { return cluster.has_all_counts(1); }));
    cluster.run_jobs(30, 3);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(cluster.wait_until([&] { return cluster.has_all_counts(i); }));
    // All instances have all counts; they are restored even if all are killed at once.
    REQUIRE(cluster.wait_until([&, before = cluster.loop.now()] {
        return cluster.loop.now() - before > 1s;
    })); // time for some snapshots
    for (std::size_t i = 0; i < 3; ++i)
        cluster.fleet.kill(i);
    for (std::size_t i = 0; i < 3; ++i)
        cluster.fleet.start(i);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(cluster.wait_until([&] { return cluster.fleet.ready(i); }));
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(cluster.wait_until([&] { return cluster.has_all_counts(i); }));
}

TEST_CASE(
    "keys are rotated under load without rejected datagrams: accept both, seal with the new, drop the old") {
    Cluster cluster(3);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(cluster.wait_until([&] { return cluster.sees_alive_members(i, 3); }));
    const auto roll_out_keys = [&](const std::vector<std::pair<int, std::string>>& keys) {
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string before = cluster.fleet.process(i).log();
            cluster.fleet.write_site(i, keys);
            cluster.fleet.process(i).signal(SIGHUP);
            REQUIRE(cluster.wait_until([&] {
                return cluster.fleet.process(i).log().find("file read again", before.size()) !=
                       std::string::npos;
            }));
            cluster.run_jobs(12, 3);
        }
        cluster.wait_until(
            [] { return false; },
            500ms); // datagrams sealed before are delayed by up to 30 ms, and more on a busy machine
    };
    roll_out_keys({{1, "1.key"}, {2, "2.key"}}); // accept both keys
    roll_out_keys({{2, "2.key"}, {1, "1.key"}}); // seal with the new key
    roll_out_keys({{2, "2.key"}});
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(cluster.wait_until([&] { return cluster.has_all_counts(i); }));
    for (std::size_t i = 0; i < 3; ++i) {
        const std::string metrics = cluster.fleet.ask(i, "/_vars");
        CHECK(metrics.find("willowrill_mesh_dropped_datagrams_total{cause=\"unknown_key\"} 0\n") !=
              std::string::npos);
        CHECK(metrics.find("willowrill_mesh_dropped_datagrams_total{cause=\"forged\"} 0\n") !=
              std::string::npos);
        CHECK(metrics.find("scheduler_requests{class=\"once\",outcome=\"served\"} ") != std::string::npos);
    }
}

// Runs a shell command; returns its output and its exit code.
std::pair<std::string, int> run_command(const std::string& command) {
    std::string output;
    FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buffer{};
    for (std::size_t bytes_read = 0; (bytes_read = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
        output.append(buffer.data(), bytes_read);
    const int status = ::pclose(pipe);
    return {output, WEXITSTATUS(status)};
}

TEST_CASE("willowrillctl shows counts and members, and reports errors by its exit code") {
    Cluster cluster(2);
    for (std::size_t i = 0; i < 2; ++i)
        REQUIRE(cluster.wait_until([&] { return cluster.sees_alive_members(i, 2); }));
    cluster.run_jobs(6, 2);
    REQUIRE(cluster.wait_until([&] { return cluster.has_all_counts(0); }));
    const std::string address_option = " --address " + cluster.fleet.mgmt(0).text();
    const auto [counts, counts_code] = run_command(WILLOWRILLCTL " counts --tenant a" + address_option);
    CHECK(counts_code == 0);
    CHECK(counts.find("seen from i0: 2 instances") != std::string::npos);
    CHECK(counts.find("a       once   served     2") != std::string::npos);
    CHECK(counts.find("b       once") == std::string::npos);
    const auto [members, members_code] = run_command(WILLOWRILLCTL " members" + address_option);
    CHECK(members_code == 0);
    CHECK(members.find("i0 *") != std::string::npos);
    CHECK(members.find("i1") != std::string::npos);
    cluster.fleet.kill(1);
    REQUIRE(cluster.wait_until(
        [&] { return run_command(WILLOWRILLCTL " members" + address_option).second == 5; }));
    cluster.fleet.kill(0);
    const auto [unreachable, unreachable_code] = run_command(WILLOWRILLCTL " counts" + address_option);
    CHECK(unreachable_code == 3);
    CHECK(unreachable.find("Connection refused") != std::string::npos);
    CHECK(run_command(WILLOWRILLCTL " counts --address here").second == 2);
    CHECK(run_command(WILLOWRILLCTL).second == 2);
    CHECK(run_command(WILLOWRILLCTL " check " + cluster.folder.path + "/site0.yaml").second == 0);
    cluster.fleet.write("bad.yaml", "mesk: 1\nlog: 2\n");
    const auto [problems, problems_code] =
        run_command(WILLOWRILLCTL " check --json " + cluster.folder.path + "/bad.yaml");
    CHECK(problems_code == 1);
    CHECK(problems.find("\"line\":1,\"key\":\"mesk\"") != std::string::npos);
    CHECK(problems.find("\"line\":2,\"key\":\"log\"") != std::string::npos);
}

TEST_CASE("SIGHUP with an invalid operators' file changes nothing") {
    Cluster cluster(1);
    cluster.fleet.write("site0.yaml", "mesh:\n  listen: nowhere\n");
    cluster.fleet.process(0).signal(SIGHUP);
    REQUIRE(cluster.wait_until(
        [&] { return cluster.fleet.process(0).log().find("stays as it was") != std::string::npos; }));
    CHECK(cluster.fleet.process(0).log().find("site0.yaml:2: mesh.") != std::string::npos);
    cluster.run_jobs(3, 1);
    CHECK(cluster.has_all_counts(0));
    CHECK(cluster.fleet.told(0).size() == 3);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against a partial reload: the new discovery address applied although the operators' file is
// rejected.
TEST_CASE("SIGHUP applies the platform's and the operators' configuration file together or neither") {
    Cluster cluster(1);
    const std::string json_path = cluster.folder.path + "/config0.json", original_json = read_file(json_path);
    const std::string original_yaml = read_file(cluster.folder.path + "/site0.yaml");
    const auto log_has = [&](const std::string& words) {
        return cluster.fleet.process(0).log().find(words) != std::string::npos;
    };
    std::string moved_json = original_json;
    const std::size_t at = moved_json.find("\"discovery\":\"") + 13;
    moved_json.replace(at, moved_json.find('"', at) - at, "127.0.0.1:9");
    cluster.fleet.write("config0.json", moved_json);
    cluster.fleet.write("site0.yaml", "log:\n  format: text\n");
    cluster.fleet.process(0).signal(SIGHUP);
    REQUIRE(cluster.wait_until([&] { return log_has("a restart is needed for: "); }));
    CHECK_FALSE(log_has("discovery at 127.0.0.1:9"));
    CHECK_FALSE(log_has("configuration read again"));

    // Each invalid file produces one log line, and the scheduler goes on serving.
    const auto rejected_reloads = [&] {
        const std::string& log = cluster.fleet.process(0).log();
        std::size_t lines = 0;
        for (std::size_t from = log.find("stays as it was"); from != std::string::npos;
             from = log.find("stays as it was", from + 1))
            ++lines;
        return lines;
    };
    const auto expect_rejected = [&](const std::string& file, const std::string& good,
                                     const std::vector<std::string>& bad) {
        for (const std::string& text : bad) {
            const std::size_t before = rejected_reloads();
            cluster.fleet.write(file, text);
            cluster.fleet.process(0).signal(SIGHUP);
            REQUIRE(cluster.wait_until([&] { return rejected_reloads() == before + 1; }));
            cluster.run_jobs(1, 1);
        }
        cluster.fleet.write(file, good);
    };
    cluster.fleet.write("site0.yaml", original_yaml);
    expect_rejected("config0.json", original_json,
                    {"", "{}", "[]", original_json.substr(0, original_json.size() / 2), original_json + "}",
                     "{\"name\":\"x\"," + original_json.substr(1), std::string(17U << 20U, ' ')});
    expect_rejected("site0.yaml", original_yaml,
                    {"", "a: [\n", original_yaml.substr(0, original_yaml.size() / 2 + 1) + "~",
                     original_yaml + original_yaml, original_yaml + "mesh: nan\n",
                     std::string(2U << 20U, '#')});
    cluster.fleet.process(0).signal(SIGHUP);
    REQUIRE(cluster.wait_until([&] { return log_has("operators' file read again"); }));
    CHECK(cluster.fleet.failed() == 0);
}

} // namespace

// Guards against a scheduler that blocks on a log pipe nobody reads; at debug level the pipe is full after
// some hundred jobs.
TEST_CASE("processes whose logs are not read go on serving, and report the dropped lines later") {
    Cluster cluster(3, false, "debug");
    for (std::size_t i = 0; i < 3; ++i)
        cluster.fleet.process(i).read_log(false);
    cluster.run_jobs(3000, 3);
    CHECK(cluster.fleet.truth("a") + cluster.fleet.truth("b") + cluster.fleet.truth("c") == 3000);
    for (std::size_t i = 0; i < 3; ++i)
        cluster.fleet.process(i).read_log(true);
    CHECK(cluster.wait_until([&] {
        cluster.run_jobs(3, 3);
        bool all_reported = true;
        for (std::size_t i = 0; i < 3; ++i)
            all_reported = all_reported &&
                           cluster.fleet.process(i).log().find("lines were dropped") != std::string::npos;
        return all_reported;
    }));
}

} // namespace willowrill::lab
