// Parsing and validation of configurations, route lookup, and orders compared with a reference model.
#include "system/configuration/control_state.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <map>
#include <random>
#include <string>

using namespace willowrill::configuration;
using willowrill::errors::ErrorKind;

namespace {

std::string route(const std::string& prefix,
                  const std::string& other_members = R"("timeoutMs":100,"service":"s")") {
    return fmt::format(R"({{"name":"r","host":"h.example","pathPrefix":"{}","routeClass":"safe",{}}})",
                       prefix, other_members);
}

std::string document(const std::string& routes, int version = 2,
                     const std::string& services = R"({"name":"s"})") {
    return fmt::format(R"({{"configVersion":{},"routes":[{}],"services":[{}]}})", version, routes, services);
}

void expect_rejected(const std::string& text, const std::string& expected_detail) {
    const auto parsed = parse(text);
    cr_assert_not(static_cast<bool>(parsed), "accepted: %s", text.c_str());
    cr_assert(parsed.error().kind == ErrorKind::invalid_configuration);
    cr_assert_neq(parsed.error().detail.find(expected_detail), std::string::npos, "\"%s\" lacks \"%s\"",
                  parsed.error().detail.c_str(), expected_detail.c_str());
}

} // namespace

Test(configuration, a_valid_configuration_is_parsed_completely) {
    const std::string text =
        R"({"configVersion":7,"routes":[{"name":"r","host":"H.example:80","pathPrefix":"/a/",
        "routeClass":"streaming","timeoutMs":15000,"targetMs":1000,"priority":1,"distribution":[
        {"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"affinity":true,
        "resumable":true,
        "gap_aim_ms":400,"homeRegions":["north"],"later":1}],"services":[{"name":"s","maxConnections":390,
        "coldStartS":3.0,"coldRateS":10.0,"engine":{"capacity":64,"cacheTokens":491479}},{"name":"t"}],
        "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    const auto parsed = parse(text);
    cr_assert(static_cast<bool>(parsed));
    const Configuration& read = parsed.value();
    cr_assert_eq(read.version, 7U);
    const Route& first = read.routes.at(0);
    expect_text(first.host.c_str(), "h.example");
    cr_assert(first.route_class == RouteClass::streaming && first.repeatable() && first.affinity);
    cr_assert_eq(first.distribution.size(), 2U);
    cr_assert_eq(first.max_gap.count(), 400);
    cr_assert_eq(first.home_regions.size(), 1U);
    cr_assert_eq(read.find_service("s")->cold_start.count(), 3000);
    cr_assert_eq(read.find_service("s")->engine_capacity, 64U);
    cr_assert_eq(read.limits.max_header_bytes, 1000U);
}

Test(configuration, errors_name_the_invalid_element) {
    expect_rejected("", "not JSON");
    expect_rejected(document(route("/a/")).substr(0, 60), "not JSON");
    expect_rejected("[]", "type");
    expect_rejected(R"({"configVersion":2,"routes":[]})", "required");
    expect_rejected(document(route("/a/"), 0), "minimum");
    expect_rejected(document(route("/a/", R"("timeoutMs":0,"service":"s")")), "minimum");
    expect_rejected(document(route("/a/", R"("timeoutMs":0.5,"service":"s")")), "timeoutMs");
    expect_rejected(document(route("/a/", R"("timeoutMs":9,"service":"none")")), "no service");
    expect_rejected(document(route("/a/", R"("timeoutMs":9)")), "weights");
    expect_rejected(document(route("/a/", R"("timeoutMs":9,"distribution":[{"service":"s","weight":0}])")),
                    "weights");
    expect_rejected(document(route("/a/", R"("timeoutMs":9,"distribution":[{"service":"s","weight":-1}])")),
                    "minimum");
    expect_rejected(document(route("/a/") + "," + route("/a/")), "two routes");
    expect_rejected(document(route("a/")), "pattern");
    expect_rejected(document(route("/a/"), 2, R"({"name":"s"},{"name":"s"})"), "stands twice");
    expect_rejected(document(route("/a/", R"("timeoutMs":9,"timeoutMs":8,"service":"s")")), "stands twice");
    expect_rejected(R"({"configVersion":2,"routes":)" + std::string(1'000'000, '['), "deep");
}

// Compares the route table with a linear search over all routes.
Test(configuration, the_longest_prefix_wins) {
    std::mt19937_64 random(4);
    for (int round = 0; round < 200; ++round) {
        std::map<std::string, int> prefixes;
        Configuration configuration;
        for (int i = 0; i < 12; ++i) {
            std::string prefix = "/";
            for (auto depth = random() % 4; depth > 0; --depth)
                prefix += std::string(1, static_cast<char>('a' + random() % 2)) + "/";
            if (!prefixes.emplace(prefix, i).second) continue;
            Route added;
            added.host = "h";
            added.path_prefix = prefix;
            configuration.routes.push_back(added);
        }
        const RouteTable table(configuration);
        std::string path = "/";
        for (int depth = 0; depth < 4; ++depth)
            path += std::string(1, static_cast<char>('a' + random() % 2)) + "/";
        std::string expected_prefix;
        for (const auto& [prefix, index] : prefixes)
            if (path.compare(0, prefix.size(), prefix) == 0 && prefix.size() > expected_prefix.size())
                expected_prefix = prefix;
        const Route* found = table.find("H:80", path);
        cr_assert_eq(found == nullptr, expected_prefix.empty());
        if (found != nullptr) expect_text(found->path_prefix.c_str(), expected_prefix.c_str());
        cr_assert_null(table.find("other", path));
    }
}

Test(orders, conflicting_orders_are_refused_and_repeated_ones_acknowledged) {
    const PutConfiguration first{0, document(route("/a/"), 3)}, other{0, document(route("/b/"), 3)};
    auto state = std::get<ControlState>(willowrill::configuration::apply({}, first).value());
    cr_assert_eq(state.version, 3U);
    cr_assert(willowrill::configuration::apply(state, other).error().kind == ErrorKind::version_conflict);
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(state, first).value()),
              "a repeated order is acknowledged");
    state = std::get<ControlState>(
        willowrill::configuration::apply(state, PutConfiguration{3, document(route("/c/"), 9)}).value());
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(state, first).value()),
              "a repeated order is acknowledged after a later order too");
    cr_assert(willowrill::configuration::apply(state, PutConfiguration{9, document(route("/d/"), 9)})
                  .error()
                  .kind == ErrorKind::invalid_configuration);
    cr_assert(
        willowrill::configuration::apply(state, PutConfiguration{std::nullopt, document(route("/d/"), 10)})
            .error()
            .kind == ErrorKind::invalid_configuration);
}

// Applies random orders and compares each result with a reference model. The state is encoded and decoded at
// every step.
Test(orders, agree_with_a_reference_model) {
    std::mt19937_64 random(9);
    ControlState state;
    Version expected_version = 0;
    std::string expected_configuration;
    std::set<std::string> expected_zones;
    std::vector<PutConfiguration> accepted;
    for (int i = 0; i < 2000; ++i) {
        Order order;
        bool changes_state = false, is_refused = false;
        const auto kind = random() % 4;
        if (kind == 0) {
            const std::string zone(1, static_cast<char>('a' + random() % 3));
            order = Evacuate{zone};
            changes_state = expected_zones.insert(zone).second;
        } else if (kind == 1) {
            const std::string zone(1, static_cast<char>('a' + random() % 3));
            order = EndEvacuation{zone};
            changes_state = expected_zones.erase(zone) > 0;
        } else if (kind == 2 && !accepted.empty()) {
            order = accepted[random() % accepted.size()];
        } else {
            const Version based_on = expected_version - std::min<Version>(expected_version, random() % 2);
            const int next_version =
                std::max(1, static_cast<int>(expected_version + random() % 3)); // the schema does not allow 0
            const PutConfiguration put{based_on, document(route(fmt::format("/{}/", i)), next_version)};
            order = put;
            is_refused =
                based_on != expected_version || static_cast<Version>(next_version) <= expected_version;
            changes_state = !is_refused;
            if (changes_state) {
                expected_version = static_cast<Version>(next_version);
                expected_configuration = put.body;
                accepted.push_back(put);
            }
        }
        const auto applied = willowrill::configuration::apply(state, order);
        cr_assert_eq(static_cast<bool>(applied), !is_refused, "order %d", i);
        if (!applied) continue;
        cr_assert_eq(std::holds_alternative<ControlState>(applied.value()), changes_state, "order %d", i);
        if (changes_state) state = decode(encode(std::get<ControlState>(applied.value()))).value();
        cr_assert_eq(state.version, expected_version);
        expect_text(state.configuration.c_str(), expected_configuration.c_str());
        cr_assert(state.evacuated_zones == expected_zones);
    }
    cr_assert_gt(accepted.size(), 100U);
}

namespace {

ControlState applied(const ControlState& state, const Order& order) {
    const auto result = willowrill::configuration::apply(state, order);
    cr_assert(static_cast<bool>(result), "%s", result.error().detail.c_str());
    return std::get<ControlState>(result.value());
}

PutConfiguration change(Version based_on, int version) {
    return {based_on, document(route(fmt::format("/{}/", version)), version)};
}

} // namespace

// More orders than are kept: the newest are acknowledged again; for the oldest, the outcome is reported as
// unknown.
Test(orders, a_repeated_order_is_acknowledged_or_unknown_and_never_refused) {
    ControlState state;
    const int order_count = static_cast<int>(max_accepted_orders) + 200;
    for (int version = 1; version <= order_count; ++version)
        state = applied(state, change(static_cast<Version>(version - 1), version));
    state = decode(encode(state)).value();
    cr_assert_eq(state.accepted_orders.size(), max_accepted_orders);
    int acknowledged = 0, unknown = 0;
    for (int version = 1; version <= order_count; ++version) {
        const auto repeated =
            willowrill::configuration::apply(state, change(static_cast<Version>(version - 1), version));
        if (repeated) {
            cr_assert(std::holds_alternative<Unchanged>(repeated.value()));
            ++acknowledged;
        } else {
            cr_assert(repeated.error().kind == ErrorKind::outcome_forgotten, "version %d", version);
            cr_assert_geq(willowrill::errors::answer_to(repeated.error().kind).status, 500U);
            ++unknown;
        }
    }
    cr_assert_eq(acknowledged, static_cast<int>(max_accepted_orders));
    cr_assert_eq(unknown, 200);
    // An order that was certainly not accepted is refused.
    const auto outdated = willowrill::configuration::apply(
        state, change(static_cast<Version>(order_count - 1), order_count + 5));
    cr_assert(outdated.error().kind == ErrorKind::version_conflict);
}

Test(orders, orders_of_one_version_with_different_bodies_are_distinct) {
    const ControlState state = applied({}, change(0, 5));
    const PutConfiguration other{0, document(route("/other/"), 5)};
    cr_assert(willowrill::configuration::apply(state, other).error().kind == ErrorKind::version_conflict);
    PutConfiguration other_base = change(0, 5);
    other_base.based_on = 3;
    cr_assert_not(static_cast<bool>(willowrill::configuration::apply(state, other_base)));
}

// The hashed text separates the version from the body: "1" and "2:..." differ from "12" and ":...".
Test(orders, the_digest_of_an_order_separates_version_and_body) {
    const ControlState state = applied({}, change(0, 5));
    cr_assert_neq(state.accepted_orders.at(0).digest.size(), 0U);
    const ControlState other = applied({}, PutConfiguration{0, " " + change(0, 5).body});
    cr_assert(!(state.accepted_orders.at(0).digest == other.accepted_orders.at(0).digest));
}

// SHA-256 by its published test vector: "0:" and the body are what is hashed.
Test(orders, the_digest_is_a_sha_256_that_survives_encoding) {
    const ControlState state = applied({}, change(0, 5));
    const ControlState decoded = decode(encode(state)).value();
    cr_assert(decoded.accepted_orders == state.accepted_orders);
    cr_assert_not(static_cast<bool>(decode(
        R"({"version":1,"configuration":"","evacuated":[],"taken":[["00",1]],"forgotten_through":0})")));
    cr_assert_not(static_cast<bool>(
        decode(R"({"version":1,"configuration":"","evacuated":[],"taken":[[7,1]],"forgotten_through":0})")));
}

Test(orders, a_repeated_evacuation_takes_effect_after_it_was_ended) {
    ControlState state = applied({}, Evacuate{"a"});
    state = applied(state, EndEvacuation{"a"});
    state = applied(state, Evacuate{"a"});
    cr_assert(state.evacuated_zones.contains("a"));
}

// The routes of 830 tenants fit, and so do five times as many. A state that members cannot store is refused
// before it is proposed: because its encoding is too long, or because it does not compress into a record.
Test(orders, a_state_too_large_to_be_stored_is_refused_as_such) {
    const auto with_routes = [](int routes, int random_bytes) {
        std::mt19937_64 random(7);
        std::string text;
        for (int i = 0; i < routes; ++i) {
            std::string name;
            while (static_cast<int>(name.size()) < random_bytes)
                name += fmt::format("{:016x}", random());
            text += (i > 0 ? "," : "") + route(fmt::format("/r{}{}/", i, name));
        }
        return document(text, 5);
    };
    const auto expect_too_large = [&](int routes, int random_bytes) {
        const PutConfiguration order{0, with_routes(routes, random_bytes)};
        const auto result = willowrill::configuration::apply({}, order);
        cr_assert_not(static_cast<bool>(result));
        cr_assert(result.error().kind == ErrorKind::state_too_large);
        cr_assert_eq(willowrill::errors::answer_to(result.error().kind).status, 413U);
    };
    const ControlState state = applied({}, PutConfiguration{0, with_routes(5 * 4 * 830, 0)});
    cr_assert_gt(encode(state).size(), max_record_bytes);
    cr_assert_leq(encode(state).size(), max_state_bytes);
    expect_too_large(100'000, 0);
    expect_too_large(10'000, 320);
}

// The format in which members of an earlier version have stored the state.
Test(orders, a_state_with_its_configuration_in_the_json_object_is_decoded) {
    const auto old = decode(
        R"({"version":3,"configuration":"{\"a\":1}","evacuated":["z"],"taken":[],"forgotten_through":2})");
    cr_assert(static_cast<bool>(old));
    cr_assert_eq(old.value().version, 3U);
    expect_text(old.value().configuration, R"({"a":1})");
    cr_assert(old.value().evacuated_zones.contains("z"));
}

Test(orders, a_state_that_cannot_be_read_is_an_error) {
    cr_assert_not(static_cast<bool>(decode("{")));
    cr_assert_not(static_cast<bool>(decode(R"({"version":1})")));
    cr_assert_eq(decode("").value().version, 0U);
}

// ---- Cluster versions ------------------------------------------------------------------------------------

Test(orders, an_upgrade_is_finished_once_and_never_goes_back) {
    const ControlState before;
    const ControlState after = applied(before, FinishUpgrade{4});
    cr_assert_eq(after.cluster_version, 4);
    for (const int version : {3, 4})
        cr_assert(std::holds_alternative<Unchanged>(apply(after, FinishUpgrade{version}).value()));
    const auto beyond = apply(after, FinishUpgrade{willowrill::protocol::supported_versions.max + 1});
    cr_assert(beyond.error().kind == ErrorKind::upgrade_blocked);
}

Test(orders, a_state_keeps_its_cluster_version_through_other_orders_and_its_encoding) {
    ControlState state = applied({}, FinishUpgrade{4});
    state = applied(state, PutConfiguration{0, document(route("/a/"), 2)});
    state = applied(state, Evacuate{"hall-a"});
    const auto read = decode(encode(state));
    cr_assert_eq(read.value().cluster_version, 4);
    cr_assert_eq(read.value().version, 2);
    cr_assert(read.value().evacuated_zones.contains("hall-a"));
    cr_assert(read.value().accepted_orders == state.accepted_orders);
    expect_text(read.value().configuration, state.configuration);
    cr_assert_eq(cluster_version_of(encode(state)), 4);
}

// A program of version 3 reads `version` on the first line, so it must be there until the upgrade is
// finished.
Test(orders, before_an_upgrade_is_finished_states_keep_the_old_format) {
    const ControlState state = applied({}, Evacuate{"hall-a"});
    expect_text(encode(state),
                "{\"evacuated\":[\"hall-a\"],\"forgotten_through\":0,\"taken\":[],\"version\":0}\n");
    const std::string upgraded = encode(applied(state, FinishUpgrade{4}));
    cr_assert_eq(upgraded.find("{\"cluster_version\":4,"), 0U);
    cr_assert_eq(upgraded.find("\"version\":0"), upgraded.rfind("\"version\":0"));
    cr_assert_eq(upgraded.find("{\"evacuated\""), upgraded.find("\"orders\":") + 9);
}

Test(orders, a_state_of_a_later_cluster_version_is_refused_as_such) {
    std::string later = encode(applied({}, FinishUpgrade{4}));
    later.replace(later.find(":4"), 2, ":5");
    const auto read = decode(later);
    cr_assert(read.error().kind == ErrorKind::unsupported_version);
    cr_assert(read.error().detail.find("cluster version 5") != std::string::npos);
}

// Guards against rule CONFIG: text that is not UTF-8 was acknowledged, and another text was read back.
Test(orders, text_that_is_not_utf8_is_refused_by_its_field_and_byte) {
    const ControlState state = applied({}, change(0, 5));
    const std::string name = R"("name":"r")";
    for (const std::string& bytes :
         {std::string("\xE7"), std::string("\xC3"), std::string("\xC0\x80"), std::string("\xED\xA0\x80"),
          std::string("\xF4\x90\x80\x80"), std::string("\xE7\x9B"), std::string("\x80")}) {
        std::string body = document(route("/b/"), 6);
        const std::size_t at = body.find(name) + name.size() - 1;
        body.insert(at, bytes);
        const auto refused = willowrill::configuration::apply(state, PutConfiguration{5, body});
        cr_assert(!refused && refused.error().kind == ErrorKind::invalid_configuration);
        expect_text(refused.error().detail.c_str(),
                    fmt::format("not UTF-8 at byte {}, in #/routes/0/name", at).c_str());
    }
    const std::string patch = "{\"configVersion\":6,\"routes\":{\"remove\":[\"r\xE7\"]}}";
    const auto refused = willowrill::configuration::apply(state, PatchConfiguration{5, patch});
    cr_assert(!refused);
    expect_text(refused.error().detail.c_str(), "not UTF-8 at byte 41, in #/routes/remove/0");
    const auto key = willowrill::configuration::apply(state, PutConfiguration{5, "{\"\xE7\":1}"});
    expect_text(key.error().detail.c_str(), "not UTF-8 at byte 2, in #");
    const auto no_json = willowrill::configuration::apply(state, PutConfiguration{5, "\xFF"});
    expect_text(no_json.error().detail.c_str(), "not UTF-8 at byte 0");
}

Test(orders, text_in_utf8_is_kept_byte_for_byte) {
    std::string body = document(route("/b/"), 6);
    body.insert(body.find(R"("name":"r")") + 9, "\xC3\xA7\xE2\x82\xAC\xF0\x9F\x8E\xB5");
    const ControlState state = applied(applied({}, change(0, 5)), PutConfiguration{5, body});
    expect_text(state.configuration.c_str(), body.c_str());
}

// An order that an earlier version took, and its text, stay as they are.
Test(orders, what_was_accepted_before_is_acknowledged_and_read_whatever_its_bytes) {
    std::string body = document(route("/b/"), 6);
    body.insert(body.find(R"("name":"r")") + 9, "\xE7");
    ControlState state = applied({}, PutConfiguration{0, change(0, 6).body});
    state.configuration = body;
    const auto patched = willowrill::configuration::apply(
        state, PatchConfiguration{6, R"({"configVersion":7,"upsert":{"services":[{"name":"t"}]}})"});
    cr_assert(static_cast<bool>(patched), "%s", patched ? "" : patched.error().detail.c_str());
    cr_assert(static_cast<bool>(parse(body)));
}
