// Which workers this scheduler probes: those of the services that it is the home scheduler of, in its zone
// and in zones where no scheduler is left. Pure; one thread.
#pragma once

#include "system/membership/lease_table.h"
#include "system/routing/location.h"
#include "system/routing/worker.h"

#include <set>
#include <string>
#include <vector>

namespace willowrill::data {

class ProbeAssignment {
  public:
    // `location`: of this scheduler; must outlive the assignment.
    explicit ProbeAssignment(const routing::Location& location) : location_(location) {}

    void set_members(const std::vector<membership::Lease>& members) { members_ = members; }
    const std::vector<membership::Lease>& members() const { return members_; }

    void add_home_service(const std::string& service) { home_services_.insert(service); }
    void remove_home_service(const std::string& service) { home_services_.erase(service); }

    bool contains(const routing::Worker& worker) const;

  private:
    const routing::Location& location_;
    std::vector<membership::Lease> members_; // the schedulers that are alive
    std::set<std::string> home_services_;    // by name
};

} // namespace willowrill::data
