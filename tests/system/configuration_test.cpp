// Configurations: what is refused and why, which route a request takes, and orders against a plain model.
#include "configuration/control_state.h"

#include "expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <map>
#include <random>
#include <string>

using namespace willowrill::configuration;
using willowrill::errors::ErrorKind;

namespace {

std::string route(const std::string& prefix, const std::string& rest = R"("timeoutMs":100,"service":"s")") {
    return fmt::format(R"({{"name":"r","host":"h.example","pathPrefix":"{}","routeClass":"safe",{}}})",
                       prefix, rest);
}

std::string document(const std::string& routes, int version = 2,
                     const std::string& services = R"({"name":"s"})") {
    return fmt::format(R"({{"configVersion":{},"routes":[{}],"services":[{}]}})", version, routes, services);
}

void refused(const std::string& text, const std::string& part) {
    const auto parsed = parse(text);
    cr_assert_not(static_cast<bool>(parsed), "taken: %s", text.c_str());
    cr_assert(parsed.error().kind == ErrorKind::invalid_configuration);
    cr_assert_neq(parsed.error().detail.find(part), std::string::npos, "\"%s\" lacks \"%s\"",
                  parsed.error().detail.c_str(), part.c_str());
}

} // namespace

Test(configuration, a_good_one_is_read_whole) {
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
    cr_assert_eq(first.longest_gap.count(), 400);
    cr_assert_eq(first.home_regions.size(), 1U);
    cr_assert_eq(read.find_service("s")->cold_start.count(), 3000);
    cr_assert_eq(read.find_service("s")->engine_capacity, 64U);
    cr_assert_eq(read.limits.max_header_bytes, 1000U);
}

Test(configuration, what_is_wrong_is_named) {
    refused("", "not JSON");
    refused(document(route("/a/")).substr(0, 60), "not JSON");
    refused("[]", "type");
    refused(R"({"configVersion":2,"routes":[]})", "required");
    refused(document(route("/a/"), 0), "minimum");
    refused(document(route("/a/", R"("timeoutMs":0,"service":"s")")), "minimum");
    refused(document(route("/a/", R"("timeoutMs":0.5,"service":"s")")), "timeoutMs");
    refused(document(route("/a/", R"("timeoutMs":9,"service":"none")")), "no service");
    refused(document(route("/a/", R"("timeoutMs":9)")), "weights");
    refused(document(route("/a/", R"("timeoutMs":9,"distribution":[{"service":"s","weight":0}])")),
            "weights");
    refused(document(route("/a/", R"("timeoutMs":9,"distribution":[{"service":"s","weight":-1}])")),
            "minimum");
    refused(document(route("/a/") + "," + route("/a/")), "two routes");
    refused(document(route("a/")), "pattern");
    refused(document(route("/a/"), 2, R"({"name":"s"},{"name":"s"})"), "stands twice");
    refused(document(route("/a/", R"("timeoutMs":9,"timeoutMs":8,"service":"s")")), "stands twice");
}

// Against a plain search over all routes.
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
        std::string best;
        for (const auto& [prefix, index] : prefixes)
            if (path.compare(0, prefix.size(), prefix) == 0 && prefix.size() > best.size()) best = prefix;
        const Route* found = table.find("H:80", path);
        cr_assert_eq(found == nullptr, best.empty());
        if (found != nullptr) expect_text(found->path_prefix.c_str(), best.c_str());
        cr_assert_null(table.find("other", path));
    }
}

Test(orders, two_on_one_version_and_the_same_again) {
    const PutConfiguration first{0, document(route("/a/"), 3)}, other{0, document(route("/b/"), 3)};
    auto state = std::get<ControlState>(willowrill::configuration::apply({}, first).value());
    cr_assert_eq(state.version, 3U);
    cr_assert(willowrill::configuration::apply(state, other).error().kind == ErrorKind::version_conflict);
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(state, first).value()),
              "acknowledged again");
    state = std::get<ControlState>(
        willowrill::configuration::apply(state, PutConfiguration{3, document(route("/c/"), 9)}).value());
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(state, first).value()),
              "also after a later one");
    cr_assert(willowrill::configuration::apply(state, PutConfiguration{9, document(route("/d/"), 9)})
                  .error()
                  .kind == ErrorKind::invalid_configuration);
    cr_assert(
        willowrill::configuration::apply(state, PutConfiguration{std::nullopt, document(route("/d/"), 10)})
            .error()
            .kind == ErrorKind::invalid_configuration);
}

// Random orders, each compared with a list kept by hand; the state goes through its encoding at every step.
Test(orders, agree_with_a_plain_model) {
    std::mt19937_64 random(9);
    ControlState state;
    Version version = 0;
    std::string text;
    std::set<std::string> zones;
    std::vector<PutConfiguration> taken;
    for (int i = 0; i < 2000; ++i) {
        Order order;
        bool changes = false, fails = false;
        const auto kind = random() % 4;
        if (kind == 0) {
            const std::string zone(1, static_cast<char>('a' + random() % 3));
            order = Evacuate{zone};
            changes = zones.insert(zone).second;
        } else if (kind == 1) {
            const std::string zone(1, static_cast<char>('a' + random() % 3));
            order = EndEvacuation{zone};
            changes = zones.erase(zone) > 0;
        } else if (kind == 2 && !taken.empty()) {
            order = taken[random() % taken.size()];
        } else {
            const Version based = version - std::min<Version>(version, random() % 2);
            const int next =
                std::max(1, static_cast<int>(version + random() % 3)); // 0 would break the schema
            const PutConfiguration put{based, document(route(fmt::format("/{}/", i)), next)};
            order = put;
            fails = based != version || static_cast<Version>(next) <= version;
            changes = !fails;
            if (changes) {
                version = static_cast<Version>(next);
                text = put.body;
                taken.push_back(put);
            }
        }
        const auto applied = willowrill::configuration::apply(state, order);
        cr_assert_eq(static_cast<bool>(applied), !fails, "order %d", i);
        if (!applied) continue;
        cr_assert_eq(std::holds_alternative<ControlState>(applied.value()), changes, "order %d", i);
        if (changes) state = decode(encode(std::get<ControlState>(applied.value()))).value();
        cr_assert_eq(state.version, version);
        expect_text(state.configuration.c_str(), text.c_str());
        cr_assert(state.evacuated_zones == zones);
    }
    cr_assert_gt(taken.size(), 100U);
}

Test(orders, a_state_that_cannot_be_read_is_an_error) {
    cr_assert_not(static_cast<bool>(decode("{")));
    cr_assert_not(static_cast<bool>(decode(R"({"version":1})")));
    cr_assert_eq(decode("").value().version, 0U);
}
