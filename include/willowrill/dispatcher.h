// Public interface of willowrill: settings, events, actions, and the dispatcher that turns events into
// actions. A host passes events to `Dispatcher::handle` and carries out the returned actions in order.
//
// The library reads no clock, does no I/O, starts no threads and has no global state. The host supplies the
// time as nanoseconds since an origin of its choice; it must never go backwards.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace willowrill {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;

// Ids are assigned by the host. They must be small and dense, because they index tables. A worker keeps its
// id for the lifetime of the dispatcher. A job id may be reused once the job has had its final answer and all
// its attempts have ended. Classes, tenants, zones and kinds are identified by their positions in the
// settings.
using WorkerId = std::uint32_t;
using JobId = std::uint32_t;
using Index = std::uint32_t;
inline constexpr Index none = 0xffffffffU;

// ---- Settings ------------------------------------------------------------------------------------------

// The effect of running a job a second time.
enum class Effect {
    repeatable, // harmless: the job is idempotent
    keyed,      // deduplicated by the workers that know of the first run (`RepeatScope`, `repeat_window`)
    once        // harmful: the job must run at most once
};

// Which workers deduplicate repeats of a keyed job: all, those of the same zone, or those of the same cell.
enum class RepeatScope { all, zone, cell };

struct JobClass {
    Effect effect = Effect::once;
    RepeatScope repeat_scope = RepeatScope::all;
    Duration repeat_window{0};
    Duration aim{0};        // target latency: an answer within it earns the full worth
    double aim_stretch = 0; // the target grows by this multiple of the job's own running time
    Duration give_up{0};    // total time after which a client gives up waiting
    double worth = 1;
    double late_worth = 0; // fraction of the worth earned by an answer after the target latency
    Index kind = none;     // the only kind of worker that runs this class; `none` for any kind
};

struct Tenant {
    double share = 0;
    double quota_per_s = 0; // jobs per second over all dispatchers that count as within the share
};

struct Settings {
    std::uint64_t seed = 0;
    Index self = 0;        // index of this dispatcher, from 0
    Index dispatchers = 1; // number of dispatchers
    Index zone = 0;        // zone of this dispatcher
    Index zones = 1;
    Index kinds = 1;
    std::vector<JobClass> classes;
    std::vector<Tenant> tenants;
    double over_quota_worth = 1;       // fraction of the worth earned by a job beyond its tenant's quota
    bool worth_by_work = false;        // worth counts per unit of work instead of per job
    Duration tick{0};                  // minimum interval between calls of `handle`
    bool list_on_request = false;      // the worker list is sent only on request
    bool tells_start = false;          // workers report when a job starts
    Duration progress_period{0};       // interval of progress reports; 0 if there are none
    bool reports_with_answers = false; // the answer to a job carries a load report
    bool reports_with_probes = false;  // the answer to a probe carries a load report
    bool reports_load() const { return reports_with_answers || reports_with_probes; }

    // Capabilities and limits of the deployment.
    bool may_cancel = false;
    bool second_copies = false;             // two attempts of a job may be in flight at once
    bool clients_honor_retry_after = false; // clients honor `Refuse::retry_after`
    bool marks_retry = false;               // clients mark retries as such
    bool probes = false;                    // workers may be probed for their load
    Index max_attempts = 1;
    Duration max_retry_after{0};
    double cross_zone_price = 0, handshake_price = 0;
    double probe_price = 0;      // of one probe per job, as a fraction of the total worth
    Duration connect_timeout{0}; // a connection not established by then has failed
    Duration connection_idle{0}; // a connection idle for this long is closed

    // Limits of the four rules: one final answer in time (1), no effect twice (2), drains are respected (3),
    // no cold worker is overloaded (4).
    Duration answer_slack{0};     // a final answer still counts until this long after the deadline
    Duration drain_grace{0};      // sends to a draining or gone worker must stop within this time
    Duration list_valid{0};       // without a subscription, the list must be requested at least this often
    Duration cold_time{0};        // a worker counts as warm this long after its start
    double cold_capacity = 1;     // lower bound of its capacity at its start, as a fraction of the full one
    double overload_multiple = 0; // a cold worker fails if more than this multiple of its capacity is sent
    Duration overload_time{0};    // to it for longer than this time
};

// ---- Events --------------------------------------------------------------------------------------------

// A worker's load report. A deployment fills in only some of the fields.
struct Report {
    std::optional<double> utilisation{}; // fraction of its cores in use
    std::optional<double> queued{};      // jobs waiting
    std::optional<double> in_flight{};   // jobs it holds, running or waiting
    std::optional<double> free_slots{};
    std::optional<double> free_memory{};
    std::optional<double> service_ms{}; // recent service time
    std::optional<double> served_per_s{};
    std::optional<double> errors_per_s{};

    bool operator==(const Report&) const = default;
};

enum class Condition { ready, draining, gone };

// Derives the key of a `WorkerEntry` from a worker's name or address: FNV-1a, so that all dispatchers agree.
constexpr std::uint64_t key_of(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

// A worker in the worker list.
struct WorkerEntry {
    WorkerId worker = 0;
    std::uint64_t key = 0; // equal at every dispatcher, for example a hash of the address
    Time up_since{0};      // time of the last start; 0 if long ago
    Index kind = 0;
    Index zone = 0;
    Index cell = 0;
    Condition condition = Condition::ready;
    double weight = 1;
};

// How an attempt or a probe has ended.
enum class Outcome {
    served,
    error,          // the worker answered with an error; the job may have run
    full,           // rejected before it was started: never ran
    timed_out,      // may have run or be running
    connect_failed, // never ran
    reset,          // the connection was lost; may have run
    cancelled,      // may have run
    not_sent        // never ran
};

constexpr bool may_have_run(Outcome outcome) {
    return outcome != Outcome::full && outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
}

// An update of the worker list: changes, a complete list, the complete list saved before a restart
// (`remembered`), or the failure of a list request or of the subscription (`broken`).
struct EndpointListUpdate {
    enum class Kind { changes, complete, remembered, broken } kind = Kind::changes;
    std::vector<WorkerEntry> entries{};
};

// A client has sent a job, or has sent it again.
struct JobArrived {
    JobId job = 0;
    Index job_class = 0;
    Index tenant = none;
    std::optional<std::uint64_t> key{}; // the data that the job needs, for affinity
    Duration time_left{0};              // until the client gives up this try
    Duration hint{0};                   // estimated running time; 0 if unknown
    double slots = 1;
    double memory = 0;
    bool is_retry = false;
};

// The client has disconnected, or the answer is overdue: the job needs no answer any more.
struct JobAbandoned {
    JobId job = 0;
};

// A worker reports that it has started to run an attempt.
struct AttemptStarted {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
};

// A worker reports the progress of an attempt.
struct AttemptProgress {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    double done = 0; // fraction of the job completed
};

// The attempt has begun to stream its answer to the client. Deadlines no longer apply to the job.
struct AnswerBegun {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    Duration latency{0};
};

// An attempt has ended, with or without an answer of the worker.
struct AttemptEnded {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    Outcome outcome = Outcome::served;
    Duration latency{0};
    bool job_over = false; // the client has its final answer, by this outcome or an earlier one
    std::optional<Report> report{};
};

// The result of a `Probe`; there is exactly one for each. It has no report if the probe was refused, timed
// out or got an invalid answer.
struct Probed {
    WorkerId worker = 0;
    Outcome outcome = Outcome::served;
    Duration latency{0};
    std::optional<Report> report{};
};

// The time of an earlier `Wake` has been reached.
struct TimerExpired {};

using Event = std::variant<EndpointListUpdate, JobArrived, JobAbandoned, AttemptStarted, AttemptProgress,
                           AnswerBegun, AttemptEnded, Probed, TimerExpired>;

// ---- Actions -------------------------------------------------------------------------------------------

// Start an attempt. Attempts of a job are numbered from 0 in the order of their `Send`.
struct Send {
    JobId job = 0;
    WorkerId worker = 0;
    Duration time_out{0}; // 0: until the client gives up
    // The attempt must not start after this time, even if its connection is established later. It keeps a
    // repeat within the window in which workers deduplicate it.
    Time begin_by = Time::max();
};

// Final answer: refused. A retry by the client is harmless.
struct Refuse {
    JobId job = 0;
    Duration retry_after{0}; // how long the client should wait before a retry; 0 for no advice
};

// Final answer: failed. The job may or may not have run.
struct Fail {
    JobId job = 0;
};

// Stop waiting for an attempt.
struct Cancel {
    JobId job = 0;
    Index attempt = 0;
};

// Ask a worker for its load. A worker has at most one probe in flight.
struct Probe {
    WorkerId worker = 0;
};

// Send a `TimerExpired` at this time. Only the earliest pending `Wake` counts; the host may forget later
// ones.
struct Wake {
    Time at{0};
};

// Subscribe to changes of the worker list, or end the subscription.
struct WatchList {
    bool active = true;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, Wake, WatchList>;

// ---- The dispatcher ------------------------------------------------------------------------------------

// Decides which worker runs each job. Not thread-safe: calls must not overlap.
class Dispatcher {
  public:
    explicit Dispatcher(Settings settings);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    // Processes all events of one instant, in order of arrival, and appends the resulting actions.
    void handle(Time now, std::span<const Event> events, std::vector<Action>& actions);

    // Number of listed workers that currently receive no jobs: they are draining, backed off after failures,
    // or were full.
    std::size_t excluded(Time now) const;

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace willowrill
