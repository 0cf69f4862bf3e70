// The whole interface of willowrill: settings, events, actions and the dispatcher that turns one into the
// other. A host feeds `Dispatcher::handle` with what has happened and carries out the actions in their order.
//
// The library keeps no clock, does no I/O, starts no thread and has no global state. Time is what the host
// says it is: nanoseconds since an origin of its choice, never going back.
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

// Ids are small and dense, so that tables are indexed by them. The host picks them. A worker keeps its id for
// as long as the dispatcher lives. A job's id may be given to a new job once the old one has had its final
// answer and all its attempts have ended. Classes, tenants, zones and kinds are positions in the settings.
using WorkerId = std::uint32_t;
using JobId = std::uint32_t;
using Index = std::uint32_t;
inline constexpr Index none = 0xffffffffU;

// ---- Settings ------------------------------------------------------------------------------------------

// What a second run of a job would do.
enum class Effect {
    repeatable, // harmless
    keyed,      // dropped by the workers that remember the first run (`RepeatScope`, `repeat_window`)
    once        // real damage
};

// Which workers drop repeats of a keyed job: all, those of one zone, or those of one cell.
enum class RepeatScope { all, zone, cell };

struct JobClass {
    Effect effect = Effect::once;
    RepeatScope repeat_scope = RepeatScope::all;
    Duration repeat_window{0};
    Duration aim{0};        // an answer by then earns the full worth ...
    double aim_stretch = 0; // ... the aim grows by this multiple of the job's own running time
    Duration give_up{0};    // how long a client waits in all
    double worth = 1;
    double late_worth = 0; // share of the worth for an answer past the aim
    Index kind = none;     // the one kind of worker that runs this class, or none for any
};

struct Tenant {
    double share = 0;
    double quota_per_s = 0; // jobs a second, over all dispatchers, inside its share
};

struct Settings {
    std::uint64_t seed = 0;
    Index self = 0;        // this dispatcher's number among them, from 0
    Index dispatchers = 1; // how many there are
    Index zone = 0;        // where this dispatcher is
    Index zones = 1;
    Index kinds = 1;
    std::vector<JobClass> classes;
    std::vector<Tenant> tenants;
    double over_quota_worth = 1;  // share of the worth that a job beyond its tenant's quota earns
    bool worth_by_work = false;   // worth is counted per unit of work, not per job
    Duration tick{0};             // the host calls `handle` at most this often
    bool list_on_request = false; // the worker list comes only when asked for
    bool tells_start = false;     // workers say when a job starts
    Duration progress_period{0};  // time between progress notes; 0 for none
    bool reports_with_answers = false;
    bool reports_with_probes = false; // the answer to a probe carries a load report
    bool reports_load() const { return reports_with_answers || reports_with_probes; }

    // What the site allows.
    bool may_cancel = false;
    bool second_copies = false;             // two attempts of a job may be out at once
    bool clients_honor_retry_after = false; // clients receive `Refuse::retry_after`
    bool marks_retry = false;               // clients say of each later try that it is one
    bool probes = false;                    // workers may be asked how they are
    Index max_attempts = 1;
    Duration max_retry_after{0};
    double cross_zone_price = 0, handshake_price = 0;
    double probe_price = 0;      // of one probe for each job, as a share of all worth
    Duration connect_timeout{0}; // a connection that is not made by then never comes up
    Duration connection_idle{0}; // a connection that has carried nothing for so long is closed

    // The figures of the four rules.
    Duration answer_slack{0};     // a final answer still counts this long past the deadline
    Duration drain_grace{0};      // sends to a draining or gone worker must stop within this
    Duration list_valid{0};       // without a subscription, the list must be asked for this often
    Duration cold_time{0};        // a worker is warm this long after its start
    double cold_capacity = 1;     // and starts at this share of its capacity or more
    double overload_multiple = 0; // sent more than this multiple of its present capacity ...
    Duration overload_time{0};    // ... for this long, a cold worker falls over
};

// ---- Events --------------------------------------------------------------------------------------------

// A worker's load report. A site fills in a few of the fields.
struct Report {
    std::optional<double> utilisation{}; // share of its cores in use
    std::optional<double> queued{};      // jobs waiting
    std::optional<double> in_flight{};   // jobs it holds
    std::optional<double> free_slots{};
    std::optional<double> free_memory{};
    std::optional<double> service_ms{}; // recent service time
    std::optional<double> served_per_s{};
    std::optional<double> errors_per_s{};

    bool operator==(const Report&) const = default;
};

enum class Condition { ready, draining, gone };

// A key for `WorkerEntry` from a worker's name or address: FNV-1a, the same everywhere.
constexpr std::uint64_t key_of(std::string_view name) {
    std::uint64_t out = 0xcbf29ce484222325ULL;
    for (const char c : name)
        out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return out;
}

struct WorkerEntry {
    WorkerId worker = 0;
    std::uint64_t key = 0; // the same at every dispatcher: a hash of its address, say
    Time up_since{0};      // when it last started; 0 for long ago
    Index kind = 0;
    Index zone = 0;
    Index cell = 0;
    Condition condition = Condition::ready;
    double weight = 1;
};

enum class Outcome {
    served,
    error,          // the worker answered with an error; the job may have run
    full,           // turned away unseen: it never ran
    timed_out,      // may have run or be running
    connect_failed, // never ran
    reset,          // the connection broke; may have run
    cancelled,      // may have run
    not_sent        // never ran
};

constexpr bool may_have_run(Outcome outcome) {
    return outcome != Outcome::full && outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
}

// The list of workers: changes, a complete list, the complete list as last held before a restart, or word
// that a request for the list failed or the subscription broke.
struct EndpointListUpdate {
    enum class Kind { changes, complete, remembered, broken } kind = Kind::changes;
    std::vector<WorkerEntry> entries{};
};

struct JobArrived {
    JobId job = 0;
    Index job_class = 0;
    Index tenant = none;
    std::optional<std::uint64_t> key{}; // what the job is about
    Duration time_left{0};              // until the client gives this try up
    Duration hint{0};                   // rough running time, 0 where there is none
    double slots = 1;
    double memory = 0;
    bool is_retry = false;
};

// The client has left, or the answer is overdue: nothing is owed any more.
struct JobAbandoned {
    JobId job = 0;
};

struct AttemptStarted {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
};

struct AttemptProgress {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    double done = 0; // share of the job
};

// A streamed answer has begun; the attempt is now the client's and no deadline runs.
struct AnswerBegun {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    Duration latency{0};
};

struct AttemptEnded {
    JobId job = 0;
    Index attempt = 0;
    WorkerId worker = 0;
    Outcome outcome = Outcome::served;
    Duration latency{0};
    bool job_over = false; // the client has its final answer, through this outcome or earlier
    std::optional<Report> report{};
};

// The answer to a `Probe`; one for each. A probe that was refused, was late or made no sense has no report.
struct Probed {
    WorkerId worker = 0;
    Outcome outcome = Outcome::served;
    Duration latency{0};
    std::optional<Report> report{};
};

// The time of an earlier `Wake` has come.
struct TimerExpired {};

using Event = std::variant<EndpointListUpdate, JobArrived, JobAbandoned, AttemptStarted, AttemptProgress,
                           AnswerBegun, AttemptEnded, Probed, TimerExpired>;

// ---- Actions -------------------------------------------------------------------------------------------

// Start an attempt. Attempts of a job are numbered from 0 in the order of their `Send`.
struct Send {
    JobId job = 0;
    WorkerId worker = 0;
    Duration time_out{0}; // 0: until the client gives up
    // Not to be begun after this time, however late its connection comes up: a repeat that must stay within
    // the window in which its workers know it again.
    Time begin_by = Time::max();
};

// Final answer: turned away, trying again is harmless.
struct Refuse {
    JobId job = 0;
    Duration retry_after{0}; // how long the client should wait; 0 for no advice
};

// Final answer: failed, with no promise about the effect.
struct Fail {
    JobId job = 0;
};

// Stop waiting for an attempt.
struct Cancel {
    JobId job = 0;
    Index attempt = 0;
};

// Ask a worker for its load. A worker is asked once at a time.
struct Probe {
    WorkerId worker = 0;
};

// Send a `TimerExpired` at this time. Only the earliest wish counts; a later one need not be remembered.
struct Wake {
    Time at{0};
};

// Subscribe to changes of the worker list, or end the subscription.
struct WatchList {
    bool active = true;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, Wake, WatchList>;

// ---- The dispatcher ------------------------------------------------------------------------------------

class Dispatcher {
  public:
    explicit Dispatcher(Settings settings);
    ~Dispatcher();
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;

    // Takes in all events of one moment, in the order in which they arrived, and appends what is to be done.
    void handle(Time now, std::span<const Event> events, std::vector<Action>& actions);

    // How many workers of the list no job goes to at this time: they drain, rest after failures, or were
    // full.
    std::size_t excluded(Time now) const;

  private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace willowrill
