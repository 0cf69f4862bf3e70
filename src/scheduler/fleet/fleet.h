// This scheduler as one of a fleet: its messages' ends go into the shared counts, and operators are told of
// the fleet. Knows the host by `core::MessageObserver`, and nothing of clients or workers.
#pragma once

#include "scheduler/config/settings.h"
#include "scheduler/core/host.h"
#include "scheduler/gossip/mesh.h"
#include "scheduler/operator_config/site.h"

#include <functional>
#include <string>
#include <vector>

namespace willowrill::fleet {

// Jobs whose client names no known tenant.
inline constexpr std::string_view no_tenant = "(none)";

class Fleet final : public core::MessageObserver {
  public:
    // `site.mesh` is set. `wait`: see `gossip::Mesh`. Throws std::system_error.
    Fleet(net::Loop& loop, const operator_config::Site& site, const config::Settings& settings, bool wait);

    void on_message_ended(Index job_class, Index tenant, FinalStatus ending) override;

    std::string counts_json() const; // empty: counts are off
    std::string members_json() const;
    std::string figures() const; // in the Prometheus text format

    void set(const operator_config::Site& site) { mesh_.update_settings(site); }
    void leave(std::function<void()> gone) { mesh_.leave(std::move(gone)); }
    gossip::Mesh& mesh() { return mesh_; }

  private:
    net::Loop& loop_;
    config::Names names_;
    bool counts_;
    gossip::Mesh mesh_;
    std::vector<counts::SeriesIndex>
        series_; // by class and tenant, the unknown one last; made when first counted
};

} // namespace willowrill::fleet
