// Orders that alter named items: each case of the answer, and long runs compared with a plain model.
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
    const auto taken = willowrill::configuration::apply({}, PutConfiguration{0, first_document().dump()});
    cr_assert(static_cast<bool>(taken), "%s", taken.error().detail.c_str());
    return std::get<ControlState>(taken.value());
}

ControlState patched(const ControlState& state, const json& patch) {
    const auto result =
        willowrill::configuration::apply(state, PatchConfiguration{state.version, patch.dump()});
    cr_assert(static_cast<bool>(result), "%s", result.error().detail.c_str());
    return std::get<ControlState>(result.value());
}

void refused(const std::string& patch, const std::string& part) {
    const ControlState state = first_state();
    const auto result = willowrill::configuration::apply(state, PatchConfiguration{2, patch});
    cr_assert_not(static_cast<bool>(result), "taken: %s", patch.c_str());
    cr_assert(result.error().kind == ErrorKind::invalid_configuration);
    cr_assert_neq(result.error().detail.find(part), std::string::npos, "\"%s\" lacks \"%s\"",
                  result.error().detail.c_str(), part.c_str());
}

void refused(const json& patch, const std::string& part) { refused(patch.dump(), part); }

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

Test(patch, of_nothing_but_a_number_is_a_change) {
    const ControlState state = patched(first_state(), {{"configVersion", 3}});
    cr_assert_eq(state.version, 3U);
}

Test(patch, what_is_wrong_is_named) {
    const json version{{"configVersion", 3}};
    const auto with = [&](const char* key, json value) {
        json out = version;
        out[key] = std::move(value);
        return out;
    };
    refused(std::string("{"), "not JSON");
    refused(std::string("[]"), "type");
    refused(json::object(), "required");
    refused(json{{"configVersion", 2}}, "not above");
    refused(json{{"configVersion", 0}}, "minimum");
    refused(with("limits", {{"maxBodyBytes", 5}}), "additionalProperties");
    refused(with("upsert", {{"nothing", {route("c")}}}), "\"nothing\" is no list");
    refused(with("remove", {{"limits", {"a"}}}), "\"limits\" is no list");
    refused(with("upsert", {{"routes", route("c")}}), "type");
    refused(with("upsert", {{"routes", {{{"host", "h"}}}}}), "required");
    refused(with("upsert", {{"routes", {{{"name", ""}}}}}), "minLength");
    refused(with("upsert", {{"routes", {route("c"), route("c")}}}), "\"c\" stands twice");
    refused(with("remove", {{"routes", {"a", "a"}}}), "\"a\" stands twice");
    json both = with("upsert", {{"routes", {route("a")}}});
    both["remove"] = {{"routes", {"a"}}};
    refused(both, "both upserted and removed");
    refused(std::string(R"({"configVersion":3,"remove":{"routes":["a"]},"remove":{}})"), "stands twice");
    // What comes of it is checked as a whole.
    refused(with("remove", {{"services", {"s"}}}), "no service \"s\"");
    refused(with("upsert", {{"routes", {route("c", "none")}}}), "no service \"none\"");
    refused(with("upsert", {{"routes", {route("c", "s", 0)}}}), "minimum");
    json same_place = route("c");
    same_place["pathPrefix"] = "/a/";
    refused(with("upsert", {{"routes", {same_place}}}), "two routes");
}

Test(patch, a_name_that_stands_twice_in_the_current_configuration_cannot_be_altered) {
    json document = first_document();
    document["routes"][1]["name"] = "a";
    const ControlState state = std::get<ControlState>(
        willowrill::configuration::apply({}, PutConfiguration{0, document.dump()}).value());
    const auto result = willowrill::configuration::apply(
        state, PatchConfiguration{2, R"({"configVersion":3,"remove":{"routes":["a"]}})"});
    cr_assert(result.error().kind == ErrorKind::invalid_configuration);
}

Test(patch, stands_to_versions_and_orders_sent_again_as_a_whole_one_does) {
    const ControlState state = first_state();
    const PatchConfiguration order{2, R"({"configVersion":5})"};
    const ControlState next = std::get<ControlState>(willowrill::configuration::apply(state, order).value());
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(next, order).value()));
    const ControlState later = patched(next, {{"configVersion", 9}});
    cr_assert(std::holds_alternative<Unchanged>(willowrill::configuration::apply(later, order).value()));
    const auto other =
        willowrill::configuration::apply(next, PatchConfiguration{2, R"({"configVersion":6})"});
    cr_assert(other.error().kind == ErrorKind::version_conflict);
    const auto unnamed =
        willowrill::configuration::apply(next, PatchConfiguration{std::nullopt, R"({"configVersion":6})"});
    cr_assert(unnamed.error().kind == ErrorKind::invalid_configuration);
    const auto on_nothing =
        willowrill::configuration::apply({}, PatchConfiguration{0, R"({"configVersion":6})"});
    cr_assert(on_nothing.error().kind == ErrorKind::invalid_configuration);
    // The same bytes as a whole configuration are another order.
    const ControlState put_like = std::get<ControlState>(
        willowrill::configuration::apply({}, PutConfiguration{0, first_document().dump()}).value());
    const auto as_patch =
        willowrill::configuration::apply(put_like, PatchConfiguration{0, first_document().dump()});
    cr_assert(as_patch.error().kind == ErrorKind::version_conflict);
}

// What schedulers make of changes is what they would have read whole, whatever changed.
Test(patch, a_difference_leads_from_one_configuration_to_the_other) {
    std::mt19937_64 random(8);
    const auto draw = [&](int version) {
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
    std::string before = draw(1);
    for (int version = 2; version < 300; ++version) {
        const std::string after = draw(version);
        const auto patch = difference(before, after);
        cr_assert(patch.has_value());
        const auto result = altered(parse(before).value(), *patch);
        cr_assert(static_cast<bool>(result));
        const Configuration whole = parse(after).value();
        cr_assert(by_name(result.value().routes) == by_name(whole.routes), "%s", patch->c_str());
        cr_assert(by_name(result.value().services) == by_name(whole.services));
        cr_assert_eq(result.value().version, whole.version);
        before = after;
    }
    cr_assert_not(difference(before, first_document().dump()).has_value(), "other limits");
    json unnamed = json::parse(before);
    unnamed["routes"].push_back({{"host", "h"}});
    cr_assert_not(difference(before, unnamed.dump()).has_value());
    for (const char* bad : {"{}", "", R"({"configVersion":1,"upsert":{"routes":[7]},"remove":{}})",
                            R"({"configVersion":1,"upsert":{},"remove":{"services":[{}]}})"})
        cr_assert_not(static_cast<bool>(altered(parse(before).value(), bad)), "%s", bad);
}

// Random patches and whole configurations by turns, against maps kept by hand.
Test(patch, agrees_with_a_plain_model) {
    std::mt19937_64 random(3);
    ControlState state = first_state();
    std::map<std::string, json> routes{{"a", route("a")}, {"b", route("b")}};
    Version version = 2;
    int refusals = 0;
    for (int round = 0; round < 500; ++round) {
        auto next = routes;
        json patch{{"configVersion", version + 1},
                   {"upsert", {{"routes", json::array()}}},
                   {"remove", {{"routes", json::array()}}}};
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            const std::string name = fmt::format("r{}", random() % 40);
            const bool named = patch.dump().find("\"" + name + "\"") != std::string::npos;
            if (named) continue;
            if (random() % 3 == 0) {
                patch["remove"]["routes"].push_back(name);
                next.erase(name);
            } else {
                next[name] = route(name, random() % 2 == 0 ? "s" : "t", 1 + static_cast<int>(random() % 9));
                patch["upsert"]["routes"].push_back(next[name]);
            }
        }
        const bool breaks = random() % 5 == 0;
        if (breaks) patch["upsert"]["routes"].push_back(route("broken", "no such service"));
        const auto result =
            willowrill::configuration::apply(state, PatchConfiguration{version, patch.dump()});
        cr_assert_eq(static_cast<bool>(result), !breaks, "round %d: %s", round, patch.dump().c_str());
        if (breaks) {
            ++refusals;
            continue;
        }
        state = decode(encode(std::get<ControlState>(result.value()))).value();
        routes = next;
        ++version;
        std::map<std::string, json> found;
        const json document = json::parse(state.configuration);
        for (const json& item : document["routes"])
            cr_assert(found.emplace(item["name"], item).second);
        cr_assert(found == routes, "round %d: %s, not %s", round, json(found).dump().c_str(),
                  json(routes).dump().c_str());
        cr_assert_eq(state.version, version);
    }
    cr_assert_gt(refusals, 50);
}
