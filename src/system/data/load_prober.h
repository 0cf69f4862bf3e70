// Probes the workers assigned to this scheduler for their load, one request at a time to each, and records
// what they report. Workers without an engine do not report: of them it asks only whether they answer. One
// thread, that of the loop.
#pragma once

#include "system/data/context.h"
#include "system/data/probe_assignment.h"
#include "system/http_client/client.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace willowrill::data {

class LoadProber {
  public:
    // Both must outlive the prober.
    LoadProber(Context& context, const ProbeAssignment& assignment)
        : context_(context), assignment_(assignment) {}

    // Sends the probes that are due. Needs an active configuration.
    void probe_due_workers();
    // Probes sent since the start.
    std::size_t probes_sent() const { return probes_sent_; }

  private:
    struct Target {
        std::shared_ptr<http_client::Client> client;
        routing::Time next_probe_at{0};
        int failures = 0; // in a row
    };

    void forget_unlisted_workers();
    // The target of a worker, made where it is new; null where the worker's address makes no sense.
    Target* target_of(const std::string& id, const routing::Worker& worker);
    void probe(Target& target, const std::string& id, const configuration::Service& service);
    // `response`: null where none came in time.
    void on_response(const std::string& id, const http_client::Response* response);

    Context& context_;
    const ProbeAssignment& assignment_;
    std::map<std::string, Target> targets_; // by instance id
    std::size_t probes_sent_ = 0;
};

} // namespace willowrill::data
