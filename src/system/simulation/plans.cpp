#include "system/simulation/plans.h"

#include <algorithm>

namespace willowrill::simulation {
namespace {

Scenario six_members() {
    Scenario out;
    out.members = 6;
    out.tolerated = 2;
    return out;
}

Scenario five_members() {
    Scenario out;
    out.members = 5;
    return out;
}

Scenario with_frequent_faults(Scenario out) {
    out.fault_gap = Time(700);
    out.length = Time(60000);
    return out;
}

Scenario with_many_orders() {
    Scenario out;
    out.operators.operators = 5;
    out.operators.shortest_pause = Time(20);
    out.operators.pause_spread = 100;
    out.operators.lost_answers = 0.5;
    return out;
}

Scenario with_long_cuts() {
    Scenario out;
    out.max_fault = Time(20000);
    out.length = Time(60000);
    out.fault_gap = Time(8000);
    return out;
}

Scenario with_replacements_beside_cuts() {
    Scenario out;
    out.replacements = false;
    out.replacements_beside_cuts = true;
    out.length = Time(60000);
    out.fault_gap = Time(9000);
    return out;
}

Scenario with_upgrades() {
    Scenario out;
    out.upgrades = true;
    out.length = Time(40000);
    return out;
}

Scenario with_a_failing_primary() {
    Scenario out;
    out.fails_as_primary = true;
    return out;
}

} // namespace

const std::vector<Plan>& plans() {
    static const std::vector<Plan> all{
        {"three", "three members", {}},
        {"three-frequent", "three, faults every 0.7 s", with_frequent_faults({})},
        {"three-many", "three, five operators", with_many_orders()},
        {"three-long-cuts", "three, cuts of up to 20 s", with_long_cuts()},
        {"three-replaced", "three, two replaced while the first successor does not reach the second to go",
         with_replacements_beside_cuts()},
        {"three-upgrades", "three, members that change their version", with_upgrades()},
        {"three-failing-primary", "three, one fails whenever it is the primary", with_a_failing_primary()},
        {"five", "five members", five_members()},
        {"six", "six members, two of whom may be lost", six_members()},
        {"six-frequent", "six, faults every 0.7 s", with_frequent_faults(six_members())},
    };
    return all;
}

std::optional<Scenario> find_plan(std::string_view name) {
    const auto found = std::ranges::find(plans(), name, &Plan::name);
    if (found == plans().end()) return std::nullopt;
    return found->scenario;
}

} // namespace willowrill::simulation
