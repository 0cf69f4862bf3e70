// The connections to the workers. Each carries one attempt at a time.
#pragma once

#include "scheduler/core/host.h"
#include "scheduler/discovery_client/list.h"
#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"
#include "scheduler/upstream/response_reader.h"

#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace willowrill::upstream {

struct PoolLimits {
    std::size_t connections = 0; // descriptors for this side
    net::Duration idle{0};       // workers close what has been idle this long
    net::Duration connect_timeout{0};
};

struct PoolCounters {
    std::uint64_t opened = 0, reused = 0, failed_unsent = 0, idle_timeouts = 0, closed_by_worker = 0,
                  evicted = 0, reuse_failures = 0;
    std::uint64_t written = 0; // attempts whose request went out to its last byte
    // Probes: sent to their last byte or not, and how they ended: with a report, with an answer that is no
    // 200, with one that holds no report, not in time, broken, or given up for a job's sake.
    std::uint64_t probes = 0, probe_reports = 0, probe_error_statuses = 0, probe_malformed = 0,
                  probe_timeouts = 0, probe_connections_lost = 0, probes_without_connection = 0;
};

class Pool final : public core::Upstream {
  public:
    Pool(net::Loop& loop, const discovery_client::List& list, const std::vector<config::ReportName>& fields,
         PoolLimits limits);
    ~Pool() override;
    void set_host(core::Host& host) { host_ = &host; } // the host and the pool know each other

    void start(core::JobId job, core::Index attempt, core::WorkerId worker, core::Time give_up,
               core::Time begin_by, const core::Message& message) override;
    void cancel(core::JobId job, core::Index attempt) override;
    void cancel_if_unsent(core::JobId job, core::Index attempt) override;
    void probe(core::WorkerId worker) override;
    void set_max_connections(std::size_t connections); // idle ones beyond it are closed
    // To workers that drain, are gone or have moved: idle connections, and those that still come up.
    void close_unlisted();

    std::size_t size() const { return size_; }
    std::size_t max_connections() const { return limits_.connections; }
    const PoolCounters& counters() const { return counters_; }

  private:
    class Channel;
    using Channels = std::list<std::shared_ptr<Channel>>;

    std::shared_ptr<Channel> take_idle(core::WorkerId worker, bool settled_only);
    void reuse_failed();     // a kept connection broke at its next request
    double distrust() const; // of kept connections
    std::shared_ptr<Channel> open(core::WorkerId worker, willowrill::Outcome& failure);
    void drop(Channel& channel);
    bool is_listed(const Channel& channel) const; // its worker takes new jobs, and at that address
    bool make_room();

    net::Loop& loop_;
    const discovery_client::List& list_;
    const std::vector<config::ReportName>& fields_;
    PoolLimits limits_;
    core::Host* host_ = nullptr;
    Channels idle_;                                                       // the most recently used last
    std::unordered_map<std::uint64_t, std::shared_ptr<Channel>> busy_;    // by message and attempt
    std::unordered_map<core::WorkerId, std::shared_ptr<Channel>> asking_; // probes: one a worker at a time
    std::unordered_map<Channel*, std::shared_ptr<Channel>> closing_; // verdict given, answer not at its end
    std::size_t size_ = 0;
    double failures_ = 0; // of kept connections, fading with time
    net::Time failures_at_{0};
    PoolCounters counters_;
};

} // namespace willowrill::upstream
