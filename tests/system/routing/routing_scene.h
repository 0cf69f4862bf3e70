// A scheduler in zone north-a, a route with one service, and workers to choose among.
#pragma once

#include "system/routing/selector.h"

#include <set>
#include <string>

namespace willowrill::routing {

struct Scene {
    Scene() {
        service.name = "s";
        service.has_engine = true;
        service.cache_tokens = 100000;
        route.distribution = {{"s", 1}};
        request.route = &route;
        request.service = &service;
        limits.evacuated = &evacuated;
        limits.cold_rank = [](const std::string&) { return std::size_t{0}; };
    }
    Worker& add(const std::string& id, const std::string& zone) {
        Worker& worker = workers[id];
        worker.instance.id = id;
        worker.instance.service = "s";
        worker.instance.zone = zone;
        worker.instance.capacity = 10;
        return worker;
    }
    std::string choose(int at_ms = 1000) {
        const Selection selection = selector.choose(Time(at_ms), workers, request, limits, cold);
        return selection.worker == nullptr ? "" : selection.worker->instance.id;
    }

    Selector selector{
        {"north-a", "north", {{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}}, 1};
    Workers workers;
    configuration::Route route;
    configuration::Service service;
    std::set<std::string> evacuated;
    RoutingRequest request;
    SelectionLimits limits;
    budget::ColdBudget cold{{1.5, 5}};
};

inline LoadReport report(int as_of, std::size_t active) {
    LoadReport out;
    out.as_of = Time(as_of);
    out.active = active;
    return out;
}

} // namespace willowrill::routing
