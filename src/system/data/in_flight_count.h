// Counts one request as in flight at a worker, from its construction to its destruction. The worker may leave
// the list meanwhile, and the workers may be gone by then: the loop destroys what is suspended at its own
// end, after the data plane. One thread.
#pragma once

#include "system/routing/selector.h"

#include <memory>
#include <string>
#include <utility>

namespace willowrill::data {

class InFlightCount {
  public:
    // `worker` is one of `workers`.
    InFlightCount(std::weak_ptr<routing::Workers> workers, routing::Worker& worker)
        : workers_(std::move(workers)), worker_id_(worker.instance.id) {
        ++worker.in_flight;
    }
    ~InFlightCount() {
        const std::shared_ptr<routing::Workers> workers = workers_.lock();
        if (!workers) return;
        const auto found = workers->find(worker_id_);
        // A worker that left and came back counts anew.
        if (found != workers->end() && found->second.in_flight > 0) --found->second.in_flight;
    }
    InFlightCount(const InFlightCount&) = delete;
    InFlightCount& operator=(const InFlightCount&) = delete;

  private:
    std::weak_ptr<routing::Workers> workers_;
    std::string worker_id_;
};

} // namespace willowrill::data
