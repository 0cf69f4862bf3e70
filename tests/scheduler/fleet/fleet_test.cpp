// Five real schedulers on loopback, and a network between them that loses a fifth. All waits are bounded; the
// bound only ends a test that has failed.
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

struct Rig {
    explicit Rig(std::size_t size, bool with_state = false, const std::string& log_level = "info")
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
            REQUIRE(until([&] { return fleet.ready(i); }));
    }
    template <class Done> bool until(Done done, net::Duration at_most = 60s) {
        const net::Time end = loop.now() + at_most;
        while (!done()) {
            if (loop.now() > end) return false;
            loop.run_once(5ms);
        }
        return true;
    }
    void jobs(std::size_t count, std::size_t instances) {
        for (std::size_t i = 0; i < count; ++i) {
            fleet.send(i % instances, i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c");
            if (i % 10 == 9) REQUIRE(until([&] { return fleet.waiting() == 0; }));
        }
        REQUIRE(until([&] { return fleet.waiting() == 0; }));
    }
    // Whether that instance's word holds, and whether it has caught up with the truth.
    bool knows_all(std::size_t at) {
        const auto told = fleet.told(at);
        bool all = true;
        for (const char* tenant : {"a", "b", "c"}) {
            const auto found = told.find(tenant);
            const Told one = found == told.end() ? Told{} : found->second;
            CHECK(one.low <= fleet.truth(tenant));
            all = all && one.low == fleet.truth(tenant);
        }
        return all;
    }
    bool knows_members(std::size_t at, std::size_t alive) {
        const std::string text = fleet.ask(at, "/_members");
        std::size_t found = 0;
        for (std::size_t from = text.find("\"alive\""); from != std::string::npos;
             from = text.find("\"alive\"", from + 1))
            ++found;
        return found == alive;
    }

    Folder folder;
    net::Loop loop;
    LiveFleet fleet;
};

TEST_CASE("five schedulers, a fifth lost: all come to the truth; the one cut off, too, once it is back") {
    Rig rig(5);
    for (std::size_t i = 0; i < 5; ++i)
        REQUIRE(rig.until([&] { return rig.knows_members(i, 5); }));
    rig.jobs(150, 5);
    CHECK(rig.fleet.failed() == 0);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(rig.until([&] { return rig.knows_all(i); }));
    rig.fleet.proxy().cut_off(4, true);
    rig.jobs(150, 5); // it counts on
    CHECK_FALSE(rig.knows_all(0));
    for (std::size_t i = 0; i < 5; ++i) {
        for (const auto& [tenant, told] : rig.fleet.told(i))
            CHECK(told.high >= rig.fleet.truth(tenant));
    }
    rig.fleet.proxy().cut_off(4, false);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(rig.until([&] { return rig.knows_all(i); }));
}

TEST_CASE("SIGTERM loses nothing that was counted; a kill loses nothing that is in the snapshot") {
    Rig rig(3, true);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(rig.until([&] { return rig.knows_members(i, 3); }));
    rig.jobs(30, 3);
    rig.fleet.process(1).signal(SIGTERM);
    REQUIRE(rig.until([&] { return rig.fleet.process(1).ended().has_value(); }));
    CHECK(rig.fleet.process(1).ended() == 0);
    CHECK(rig.until([&] { return rig.knows_all(0); }));
    rig.fleet.start(1);
    REQUIRE(rig.until([&] { return rig.fleet.ready(1); }));
    CHECK(rig.fleet.process(1).log().find("lives read from the last snapshot") != std::string::npos);
    CHECK(rig.until([&] { return rig.knows_all(1); }));
    rig.jobs(30, 3);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(rig.until([&] { return rig.knows_all(i); }));
    // All know; whatever dies now, and however many at once, comes back with it.
    REQUIRE(
        rig.until([&, before = rig.loop.now()] { return rig.loop.now() - before > 1s; })); // some snapshots
    for (std::size_t i = 0; i < 3; ++i)
        rig.fleet.kill(i);
    for (std::size_t i = 0; i < 3; ++i)
        rig.fleet.start(i);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(rig.until([&] { return rig.fleet.ready(i); }));
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(rig.until([&] { return rig.knows_all(i); }));
}

TEST_CASE("keys change under load: one after the other takes both, seals with the new one, drops the old") {
    Rig rig(3);
    for (std::size_t i = 0; i < 3; ++i)
        REQUIRE(rig.until([&] { return rig.knows_members(i, 3); }));
    const auto step = [&](const std::vector<std::pair<int, std::string>>& keys) {
        for (std::size_t i = 0; i < 3; ++i) {
            const std::string before = rig.fleet.process(i).log();
            rig.fleet.write_site(i, keys);
            rig.fleet.process(i).signal(SIGHUP);
            REQUIRE(rig.until([&] {
                return rig.fleet.process(i).log().find("file read again", before.size()) != std::string::npos;
            }));
            rig.jobs(12, 3);
        }
        rig.until([] { return false; },
                  500ms); // what was sealed before is on its way for 30 ms and a busy machine
    };
    step({{1, "1.key"}, {2, "2.key"}}); // takes both
    step({{2, "2.key"}, {1, "1.key"}}); // seals with the new one
    step({{2, "2.key"}});
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(rig.until([&] { return rig.knows_all(i); }));
    for (std::size_t i = 0; i < 3; ++i) {
        const std::string figures = rig.fleet.ask(i, "/_vars");
        CHECK(figures.find("willowrill_mesh_dropped_datagrams_total{cause=\"unknown_key\"} 0\n") !=
              std::string::npos);
        CHECK(figures.find("willowrill_mesh_dropped_datagrams_total{cause=\"forged\"} 0\n") !=
              std::string::npos);
        CHECK(figures.find("scheduler_requests{class=\"once\",outcome=\"served\"} ") != std::string::npos);
    }
}

// What a command prints, and its exit code.
std::pair<std::string, int> output_of(const std::string& command) {
    std::string out;
    FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::array<char, 4096> buffer{};
    for (std::size_t got = 0; (got = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
        out.append(buffer.data(), got);
    const int status = ::pclose(pipe);
    return {out, WEXITSTATUS(status)};
}

TEST_CASE("willowrillctl shows counts and members, and says by its exit code what is wrong") {
    Rig rig(2);
    for (std::size_t i = 0; i < 2; ++i)
        REQUIRE(rig.until([&] { return rig.knows_members(i, 2); }));
    rig.jobs(6, 2);
    REQUIRE(rig.until([&] { return rig.knows_all(0); }));
    const std::string at = " --address " + rig.fleet.mgmt(0).text();
    const auto [counts, counts_code] = output_of(WILLOWRILLCTL " counts --tenant a" + at);
    CHECK(counts_code == 0);
    CHECK(counts.find("seen from i0: 2 instances") != std::string::npos);
    CHECK(counts.find("a       once   served     2") != std::string::npos);
    CHECK(counts.find("b       once") == std::string::npos);
    const auto [members, members_code] = output_of(WILLOWRILLCTL " members" + at);
    CHECK(members_code == 0);
    CHECK(members.find("i0 *") != std::string::npos);
    CHECK(members.find("i1") != std::string::npos);
    rig.fleet.kill(1);
    REQUIRE(rig.until([&] { return output_of(WILLOWRILLCTL " members" + at).second == 5; }));
    rig.fleet.kill(0);
    const auto [silence, silence_code] = output_of(WILLOWRILLCTL " counts" + at);
    CHECK(silence_code == 3);
    CHECK(silence.find("Connection refused") != std::string::npos);
    CHECK(output_of(WILLOWRILLCTL " counts --address here").second == 2);
    CHECK(output_of(WILLOWRILLCTL).second == 2);
    CHECK(output_of(WILLOWRILLCTL " check " + rig.folder.path + "/site0.yaml").second == 0);
    rig.fleet.write("bad.yaml", "mesk: 1\nlog: 2\n");
    const auto [bad, bad_code] = output_of(WILLOWRILLCTL " check --json " + rig.folder.path + "/bad.yaml");
    CHECK(bad_code == 1);
    CHECK(bad.find("\"line\":1,\"key\":\"mesk\"") != std::string::npos);
    CHECK(bad.find("\"line\":2,\"key\":\"log\"") != std::string::npos);
}

TEST_CASE("SIGHUP with a bad operators' file leaves all as it was") {
    Rig rig(1);
    rig.fleet.write("site0.yaml", "mesh:\n  listen: nowhere\n");
    rig.fleet.process(0).signal(SIGHUP);
    REQUIRE(
        rig.until([&] { return rig.fleet.process(0).log().find("stays as it was") != std::string::npos; }));
    CHECK(rig.fleet.process(0).log().find("site0.yaml:2: mesh.") != std::string::npos);
    rig.jobs(3, 1);
    CHECK(rig.knows_all(0));
    CHECK(rig.fleet.told(0).size() == 3);
}

std::string content(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Discovery had moved already when the operators' file was turned down.
TEST_CASE("SIGHUP takes the platform's file and the operators' over together, or neither") {
    Rig rig(1);
    const std::string json = rig.folder.path + "/config0.json", whole = content(json);
    const std::string yaml = content(rig.folder.path + "/site0.yaml");
    const auto log_has = [&](const std::string& words) {
        return rig.fleet.process(0).log().find(words) != std::string::npos;
    };
    std::string moved = whole;
    const std::size_t at = moved.find("\"discovery\":\"") + 13;
    moved.replace(at, moved.find('"', at) - at, "127.0.0.1:9");
    rig.fleet.write("config0.json", moved);
    rig.fleet.write("site0.yaml", "log:\n  format: text\n");
    rig.fleet.process(0).signal(SIGHUP);
    REQUIRE(rig.until([&] { return log_has("a restart is needed for: "); }));
    CHECK_FALSE(log_has("discovery at 127.0.0.1:9"));
    CHECK_FALSE(log_has("configuration read again"));

    // Whatever stands there: one line, and service goes on.
    const auto refused = [&] {
        const std::string& log = rig.fleet.process(0).log();
        std::size_t lines = 0;
        for (std::size_t from = log.find("stays as it was"); from != std::string::npos;
             from = log.find("stays as it was", from + 1))
            ++lines;
        return lines;
    };
    const auto refuses_each = [&](const std::string& file, const std::string& good,
                                  const std::vector<std::string>& bad) {
        for (const std::string& text : bad) {
            const std::size_t before = refused();
            rig.fleet.write(file, text);
            rig.fleet.process(0).signal(SIGHUP);
            REQUIRE(rig.until([&] { return refused() == before + 1; }));
            rig.jobs(1, 1);
        }
        rig.fleet.write(file, good);
    };
    rig.fleet.write("site0.yaml", yaml);
    refuses_each("config0.json", whole,
                 {"", "{}", "[]", whole.substr(0, whole.size() / 2), whole + "}",
                  "{\"name\":\"x\"," + whole.substr(1), std::string(17U << 20U, ' ')});
    refuses_each("site0.yaml", yaml,
                 {"", "a: [\n", yaml.substr(0, yaml.size() / 2 + 1) + "~", yaml + yaml, yaml + "mesh: nan\n",
                  std::string(2U << 20U, '#')});
    rig.fleet.process(0).signal(SIGHUP);
    REQUIRE(rig.until([&] { return log_has("operators' file read again"); }));
    CHECK(rig.fleet.failed() == 0);
}

} // namespace

// Their pipes were full after some hundred jobs, and they stood still.
TEST_CASE(
    "real processes whose logs nobody reads serve on, and say what was dropped when they are read again") {
    Rig rig(3, false, "debug");
    for (std::size_t i = 0; i < 3; ++i)
        rig.fleet.process(i).read_log(false);
    rig.jobs(3000, 3);
    CHECK(rig.fleet.truth("a") + rig.fleet.truth("b") + rig.fleet.truth("c") == 3000);
    for (std::size_t i = 0; i < 3; ++i)
        rig.fleet.process(i).read_log(true);
    CHECK(rig.until([&] {
        rig.jobs(3, 3);
        bool all = true;
        for (std::size_t i = 0; i < 3; ++i)
            all = all && rig.fleet.process(i).log().find("lines were dropped") != std::string::npos;
        return all;
    }));
}

} // namespace willowrill::lab
