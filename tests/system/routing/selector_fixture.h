// A fixture for tests of worker selection: a scheduler in zone north-a and a route with one service.
#pragma once

#include "system/routing/selector.h"

#include <set>
#include <string>

namespace willowrill::routing {

struct SelectorFixture {
    SelectorFixture() {
        service.name = "s";
        service.has_engine = true;
        service.cache_tokens = 100000;
        route.distribution = {{"s", 1}};
        request.route = &route;
        request.service = &service;
        limits.evacuated_zones = &evacuated_zones;
        limits.scheduler_rank = [](const std::string&) { return std::size_t{0}; };
    }
    Worker& add_worker(const std::string& id, const std::string& zone) {
        Worker& worker = workers[id];
        worker.instance.id = id;
        worker.instance.service = "s";
        worker.instance.zone = zone;
        worker.instance.capacity = 10;
        return worker;
    }
    // Returns the instance id of the selected worker; empty if there is none.
    std::string choose(int now_ms = 1000) {
        const Selection selection = selector.choose(Time(now_ms), workers, request, limits, cold_budget);
        return selection.worker == nullptr ? "" : selection.worker->instance.id;
    }

    Selector selector{
        {"north-a", "north", {{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}}, 1};
    Workers workers;
    configuration::Route route;
    configuration::Service service;
    std::set<std::string> evacuated_zones;
    RoutingRequest request;
    SelectionLimits limits;
    budget::ColdBudget cold_budget{{1.5, 5}};
};

inline LoadReport make_report(int as_of_ms, std::size_t active) {
    LoadReport report;
    report.as_of = Time(as_of_ms);
    report.active = active;
    return report;
}

} // namespace willowrill::routing
