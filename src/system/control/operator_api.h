// The operators' interface of a core member: configuration and evacuations. Only the primary answers; the
// others name it, or say at once that they cannot. One thread.
#pragma once

#include "system/control/core_node.h"
#include "system/http_server/server.h"
#include "system/metrics/metrics.h"

#include <set>
#include <string>

namespace willowrill::control {

class OperatorApi {
  public:
    // `zones`: those that can be evacuated.
    OperatorApi(CoreNode& node, MemberId self, std::set<std::string> zones, metrics::Metrics& metrics)
        : node_(node), self_(std::move(self)), zones_(std::move(zones)), metrics_(metrics) {}

    void on_request(const http_server::Request& request, const http_server::Respond& respond);

  private:
    void on_configuration(const http_server::Request& request, const http_server::Respond& respond);
    void on_evacuation(const http_server::Request& request, const http_server::Respond& respond,
                       std::string zone);
    void submit(const http_server::Request& request, const http_server::Respond& respond,
                configuration::Order order);
    bool redirect(const http_server::Request& request, const http_server::Respond& respond) const;

    CoreNode& node_;
    MemberId self_;
    std::set<std::string> zones_;
    metrics::Metrics& metrics_;
};

} // namespace willowrill::control
