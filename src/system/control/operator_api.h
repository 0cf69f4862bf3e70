// The HTTP API for operators at a core member: configuration, evacuations and upgrades. Only the primary
// processes requests; the other members redirect to it, or answer with an error if no primary is known. Not
// thread-safe: used on the event loop's thread only.
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
    // `zones`: the zones that can be evacuated. `upgrade_status` returns the current status; it is called for
    // every upgrade request. `node` and `metrics` must outlive this object.
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
    // Answers the request with a redirect or an error if this member is not the primary. Returns whether the
    // request was answered.
    bool redirect_to_primary(const http_server::Request& request, const http_server::Respond& respond) const;

    CoreNode& node_;
    MemberId self_;
    std::set<std::string> zones_;
    metrics::Metrics& metrics_;
    std::function<UpgradeStatus()> upgrade_status_;
};

} // namespace willowrill::control
