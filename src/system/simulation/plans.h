// The named kinds of random histories that the tests and `willowrill-check histories` play. Plain values.
#pragma once

#include "system/simulation/scenario.h"

#include <optional>
#include <string_view>
#include <vector>

namespace willowrill::simulation {

struct Plan {
    std::string_view name;
    std::string_view description; // a phrase for a table
    Scenario scenario;
};

// All plans, in the order in which they are listed to a person.
const std::vector<Plan>& plans();

// The scenario of the plan with this name; nothing where there is none.
std::optional<Scenario> find_plan(std::string_view name);

} // namespace willowrill::simulation
