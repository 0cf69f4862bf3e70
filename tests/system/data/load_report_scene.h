// A scheduler's context with one service, for the parts of the load report exchange.
#pragma once

#include "system/data/context.h"
#include "system/data/probe_assignment.h"

#include <memory>
#include <stdexcept>
#include <string>

namespace willowrill::data {

inline constexpr const char* service_name = "s";

struct LoadReportScene {
    // `node`: of this scheduler, in zone hall-a; hall-b is of the same region, hall-c of another.
    LoadReportScene(asio::io_context& loop, const std::string& node)
        : settings(settings_of(node)), context(loop, settings, 7), assignment(context.selector.location()) {
        auto parsed = configuration::parse(
            R"({"configVersion":1,"routes":[],"services":[{"name":"s","maxConnections":100}]})");
        if (!parsed) throw std::runtime_error(parsed.error().detail);
        context.active_configuration = std::make_shared<const ActiveConfiguration>(
            replication::Position{1, 1}, std::move(parsed.value()), std::set<std::string>{});
    }

    static settings::Settings settings_of(const std::string& node) {
        settings::Settings out;
        out.node_name = node;
        out.zone = "hall-a";
        out.region = "north";
        out.regions = {{"hall-a", "north"}, {"hall-b", "north"}, {"hall-c", "south"}};
        return out;
    }

    routing::Worker& add_worker(const std::string& id, const std::string& zone, const std::string& address) {
        routing::Worker& worker = context.workers[id];
        worker.instance.id = id;
        worker.instance.service = service_name;
        worker.instance.zone = zone;
        worker.instance.address = address;
        worker.instance.capacity = 10;
        return worker;
    }

    settings::Settings settings;
    Context context;
    ProbeAssignment assignment;
};

inline membership::Lease scheduler_lease(const std::string& node, const std::string& zone,
                                         const std::string& region, std::uint16_t peer_port) {
    membership::Lease out;
    out.node = node;
    out.zone = zone;
    out.region = region;
    out.peer_address = "127.0.0.1:" + std::to_string(peer_port);
    out.phase = membership::Phase::ready;
    return out;
}

} // namespace willowrill::data
