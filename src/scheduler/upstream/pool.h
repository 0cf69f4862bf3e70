// The pool of connections to workers. Each connection carries one attempt or probe at a time.
#pragma once

#include "scheduler/core/host.h"
#include "scheduler/discovery_client/worker_registry.h"
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
    std::size_t connections = 0; // open connections
    net::Duration idle{0};       // workers close connections that are idle this long
    net::Duration connect_timeout{0};
};

struct PoolCounters {
    // `failed_unsent`: attempts that failed before their request was sent completely. `closed_by_worker`:
    // idle connections. `evicted`: idle connections closed to stay within the limit. `reuse_failures`: reused
    // connections that broke before a response.
    std::uint64_t opened = 0, reused = 0, failed_unsent = 0, idle_timeouts = 0, closed_by_worker = 0,
                  evicted = 0, reuse_failures = 0;
    std::uint64_t written = 0; // attempts whose request was sent completely
    // Probes that were started, and how they ended: with a load report, with a status other than 200, with a
    // malformed response or one without a report, by timeout, with a failed connection, or for lack of a
    // connection, as attempts take precedence.
    std::uint64_t probes = 0, probe_reports = 0, probe_error_statuses = 0, probe_malformed = 0,
                  probe_timeouts = 0, probe_connections_lost = 0, probes_without_connection = 0;
};

// Not thread-safe: all calls come from the event loop.
class Pool final : public core::Upstream {
  public:
    Pool(net::Loop& loop, const discovery_client::WorkerRegistry& list,
         const std::vector<config::ReportFieldNames>& fields, PoolLimits limits);
    ~Pool() override;
    void set_host(core::Host& host) { host_ = &host; } // required before any other call

    void start(core::JobId job, core::Index attempt, core::WorkerId worker, core::Time timeout_at,
               core::Time begin_by, const core::Message& message) override;
    void cancel(core::JobId job, core::Index attempt) override;
    void cancel_if_unsent(core::JobId job, core::Index attempt) override;
    void probe(core::WorkerId worker) override;
    void set_max_connections(std::size_t connections); // closes idle connections beyond the limit
    // Closes the idle and connecting connections to workers that are draining, are gone or have a new
    // address.
    void close_unlisted();

    std::size_t size() const { return open_connections_; }
    std::size_t max_connections() const { return limits_.connections; }
    const PoolCounters& counters() const { return counters_; }

  private:
    class WorkerConnection;
    using ConnectionList = std::list<std::shared_ptr<WorkerConnection>>;

    std::shared_ptr<WorkerConnection> take_idle(core::WorkerId worker, bool settled_only);
    void record_reuse_failure(); // a reused connection broke before a response
    // Number of recent reuse failures, decaying exponentially with time.
    double reuse_failure_score() const;
    // Returns null and sets `failure` if no connection can be opened.
    std::shared_ptr<WorkerConnection> connect(core::WorkerId worker, willowrill::Outcome& failure);
    void remove(WorkerConnection& connection);
    // Whether the worker accepts new jobs at the connection's address.
    bool is_listed(const WorkerConnection& connection) const;
    bool make_room(); // closes a connection if the limit is reached; false if none can be closed

    net::Loop& loop_;
    const discovery_client::WorkerRegistry& list_;
    const std::vector<config::ReportFieldNames>& fields_;
    PoolLimits limits_;
    core::Host* host_ = nullptr;
    ConnectionList idle_;                                                       // the most recently used last
    std::unordered_map<std::uint64_t, std::shared_ptr<WorkerConnection>> busy_; // by message and attempt
    // One probe per worker at a time.
    std::unordered_map<core::WorkerId, std::shared_ptr<WorkerConnection>> probing_;
    // The result is known, but the response has not been read to its end.
    std::unordered_map<WorkerConnection*, std::shared_ptr<WorkerConnection>> draining_;
    std::size_t open_connections_ = 0;
    double decayed_failures_ = 0; // `reuse_failure_score` at `last_failure_at_`
    net::Time last_failure_at_{0};
    PoolCounters counters_;
};

} // namespace willowrill::upstream
