// Parsers: the configuration, discovery's endpoint lists, workers' responses and clients' requests.
#include "scheduler/config/settings.h"
#include "scheduler/discovery_client/worker_registry.h"
#include "scheduler/frontend/request.h"
#include "scheduler/upstream/response_reader.h"
#include "support/check_property.h"

#include <doctest/doctest.h>

#include <sys/stat.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace willowrill::testing {

using namespace std::chrono_literals;
using willowrill::Condition;
using willowrill::EndpointListUpdate;
using willowrill::Outcome;

const std::string config_text = R"({"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:2",
 "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":100,"sockets":200},"unknown":[{}],
 "known":{"version":41,"full":true,"servers":[]},
 "settings":{"balancers":3,"slot_no":2,"zone":"b","zones":["a","b"],"kinds":["m1","m2"],"tick_ns":5000000,
  "discovery":"ask","tenants":[],
  "classes":[{"name":"once","effect":"non_idempotent","aim_ns":200000000,"hard_limit_ns":5000000000},
   {"name":"keyed","effect":"idempotency_key","dedup_scope":"cell","window_ns":4e10,
    "hard_limit_ns":25000000000}],
  "family_info":{"class_kind":[-1,0],"class_stretch":[1.75,2]},
  "reporting":{"fields":["load_share","unheard_of","x0"],"via":"piggyback"},
  "limits":{"cancel":true,"retry_after":true,"max_attempts":4,"max_open":50,"conn_idle_ns":5000000000,
   "connect_timeout_ns":250000000,"max_retry_after_ns":2000000000},
  "safety":{"ask_within_ns":10000000000}}})";

const char* no_environment(const char*) { return nullptr; }

config::Settings test_settings() { return config::parse(config_text, no_environment); }

namespace {

std::string config_error(std::string text, std::string_view original, std::string_view replacement) {
    const std::size_t at = text.find(original);
    REQUIRE(at != std::string::npos);
    try {
        config::parse(text.replace(at, original.size(), replacement), no_environment);
    } catch (const config::ConfigError& error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("the configuration is parsed into settings") {
    const config::Settings settings = test_settings();
    CHECK(settings.name == "n3");
    CHECK(settings.discovery.text() == "127.0.0.1:2");
    CHECK(settings.max_sockets == 200);
    CHECK(settings.max_open_requests == 50);
    CHECK(settings.connection_idle == 5s);
    CHECK(settings.connect_timeout == 250ms);
    REQUIRE(settings.report_fields.size() == 2);
    CHECK(settings.report_fields[0].wire_name == "util");
    const willowrill::Settings& decisions = settings.dispatcher;
    CHECK(decisions.seed == 0x8c1f30d27a5be964);
    CHECK(decisions.self == 2);
    CHECK(decisions.dispatchers == 3);
    CHECK(decisions.zone == 1);
    CHECK(decisions.tick == 5ms);
    CHECK(decisions.list_on_request);
    CHECK_FALSE(decisions.probes);
    CHECK(decisions.reports_with_probes);
    CHECK(decisions.clients_honor_retry_after);
    REQUIRE(decisions.classes.size() == 2);
    CHECK(decisions.classes[0].effect == willowrill::Effect::once);
    CHECK(decisions.classes[0].kind == willowrill::none);
    CHECK(decisions.classes[1].repeat_scope == willowrill::RepeatScope::cell);
    CHECK(decisions.classes[1].repeat_window == 40s);
    CHECK(decisions.classes[1].aim_stretch == 2);
    CHECK(decisions.classes[1].kind == 0);
}

TEST_CASE("contradictory settings of probes and reports are accepted with a remark") {
    const auto remarks = [](const std::string& via, bool probes) {
        std::string text = config_text;
        text.replace(text.find("piggyback"), 9, via);
        if (probes) text.replace(text.find("\"cancel\""), 0, "\"probes\":true,");
        return config::parse(text, no_environment).warnings;
    };
    CHECK(remarks("piggyback", false).empty());
    CHECK(remarks("piggyback", true).empty());
    CHECK(remarks("pull", true).empty());
    CHECK(remarks("silent", false).empty());
    REQUIRE(remarks("silent", true).size() == 1);
    CHECK(remarks("silent", true)[0].find("no load report") != std::string::npos);
    REQUIRE(remarks("pull", false).size() == 1);
    CHECK(remarks("pull", false)[0].find("not allowed") != std::string::npos);
}

TEST_CASE("descriptors and memory bound the connections of each side") {
    config::Settings settings = test_settings();
    settings.max_sockets = 1024;
    settings.memory_mb = 192;
    CHECK(config::max_connections_per_side(settings, 4096) == 496);
    CHECK(config::max_connections_per_side(settings, 232) == 100); // the limit of the process is lower
    // The smallest deployment: the memory suffices for all connections and for messages of ordinary size.
    settings.memory_mb = 32;
    settings.max_sockets = 256;
    CHECK(config::max_connections_per_side(settings, 4096) == 112);
    CHECK(config::max_message_bytes(settings) == 8U << 20U);
    settings.max_sockets = 1024;
    CHECK(config::max_connections_per_side(settings, 4096) == 122);
    settings.memory_mb = 0;
    CHECK(config::max_connections_per_side(settings, 0) == 1);
}

TEST_CASE("environment variables override the file, and an invalid configuration is reported in one line") {
    const auto with_name = [](const char* name) -> const char* {
        return std::string_view(name) == "PROXY_NAME" ? "n9" : nullptr;
    };
    CHECK(config::parse(config_text, with_name).name == "n9");
    const auto with_address = [](const char* name) -> const char* {
        return std::string_view(name) == "PROXY_LISTEN" ? "somewhere" : nullptr;
    };
    CHECK_THROWS_AS(config::parse(config_text, with_address), config::ConfigError);
    CHECK_THROWS_AS(config::read(no_environment), config::ConfigError);
    CHECK_THROWS_AS(config::read([](const char*) { return "/nowhere/at/all"; }), config::ConfigError);
    CHECK_THROWS_AS(config::parse("{", no_environment), config::ConfigError);
    CHECK_THROWS_AS(config::parse("[]", no_environment), config::ConfigError);
    for (const auto& [original, replacement] :
         {std::pair{"\"127.0.0.1:2\"", "\"127.0.0.1:99999\""},
          {"\"settings\"", "\"sets\""},
          {"non_idempotent", "odd"},
          {"5000000,", "\"5\","},
          {"5000000,", "-5,"},
          {"8c1f30d27a5be964", "xyz"},
          {"conn_idle_ns", "idle"},
          {"\"classes\"", "\"lessons\""},
          // Negative, overflowing, fractional or of the wrong type.
          {"\"balancers\":3", "\"balancers\":4294967296"},
          {"\"balancers\":3", "\"balancers\":2.5"},
          {"\"balancers\":3", "\"balancers\":NaN"},
          {"\"balancers\":3", "\"balancers\":1e999"},
          {"\"balancers\":3", "\"balancers\":true"},
          {"\"memory_mb\":100", "\"memory_mb\":9e15"},
          {"\"memory_mb\":100", "\"memory_mb\":0"},
          {"\"sockets\":200", "\"sockets\":-200"},
          {"5000000,", "5e15,"},
          {"[1.75,2]", "[1.75,-2]"},
          {"[1.75,2]", "[1.75,\"2\"]"},
          {"\"max_attempts\":4", "\"max_attempts\":0"},
          {"25000000000}]", "0}]"},
          // Contradictions: an index or kind out of range, or a duplicate name.
          {"\"slot_no\":2", "\"slot_no\":3"},
          {"[-1,0]", "[-1,2]"},
          {"[-1,0]", "[-1,4294967296]"},
          {"[-1,0]", "[-1,0.5]"},
          {"\"name\":\"keyed\"", "\"name\":\"once\""},
          {"\"sockets\":200", "\"sockets\":200,\"sockets\":300"},
          {"\"cancel\":true", "\"cancel\":true,\"cancel\":false"}}) {
        CAPTURE(original);
        CAPTURE(replacement);
        const std::string error = config_error(config_text, original, replacement);
        CHECK_FALSE(error.empty());
        CHECK(error.find('\n') == std::string::npos);
    }
}

// Property 8, first half: a file is accepted as a whole or not at all, and an accepted one is valid input for
// the dispatcher.
TEST_CASE(
    "properties: a configuration with changed numbers is refused in one line or valid for the dispatcher") {
    int accepted = 0, refused = 0;
    check_property(
        "configuration", 3000,
        [&] {
            // Replaces numbers from the last to the first, so that earlier positions stay valid.
            const auto edits = *rc::gen::container<std::map<std::size_t, std::string>>(
                rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, 80)),
                rc::gen::element<std::string>("-1", "0", "1", "7", "2.5", "4294967296", "9e15", "1e300",
                                              "1e999", "null", "true", "\"x\"", "[]", "{", ""));
            std::string text = config_text;
            text.insert(text.find("\"window_ns\""), "\"aim_ns\":2000000000,"); // both classes may wait
            for (auto edit = edits.rbegin(); edit != edits.rend(); ++edit) {
                std::size_t at = 0, size = 0;
                for (std::size_t n = 0; n <= edit->first; ++n) {
                    at = std::min(text.find_first_of("0123456789", at + size), text.size());
                    size = std::min(text.find_first_not_of("0123456789", at), text.size()) - at;
                }
                text.replace(at, size, edit->second);
            }
            std::optional<config::Settings> parsed;
            try {
                parsed = config::parse(text, no_environment);
            } catch (const config::ConfigError& error) {
                ++refused;
                RC_ASSERT(std::string_view(error.what()).find('\n') == std::string_view::npos);
                return;
            }
            ++accepted;
            const willowrill::Settings& settings = parsed->dispatcher;
            RC_ASSERT(settings.classes.size() == parsed->names.classes.size());
            RC_ASSERT(settings.self < settings.dispatchers);
            willowrill::Dispatcher dispatcher(settings);
            std::vector<willowrill::Event> events{
                EndpointListUpdate{EndpointListUpdate::Kind::complete, {{.worker = 0, .key = 1}}}};
            for (willowrill::Index c = 0; c < settings.classes.size(); ++c)
                events.emplace_back(willowrill::JobArrived{.job = c, .job_class = c, .time_left = 1s});
            std::vector<willowrill::Action> actions;
            dispatcher.handle(1s, events, actions);
            dispatcher.handle(3s, {}, actions);
            // Each job has been answered; those that were sent have exceeded their deadline by now.
            for (willowrill::JobId job = 0; job < settings.classes.size(); ++job)
                RC_ASSERT(std::ranges::any_of(actions, [&](const willowrill::Action& action) {
                    const auto* refuse = std::get_if<willowrill::Refuse>(&action);
                    const auto* fail = std::get_if<willowrill::Fail>(&action);
                    return (refuse != nullptr && refuse->job == job) || (fail != nullptr && fail->job == job);
                }));
        },
        4);
    CHECK(accepted > 300);
    CHECK(refused > 300);
}

// Whatever the path refers to is rejected in one line, without blocking and without reading it all into
// memory.
TEST_CASE(
    "paths that are not a configuration file are refused with a reason, a truncated file is never accepted") {
    std::string folder = "/tmp/willowrill-config-XXXXXX";
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
    const std::string path = folder + "/config.json", pipe = folder + "/pipe";
    REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    const auto error = [](const std::string& candidate) -> std::string {
        const auto environment = [&](const char* name) {
            return std::string_view(name) == "PROXY_CONFIG" ? candidate.c_str() : nullptr;
        };
        try {
            config::read(environment);
        } catch (const config::ConfigError& found) {
            return found.what();
        }
        return "";
    };
    const auto write = [&](std::string_view text) { std::ofstream(path, std::ios::binary) << text; };
    const auto has_reason = [](const std::string& text, std::string_view words) {
        return text.find(words) != std::string::npos && text.find('\n') == std::string::npos;
    };
    CHECK(has_reason(error(folder), "it is a folder"));
    CHECK(has_reason(error(pipe), "it is no file"));
    CHECK(has_reason(error("/dev/zero"), "it is no file"));
    CHECK(has_reason(error(folder + "/none"), "No such file"));
    write("");
    CHECK(has_reason(error(path), "is empty"));
    write("{}" + std::string(17U << 20U, ' '));
    CHECK(has_reason(error(path), "holds more than"));
    write(config_text);
    CHECK(error(path).empty());
    for (std::size_t size = 1; size < config_text.size(); ++size) {
        CAPTURE(size);
        CHECK_THROWS_AS(config::parse(config_text.substr(0, size), no_environment), config::ConfigError);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE(
    "discovery's lists: full ones replace the list, changes are applied, malformed ones change nothing") {
    discovery_client::WorkerRegistry list(test_settings().names);
    const auto entry = [](const std::string& id, const std::string& state, const std::string& port = "5000") {
        return R"({"id":")" + id + R"(","addr":"127.0.0.1:)" + port +
               R"(","zone":"a","kind":"m2","cell":3,"state":")" + state +
               R"(","weight":1.5,"started_ms":1700000000123})";
    };
    const auto read = [&](int version, bool full, const std::string& entries) {
        return list.apply_update("{\"version\":" + std::to_string(version) + ",\"full\":" +
                                 (full ? "true" : "false") + ",\"servers\":[" + entries + "]}");
    };
    CHECK(list.empty());
    auto update = read(41, true, entry("s1", "up") + "," + entry("s2", "draining"));
    REQUIRE(update);
    CHECK(update->kind == EndpointListUpdate::Kind::complete);
    REQUIRE(update->entries.size() == 2);
    CHECK(update->entries[0].up_since == 1700000000123ms);
    CHECK(update->entries[0].kind == 1);
    CHECK(update->entries[0].cell == 3);
    CHECK(update->entries[0].weight == 1.5);
    CHECK(update->entries[0].key != update->entries[1].key);
    CHECK(update->entries[1].condition == Condition::draining);
    CHECK(list.version() == 41);

    for (const char* nonsense : {"", "{}", "[]", "{\"version\":42,\"full\":true,\"servers\":[{}]}",
                                 "{\"version\":-1,\"full\":true,\"servers\":[]}"}) {
        CHECK_FALSE(list.apply_update(nonsense));
    }
    CHECK_FALSE(read(42, true, entry("s3", "up") + "," + entry("s4", "odd")));
    CHECK_FALSE(read(42, true, entry("s3", "up", "x")));
    CHECK(list.version() == 41);
    CHECK(list.condition(0) == Condition::ready);
    // A start time that overflows the clock, and new names that occur only in a malformed list.
    std::string overflowing = entry("s3", "up");
    overflowing.replace(overflowing.find("1700000000123"), 13, "9223372036854775807");
    CHECK_FALSE(read(42, true, overflowing));
    std::string unknown_kind = entry("s3", "up");
    unknown_kind.replace(unknown_kind.find("m2"), 2, "m9");
    const std::size_t kinds = list.names().kinds.size();
    CHECK_FALSE(read(42, true, unknown_kind + ",{}"));
    CHECK(list.names().kinds.size() == kinds);

    update = read(43, false, entry("s1", "draining", "5001") + R"(,{"id":"s2","state":"removed"})");
    REQUIRE(update);
    CHECK(update->kind == EndpointListUpdate::Kind::changes);
    CHECK(update->entries[1].condition == Condition::gone);
    CHECK(list.condition(0) == Condition::draining);
    CHECK(list.address(0).text() == "127.0.0.1:5001");
    CHECK(list.address(1).text() == "127.0.0.1:5000"); // unchanged

    update = read(44, true, entry("s9", "up"));
    REQUIRE(update);
    CHECK(update->entries[0].worker == 2); // the number of a worker is never reused
    CHECK(list.condition(0) == Condition::gone);
}

TEST_CASE("workers' responses map to outcomes as the protocol specifies") {
    const auto fields = test_settings().report_fields;
    upstream::ResponseReader reader(fields);
    std::vector<upstream::ProgressNote> notes;
    const auto read = [&](const std::string& answer, bool ends = true) {
        reader.begin("a");
        notes.clear();
        net::http::Parser parser(net::http::Parser::Kind::response);
        parser.feed(answer);
        if (ends) parser.end_of_input();
        return reader.read(parser, notes);
    };
    const auto line = [&](const std::string& rest, bool ends = false) {
        return read("HTTP/1.1 200 OK\r\n\r\n{\"id\":\"a\",\"from\":\"s\"," + rest, ends);
    };
    const auto outcome = [&](const std::string& rest) { return line(rest + "}\n").value().outcome; };

    const auto done =
        line(R"("state":"done","result":"a\"b\n\u00e9","load":{"util":0.5,"x0":3,"latency_ms":7}})"
             "\n");
    REQUIRE(done);
    CHECK(done->outcome == Outcome::served);
    CHECK(done->result == "a\"b\n\xc3\xa9");
    REQUIRE(done->report);
    CHECK(done->report->utilisation == 0.5);
    CHECK(done->report->free_slots == 3.0);
    CHECK_FALSE(done->report->service_ms.has_value()); // not among the configured fields

    CHECK(outcome(R"("state":"failed")") == Outcome::error);
    CHECK(outcome(R"("state":"returned")") == Outcome::full);
    CHECK(outcome(R"("state":"lost")") == Outcome::reset);
    CHECK(outcome(R"("state":"odd")") == Outcome::reset);
    CHECK(outcome(R"("state":"done")") == Outcome::reset); // without a result
    CHECK(outcome(R"("state":"done","result":7)") == Outcome::reset);
    CHECK(read("HTTP/1.1 200 OK\r\n\r\n{\"id\":\"b\",\"state\":\"done\",\"result\":\"\"}\n")->outcome ==
          Outcome::reset);
    CHECK(read("HTTP/1.1 200 OK\r\n\r\nnonsense\n")->outcome == Outcome::reset);
    CHECK(read("nonsense\r\n")->outcome == Outcome::reset);
    CHECK_FALSE(line(R"("state":"started"})"
                     "\n"
                     R"({"id":"a","state":"running","share":0.4})"
                     "\n"));
    REQUIRE(notes.size() == 2);
    CHECK(notes[0].started);
    CHECK(notes[1].share == 0.4);
    CHECK_FALSE(line(R"("state":"done","result":"cut)")); // the response may continue
    CHECK(line(R"("state":"done","result":"cut)", true).value().outcome == Outcome::reset);
    CHECK(line(R"("state":"done","result":"cut")", true).value().outcome == Outcome::reset);
    CHECK(line(R"("state":"started"})"
               "\n",
               true)
              .value()
              .outcome == Outcome::reset); // the response has ended
    CHECK(line(R"("state":"done","result":"x"})", true).value().outcome == Outcome::served);

    // A report in the header was made before the job ran, and is ignored.
    CHECK_FALSE(
        read("HTTP/1.1 200 OK\r\nX-Server-Load: util=0.9\r\n\r\n{\"id\":\"a\",\"state\":\"failed\"}\n")
            ->report);

    const auto status = [&](const std::string& start, const std::string& head = "") {
        return read("HTTP/1.1 " + start + "\r\n" + head + "Content-Length: 0\r\n\r\n").value();
    };
    const std::string not_processed = "X-Not-Processed: 1\r\n";
    CHECK(status("500 x").outcome == Outcome::error);
    CHECK(status("503 x").outcome == Outcome::error); // the job may have run
    CHECK(status("503 x", not_processed).outcome == Outcome::full);
    CHECK(status("504 x", not_processed).outcome == Outcome::full);
    CHECK(status("500 x", not_processed).outcome == Outcome::error);
    CHECK(status("404 x").outcome == Outcome::error);
    const auto loaded = status("503 x", not_processed + "X-Server-Load: util=0.61, x0=2,inflight=7,bad\r\n");
    REQUIRE(loaded.report);
    CHECK(loaded.report->utilisation == 0.61);
    CHECK(loaded.report->free_slots == 2.0);
    CHECK_FALSE(loaded.report->in_flight.has_value());
    // Values out of range are ignored, and the others are used.
    const auto odd = status("503 x", not_processed + "X-Server-Load: util=-1,x0=1e300\r\n");
    CHECK_FALSE(odd.report);
    CHECK(status("503 x", not_processed + "X-Server-Load: util=1e7,x0=2\r\n").report->free_slots == 2.0);
    CHECK_FALSE(line(R"("state":"failed","load":{"util":-0.5,"x0":1e12}})"
                     "\n")
                    ->report);
}

TEST_CASE("the response to a probe holds a load report in one of three forms, or none") {
    const config::Settings settings = test_settings(); // its fields: load_share, x0
    const upstream::ResponseReader reader(settings.report_fields);
    const auto read = [&](int status, const std::string& body, const net::http::Fields& fields = {}) {
        net::http::Parser parser(net::http::Parser::Kind::response);
        parser.feed(net::http::write_response(status, fields, body));
        return reader.read_probe(parser);
    };
    for (const auto& report :
         {read(200, R"({"qps":9.5,"util":0.61,"x0":3})"), read(200, R"({"load":{"util":0.61,"x0":3}})"),
          read(200, "", {{"X-Server-Load", "util=0.61,x0=3"}})}) {
        REQUIRE(report);
        CHECK(report->utilisation == 0.61);
        CHECK(report->free_slots == 3);
    }
    for (const char* nonsense :
         {"", "{", "[]", "7", R"({"others":1})", R"({"x0":1e300})", R"({"x0":-1})", R"({"x0":"3"})"}) {
        CAPTURE(nonsense);
        CHECK_FALSE(read(200, nonsense));
    }
    CHECK_FALSE(read(404, R"({"util":0.61})"));
    CHECK_FALSE(read(503, R"({"util":0.61})"));
}

TEST_CASE("clients' requests become messages or are rejected with status 400") {
    const config::Settings settings = test_settings();
    core::Message message;
    frontend::Rejection rejection;
    const auto read = [&](const std::string& fields) {
        message = {};
        net::http::Parser parser(net::http::Parser::Kind::request);
        parser.feed("POST /api?q=1 HTTP/1.1\r\n" + fields + "Content-Length: 2\r\n\r\nhi");
        REQUIRE(parser.done());
        return frontend::read_message(parser, settings, 100s, message, rejection);
    };
    const std::string once = "X-Request-ID: a\r\nX-Priority-Class: once\r\n";
    const std::string keyed = "X-Request-ID: a\r\nX-Priority-Class: keyed\r\n";
    REQUIRE(read(keyed + "Idempotency-Key: k\r\nCookie: x=1; obj=7f3a9c21e0b4d655\r\nX-Timeout-Ms: 480\r\n"
                         "X-Retried: 1\r\nX-Attrs: slots=4,other=x\r\n"));
    CHECK(message.id == "a");
    CHECK(message.idempotency_key == "k");
    CHECK(message.target == "/api?q=1");
    CHECK(message.body == "hi");
    CHECK(message.job_class == 1);
    CHECK(message.key == 0x7f3a9c21e0b4d655);
    CHECK(message.deadline == 100s + 480ms);
    CHECK(message.is_retry);
    CHECK(message.slots == 4);
    REQUIRE(read(once));
    CHECK(message.deadline == 105s); // the deadline of the class
    CHECK_FALSE(message.is_retry);
    CHECK(message.hint == 0ns);
    REQUIRE(read(once + "X-Cost: 340000\r\n"));
    CHECK(message.hint == 340ms);
    for (const char* invalid : {"0", "-5", "1e300", "soon", ""}) { // no estimate, but accepted
        REQUIRE(read(once + "X-Cost: " + invalid + "\r\n"));
        CHECK(message.hint == 0ns);
    }
    for (const std::string& bad :
         {std::string("X-Priority-Class: once\r\n"), std::string("X-Request-ID: a\r\n"), keyed,
          std::string("X-Request-ID: a\r\nX-Priority-Class: unheard\r\n"), once + "X-Timeout-Ms: soon\r\n",
          once + "X-Timeout-Ms: 99999999999999999999\r\n", once + "X-Attrs: slots=0\r\n",
          once + "X-Attrs: slots=-1\r\n", once + "X-Attrs: slots=nan\r\n",
          "X-Priority-Class: once\r\nX-Request-ID: " + std::string(300, 'a') + "\r\n"}) {
        CAPTURE(bad);
        CHECK_FALSE(read(bad));
        CHECK(rejection.status == 400);
        CHECK_FALSE(rejection.reason.empty());
    }
}

} // namespace willowrill::testing
