// The input of the selection of a worker for a request.
#pragma once

#include "system/configuration/configuration.h"
#include "system/routing/prefill_cost.h"
#include "system/routing/prompt.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>

namespace willowrill::routing {

// The request to select a worker for. The pointers are not owned and must outlive the selection.
struct RoutingRequest {
    const configuration::Route* route = nullptr;
    const configuration::Service* service = nullptr;
    Prompt prompt;
    const PrefillCost* prefill_cost = nullptr; // of the service; null if the service runs no model
    std::set<std::string> tried_workers; // ids of workers that received this request or were unreachable
};

// Constraints on the selection as of now, whenever the request began.
struct SelectionLimits {
    const std::set<std::string>* evacuated_zones = nullptr; // not owned; null: none
    // The request's route as of now, whose homes bind as well as those of its own; not owned, may be null.
    const configuration::Route* newest_route = nullptr;
    const configuration::Service* newest_service =
        nullptr;                     // the request's, as of now; null: as in the request
    std::size_t scheduler_count = 1; // schedulers that share the budget of a cold worker
    // Returns this scheduler's position, from 0, in the rendezvous order of the worker with the given id.
    std::function<std::size_t(const std::string&)> scheduler_rank;
};

} // namespace willowrill::routing
