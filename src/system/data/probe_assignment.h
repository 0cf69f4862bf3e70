// Which workers this scheduler probes: those of the services that it is the home scheduler of, in its zone
// and in zones where no scheduler is left. Pure; one thread.
#pragma once

#include "system/membership/lease_table.h"
#include "system/routing/selector.h"

#include <set>
#include <string>
#include <vector>

namespace willowrill::data {

class ProbeAssignment {
  public:
    // `place`: of this scheduler; must outlive the assignment.
    explicit ProbeAssignment(const routing::Place& place) : place_(place) {}

    void set_members(const std::vector<membership::Lease>& members) { members_ = members; }
    const std::vector<membership::Lease>& members() const { return members_; }

    void add_home_service(const std::string& service) { home_services_.insert(service); }
    void remove_home_service(const std::string& service) { home_services_.erase(service); }

    bool contains(const routing::Worker& worker) const;

  private:
    const routing::Place& place_;
    std::vector<membership::Lease> members_; // the schedulers that are alive
    std::set<std::string> home_services_;    // by name
};

} // namespace willowrill::data
