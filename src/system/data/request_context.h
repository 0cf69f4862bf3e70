// What the attempts of one client request share. Owned by its `ProxiedRequest`. One thread.
#pragma once

#include "system/data/context.h"
#include "system/data/request_deadline.h"
#include "system/data/retry_state.h"
#include "system/data/upstream_request.h"
#include "system/routing/routing_request.h"

#include <string>
#include <utility>

namespace willowrill::data {

struct RequestContext {
    // The route and the service are those of the configuration.
    RequestContext(Context& context, const ClientRequest& client_request, ActiveConfigurationPtr active,
                   const configuration::Route& its_route, const configuration::Service& its_service,
                   const RequestDeadline& its_deadline)
        : data_plane(context), request(client_request), began_with(std::move(active)), route(its_route),
          service(its_service), attempt_id(text(client_request["Attempt-Id"])), deadline(its_deadline),
          retry(route, deadline) {}

    Context& data_plane;
    const ClientRequest& request;
    const ActiveConfigurationPtr began_with; // the newest configuration when the request was complete
    const configuration::Route& route;
    const configuration::Service& service;
    std::string attempt_id;
    RequestDeadline deadline;
    RetryState retry;
    routing::RoutingRequest routing_request;
    UsedConnections used_connections;
    std::string last_event_id; // of the stream that the client gets; empty where it has none

    // Its route in the configuration that is active now; null where that has none.
    const configuration::Route* newest_route() const {
        if (data_plane.active_configuration == began_with) return &route;
        return data_plane.active_configuration->routes.find(text(request[http::field::host]),
                                                            path_of(request));
    }
    // Its service with the settings of now, where the active configuration still has it.
    const configuration::Service& newest_service() const {
        if (data_plane.active_configuration == began_with) return service;
        const auto* newest = data_plane.active_configuration->configuration.find_service(service.name);
        return newest == nullptr ? service : *newest;
    }
    // By the newest state: it binds each send, whenever the request began. Valid until the next one is
    // activated.
    routing::SelectionLimits selection_limits() const {
        routing::SelectionLimits limits;
        limits.evacuated_zones = &data_plane.active_configuration->evacuated;
        limits.newest_route = newest_route();
        limits.newest_service = &newest_service();
        limits.scheduler_count = data_plane.schedulers;
        return limits;
    }
    routing::Time remaining_time() const { return deadline.remaining_time(steady_now()); }
};

} // namespace willowrill::data
