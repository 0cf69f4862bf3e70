// Patches of named items: each possible result, and random sequences compared with a reference model.
#include "system/configuration/control_state.h"
#include "system/configuration/patch.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace willowrill::configuration;
using nlohmann::json;
using willowrill::errors::ErrorKind;

namespace {

json route(const std::string& name, const std::string& service = "s", int timeout = 100) {
    return {{"name", name},
            {"host", "h.example"},
            {"pathPrefix", "/" + name + "/"},
            {"routeClass", "safe"},
            {"timeoutMs", timeout},
            {"service", service},
            {"unknown_here", {1.5, nullptr}}};
}

json first_document() {
    return {{"configVersion", 2},
            {"routes", {route("a"), route("b")}},
            {"services", {{{"name", "s"}}, {{"name", "t"}}}},
            {"limits", {{"maxBodyBytes", 1000}}},
            {"kept", "as it is"}};
}

ControlState first_state() {
    const auto result = willowrill::configuration::apply({}, PutConfiguration{0, first_document().dump()});
    cr_assert(static_cast<bool>(result), "%s", result.error().detail.c_str());
    return std::get<ControlState>(result.value());
}

ControlState patched(const ControlState& state, const json& patch) {
    const auto result =
        willowrill::configuration::apply(state, PatchConfiguration{state.version, patch.dump()});
    cr_assert(static_cast<bool>(result), "%s", result.error().detail.c_str());
    return std::get<ControlState>(result.value());
}

void expect_rejected(const std::string& patch, const std::string& expected_detail) {
    const ControlState state = first_state();
    const auto result = willowrill::configuration::apply(state, PatchConfiguration{2, patch});
    cr_assert_not(static_cast<bool>(result), "accepted: %s", patch.c_str());
    cr_assert(result.error().kind == ErrorKind::invalid_configuration);
    cr_assert_neq(result.error().detail.find(expected_detail), std::string::npos, "\"%s\" lacks \"%s\"",
                  result.error().detail.c_str(), expected_detail.c_str());
}

void expect_rejected(const json& patch, const std::string& expected_detail) {
    expect_rejected(patch.dump(), expected_detail);
}

} // namespace

Test(patch, replaces_adds_and_removes_by_name_and_leaves_the_rest) {
    const json patch{{"configVersion", 7},
                     {"upsert", {{"routes", {route("c"), route("b", "t")}}, {"services", {{{"name", "u"}}}}}},
                     {"remove", {{"routes", {"a", "never-there"}}}}};
    const ControlState state = patched(first_state(), patch);
    json expected = first_document();
    expected["configVersion"] = 7;
    expected["routes"] = {route("b", "t"), route("c")};
    expected["services"].push_back({{"name", "u"}});
    cr_assert(json::parse(state.configuration) == expected, "%s", state.configuration.c_str());
    cr_assert_eq(state.version, 7U);
    cr_assert_eq(state.accepted_orders.size(), 2U);
}

Test(patch, numbers_keep_their_kind_and_value) {
    json item = route("a");
    item["x"] = {1.0, 0.1, 18446744073709551615ULL, -3};
    const ControlState state =
        patched(first_state(), {{"configVersion", 3}, {"upsert", {{"routes", {item}}}}});
    cr_assert(json::parse(state.configuration)["routes"][0]["x"].dump() == item["x"].dump());
}

Test(patch, that_only_raises_the_version_is_a_change) {
    const ControlState state = patched(first_state(), {{"configVersion", 3}});
    cr_assert_eq(state.version, 3U);
}

Test(patch, errors_name_the_invalid_element) {
    const json version{{"configVersion", 3}};
    const auto patch_with = [&](const char* key, json value) {
        json patch = version;
        patch[key] = std::move(value);
        return patch;
    };
    expect_rejected(std::string("{"), "not JSON");
    expect_rejected(std::string("[]"), "type");
    expect_rejected(json::object(), "required");
    expect_rejected(json{{"configVersion", 2}}, "not above");
    expect_rejected(json{{"configVersion", 0}}, "minimum");
    expect_rejected(patch_with("limits", {{"maxBodyBytes", 5}}), "additionalProperties");
    expect_rejected(patch_with("upsert", {{"nothing", {route("c")}}}), "\"nothing\" is no list");
    expect_rejected(patch_with("remove", {{"limits", {"a"}}}), "\"limits\" is no list");
    expect_rejected(patch_with("upsert", {{"routes", route("c")}}), "type");
    expect_rejected(patch_with("upsert", {{"routes", {{{"host", "h"}}}}}), "required");
    expect_rejected(patch_with("upsert", {{"routes", {{{"name", ""}}}}}), "minLength");
    expect_rejected(patch_with("upsert", {{"routes", {route("c"), route("c")}}}), "\"c\" stands twice");
    expect_rejected(patch_with("remove", {{"routes", {"a", "a"}}}), "\"a\" stands twice");
    json both = patch_with("upsert", {{"routes", {route("a")}}});
    both["remove"] = {{"routes", {"a"}}};
    expect_rejected(both, "both upserted and removed");
    expect_rejected(std::string(R"({"configVersion":3,"remove":{"routes":["a"]},"remove":{}})"),
                    "stands twice");
    // The resulting configuration is validated as a whole.
    expect_rejected(patch_with("remove", {{"services", {"s"}}}), "no service \"s\"");
    expect_rejected(patch_with("upsert", {{"routes", {route("c", "none")}}}), "no service \"none\"");
    expect_rejected(patch_with("upsert", {{"routes", {route("c", "s", 0)}}}), "minimum");
    json same_place = route("c");
    same_place["pathPrefix"] = "/a/";
    expect_rejected(patch_with("upsert", {{"routes", {same_place}}}), "two routes");
}

Test(patch, a_name_that_occurs_twice_in_the_current_configuration_cannot_be_patched) {
    json document = first_document();
    document["routes"][1]["name"] = "a";
    const ControlState state = std::get<ControlState>(
        willowrill::configuration::apply({}, PutConfiguration{0, document.dump()}).value());
    const auto result = willowrill::configuration::apply(
        state, PatchConfiguration{2, R"({"configVersion":3,"remove":{"routes":["a"]}})"});
    cr_assert(result.error().kind == ErrorKind::invalid_configuration);
}

Test(patch, handles_versions_and_repeated_orders_like_a_complete_configuration) {
    const ControlState state = first_state();
    const PatchConfiguration order{2, R"({"configVersion":5})"};
    const ControlState next = std::get<ControlState>(willowrill::configuration::apply(state, order).value());
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(next, order).value()));
    const ControlState later = patched(next, {{"configVersion", 9}});
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(later, order).value()));
    const auto other =
        willowrill::configuration::apply(next, PatchConfiguration{2, R"({"configVersion":6})"});
    cr_assert(other.error().kind == ErrorKind::version_conflict);
    const auto without_base =
        willowrill::configuration::apply(next, PatchConfiguration{std::nullopt, R"({"configVersion":6})"});
    cr_assert(without_base.error().kind == ErrorKind::invalid_configuration);
    const auto on_empty_state =
        willowrill::configuration::apply({}, PatchConfiguration{0, R"({"configVersion":6})"});
    cr_assert(on_empty_state.error().kind == ErrorKind::invalid_configuration);
    // A patch with the same bytes as a complete configuration is a different order.
    const ControlState after_put = std::get<ControlState>(
        willowrill::configuration::apply({}, PutConfiguration{0, first_document().dump()}).value());
    const auto as_patch =
        willowrill::configuration::apply(after_put, PatchConfiguration{0, first_document().dump()});
    cr_assert(as_patch.error().kind == ErrorKind::version_conflict);
}

// Applying a computed difference gives the same configuration as parsing the new document as a whole.
Test(patch, a_difference_turns_one_configuration_into_the_other) {
    std::mt19937_64 random(8);
    const auto random_document = [&](int version) {
        json routes = json::array();
        for (int i = 0; i < 12; ++i)
            if (random() % 2 == 0)
                routes.push_back(route(fmt::format("r{}", i), random() % 2 == 0 ? "s" : "t",
                                       1 + static_cast<int>(random() % 3)));
        json services = json::array();
        services.push_back({{"name", "t"}, {"coldRateS", random() % 3}});
        services.push_back({{"name", "s"}});
        if (random() % 2 == 0) services.push_back({{"name", "u"}});
        return json{{"configVersion", version}, {"routes", routes}, {"services", services}}.dump();
    };
    const auto by_name = [](auto items) {
        std::ranges::sort(items, {}, [](const auto& item) { return item.name; });
        return items;
    };
    std::string before = random_document(1);
    for (int version = 2; version < 300; ++version) {
        const std::string after = random_document(version);
        const auto patch = difference(before, after);
        cr_assert(patch.has_value());
        const auto result = apply_difference(parse(before).value(), *patch);
        cr_assert(static_cast<bool>(result));
        const Configuration expected = parse(after).value();
        cr_assert(by_name(result.value().routes) == by_name(expected.routes), "%s", patch->c_str());
        cr_assert(by_name(result.value().services) == by_name(expected.services));
        cr_assert_eq(result.value().version, expected.version);
        before = after;
    }
    cr_assert_not(difference(before, first_document().dump()).has_value(), "the limits differ");
    json unnamed = json::parse(before);
    unnamed["routes"].push_back({{"host", "h"}});
    cr_assert_not(difference(before, unnamed.dump()).has_value());
    for (const char* bad : {"{}", "", R"({"configVersion":1,"upsert":{"routes":[7]},"remove":{}})",
                            R"({"configVersion":1,"upsert":{},"remove":{"services":[{}]}})"})
        cr_assert_not(static_cast<bool>(apply_difference(parse(before).value(), bad)), "%s", bad);
}

// Applies random patches and compares each result with a map that is maintained alongside.
Test(patch, agrees_with_a_reference_model) {
    std::mt19937_64 random(3);
    ControlState state = first_state();
    std::map<std::string, json> routes{{"a", route("a")}, {"b", route("b")}};
    Version version = 2;
    int refusals = 0;
    for (int round = 0; round < 500; ++round) {
        auto next_routes = routes;
        json patch{{"configVersion", version + 1},
                   {"upsert", {{"routes", json::array()}}},
                   {"remove", {{"routes", json::array()}}}};
        for (auto change_count = 1 + random() % 4; change_count > 0; --change_count) {
            const std::string name = fmt::format("r{}", random() % 40);
            const bool is_named = patch.dump().find("\"" + name + "\"") != std::string::npos;
            if (is_named) continue;
            if (random() % 3 == 0) {
                patch["remove"]["routes"].push_back(name);
                next_routes.erase(name);
            } else {
                next_routes[name] =
                    route(name, random() % 2 == 0 ? "s" : "t", 1 + static_cast<int>(random() % 9));
                patch["upsert"]["routes"].push_back(next_routes[name]);
            }
        }
        const bool is_invalid = random() % 5 == 0;
        if (is_invalid) patch["upsert"]["routes"].push_back(route("broken", "no such service"));
        const auto result =
            willowrill::configuration::apply(state, PatchConfiguration{version, patch.dump()});
        cr_assert_eq(static_cast<bool>(result), !is_invalid, "round %d: %s", round, patch.dump().c_str());
        if (is_invalid) {
            ++refusals;
            continue;
        }
        state = decode(encode(std::get<ControlState>(result.value()))).value();
        routes = next_routes;
        ++version;
        std::map<std::string, json> found_routes;
        const json document = json::parse(state.configuration);
        for (const json& item : document["routes"])
            cr_assert(found_routes.emplace(item["name"], item).second);
        cr_assert(found_routes == routes, "round %d: %s, not %s", round, json(found_routes).dump().c_str(),
                  json(routes).dump().c_str());
        cr_assert_eq(state.version, version);
    }
    cr_assert_gt(refusals, 50);
}
