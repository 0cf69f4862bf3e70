// The operators' interface of a core member: configuration, evacuations and upgrades. Only the primary
// answers; the others name it, or say at once that they cannot. One thread.
#pragma once

#include "system/control/core_node.h"
#include "system/control/upgrade_status.h"
#include "system/http_server/server.h"
#include "system/metrics/metrics.h"

#include <functional>
#include <set>
#include <string>

namespace willowrill::control {

class OperatorApi {
  public:
    // `zones`: those that can be evacuated. `upgrade_status`: as of now, asked for at each order and look.
    OperatorApi(CoreNode& node, MemberId self, std::set<std::string> zones, metrics::Metrics& metrics,
                std::function<UpgradeStatus()> upgrade_status)
        : node_(node), self_(std::move(self)), zones_(std::move(zones)), metrics_(metrics),
          upgrade_status_(std::move(upgrade_status)) {}

    void on_request(const http_server::Request& request, const http_server::Respond& respond);

  private:
    void on_configuration(const http_server::Request& request, const http_server::Respond& respond);
    void on_evacuation(const http_server::Request& request, const http_server::Respond& respond,
                       std::string zone);
    void on_upgrade(const http_server::Request& request, const http_server::Respond& respond);
    void on_finish_upgrade(const http_server::Request& request, const http_server::Respond& respond);
    void submit(const http_server::Request& request, const http_server::Respond& respond,
                configuration::Order order);
    bool redirect_to_primary(const http_server::Request& request, const http_server::Respond& respond) const;

    CoreNode& node_;
    MemberId self_;
    std::set<std::string> zones_;
    metrics::Metrics& metrics_;
    std::function<UpgradeStatus()> upgrade_status_;
};

} // namespace willowrill::control
