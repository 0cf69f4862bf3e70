// This scheduler as a member of a fleet: the outcomes of its messages are added to the shared counts, and the
// state of the fleet is reported to operators. It is attached to the host as its `core::MessageObserver` and
// does not depend on clients or workers.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/gossip/mesh.h"
#include "scheduler/operator_config/operator_config.h"

#include <functional>
#include <string>
#include <vector>

namespace willowrill::fleet {

// The tenant under which jobs without a known tenant are counted.
inline constexpr std::string_view unknown_tenant = "(none)";

class Fleet final : public core::MessageObserver {
  public:
    // `site.mesh` must be set. `wait_for_address`: the predecessor of a hot restart still uses the mesh
    // address (see `gossip::Mesh`). Throws std::system_error if the address cannot be bound.
    Fleet(net::Loop& loop, const operator_config::OperatorConfig& site, const config::Settings& settings,
          bool wait_for_address);

    void on_message_ended(Index job_class, Index tenant, FinalStatus ending) override;

    std::string counts_json() const; // empty if counts are disabled
    std::string members_json() const;
    std::string prometheus_text() const; // in the Prometheus text format

    void apply_config(const operator_config::OperatorConfig& site) { mesh_.update_settings(site); }
    void leave(std::function<void()> on_left) { mesh_.leave(std::move(on_left)); }
    gossip::Mesh& mesh() { return mesh_; }

  private:
    net::Loop& loop_;
    config::Names names_;
    bool counts_enabled_;
    gossip::Mesh mesh_;
    std::vector<counts::SeriesIndex> series_; // by class and tenant (unknown last); created at first use
};

} // namespace willowrill::fleet
