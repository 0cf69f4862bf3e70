// What the selection of a worker for one request goes by. Pure values.
#pragma once

#include "system/configuration/configuration.h"
#include "system/routing/prefill_cost.h"
#include "system/routing/prompt.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace willowrill::routing {

// Pointers are not owned and outlive the selection.
struct RoutingRequest {
    const configuration::Route* route = nullptr;
    const configuration::Service* service = nullptr;
    Prompt prompt;
    const PrefillCost* prefill_cost = nullptr; // of the service; null where it is not a model's
    std::set<std::string> tried_workers;       // workers that had this request or could not be reached, by id
};

// What else bounds the selection.
struct SelectionLimits {
    const std::set<std::string>* evacuated = nullptr; // zones; null: none
    std::size_t schedulers = 1;                       // that share the budget of a worker that warms up
    std::function<std::size_t(const std::string&)> cold_rank; // this scheduler's rank in a worker's order
};

} // namespace willowrill::routing
