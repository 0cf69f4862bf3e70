// The life cycle of a message. The host is the only caller of the decision module (`willowrill::Dispatcher`):
// it turns calls of the other parts into the module's events, carries out its actions through them, and
// counts the results. It knows neither protocols nor sockets, so that another frontend can share it.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace willowrill::core {

using willowrill::Duration;
using willowrill::Index;
using willowrill::JobId;
using willowrill::Time;
using willowrill::WorkerId;

// A client's request. Of its strings, the host reads only `id`; the upstream connections forward the others.
struct Message {
    std::string id{}, idempotency_key{}, method{}, target{}, body{};
    Index job_class = 0, tenant = willowrill::none;
    std::optional<std::uint64_t> key{}; // see `willowrill::JobArrived`
    Duration hint{0};                   // estimated running time; 0 if unknown
    double slots = 1, memory = 0;
    bool is_retry = false;
    bool repeatable = false; // running it twice is harmless
    Time deadline{0};        // when the client stops waiting
};

// Receives the final answer of a message: exactly one call, unless the client leaves first.
class Client {
  public:
    virtual ~Client() = default;
    virtual void on_served(std::string_view result) = 0;
    virtual void on_refused(Duration retry_after) = 0; // asks the client to back off
    virtual void on_failed() = 0;
};

// Sends attempts to workers. Each `start` is followed by one `Host::attempt_ended`, during or after the call.
class Upstream {
  public:
    virtual ~Upstream() = default;
    // The attempt times out at `timeout_at`. If its connection is not established by `begin_by`, it ends as
    // one that never ran. `message` stays valid until the attempt has ended.
    virtual void start(JobId job, Index attempt, WorkerId worker, Time timeout_at, Time begin_by,
                       const Message& message) = 0;
    virtual void cancel(JobId job, Index attempt) = 0;
    // Ends an attempt whose request has not been sent completely, whether or not workers support
    // cancellation. Has no effect on any other attempt.
    virtual void cancel_if_unsent(JobId job, Index attempt) = 0;
    virtual void probe(WorkerId worker) = 0; // followed by one `Host::probed`, during or after the call
};

// Supplies the list of workers through `Host::handle_worker_list`.
class WorkerListSource {
  public:
    virtual ~WorkerListSource() = default;
    virtual void watch(bool active) = 0; // idempotent
};

// The other process of this scheduler during a hot restart. Each tells the other which messages it holds, so
// that no message is admitted by both.
class PeerProcess {
  public:
    virtual ~PeerProcess() = default;
    virtual void on_message_opened(const std::string& id) = 0;
    virtual void on_message_closed(const std::string& id) = 0;
    virtual bool holds(const std::string& id) const = 0;
};

// Is notified once for each message of how it ended for its client. The call must not throw or block.
class MessageObserver {
  public:
    enum class FinalStatus { served, refused, failed, client_left };
    virtual ~MessageObserver() = default;
    // `tenant` is `none` if unknown.
    virtual void on_message_ended(Index job_class, Index tenant, FinalStatus status) = 0;
};

struct Counters {
    std::uint64_t admitted = 0, rejected = 0, clients_left = 0;     // messages
    std::uint64_t served = 0, refused = 0, failed = 0, overdue = 0; // final answers; overdue ones by the host
    std::uint64_t sent = 0, cancelled = 0;                          // attempts
    std::uint64_t aborted_by_shutdown = 0;                          // messages ended by the shutdown
    std::array<std::uint64_t, 8> outcomes{};                        // by willowrill::Outcome
    std::uint64_t batches = 0, list_updates = 0, failed_list_updates = 0;
};

// Number of jobs of a class by final answer. Messages whose clients left are not counted.
struct ClassTotals {
    std::uint64_t served = 0, refused = 0, failed = 0;
};

// Not thread-safe: all calls come from the event loop.
class Host {
  public:
    // `max_open_messages` limits the messages without a final answer, `max_bytes` the memory of all messages
    // that are held, with the copies of their bodies and results.
    Host(const willowrill::Settings& settings, std::size_t max_open_messages, std::size_t max_bytes,
         Upstream& upstream, WorkerListSource& worker_list);

    // Returns false if the id is in use or a limit is reached, and counts the message as refused. `client`
    // must outlive the message or call `client_left`.
    bool admit(Message message, Client& client, JobId& job);
    // Whether this process or its peer process holds a message with this id.
    bool holds(const std::string& id) const {
        return ids_.contains(id) || (peer_process_ != nullptr && peer_process_->holds(id));
    }
    const std::unordered_set<std::string>& ids() const { return ids_; } // of messages that are held
    void set_peer_process(PeerProcess& peer_process) { peer_process_ = &peer_process; }
    void set_message_observer(MessageObserver& observer) { message_observer_ = &observer; }
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    // Counts a refusal of a message that was never admitted.
    void record_rejection(Index job_class, Index tenant);
    // Back-off for the client of such a message; 0 if clients take no advice. A client that is sent away
    // because this instance shuts down can retry at another instance almost at once.
    Duration retry_after() const { return retry_after_; }
    Duration retry_elsewhere_after() const { return std::min(retry_after_, balancer_notice_time); }
    void client_left(JobId job);
    void fail_overdue(JobId job); // the deadline passed and the module has not answered
    // Ends a message that the shutdown cannot wait for: refuses it if it is repeatable or no attempt may have
    // run, fails it otherwise.
    void abort_for_shutdown(JobId job);
    // Moving average of the latency of served attempts of the class; the class's aim until one was served.
    Duration typical_attempt_time(Index job_class) const { return typical_attempt_times_[job_class]; }

    void attempt_started(JobId job, Index attempt);
    void attempt_progress(JobId job, Index attempt, double done);
    void attempt_ended(JobId job, Index attempt, willowrill::Outcome outcome, Time now,
                       const std::optional<willowrill::Report>& report = {}, std::string_view result = {});
    void probed(WorkerId worker, willowrill::Outcome outcome, Duration latency,
                const std::optional<willowrill::Report>& report);
    void handle_worker_list(willowrill::EndpointListUpdate update);

    // When `run_batch` is due: at the next tick if events are queued, otherwise when the module wants to
    // wake.
    std::optional<Time> next_batch_time() const;
    // Passes the queued events to the module and carries out its actions.
    void run_batch(Time now);

    std::size_t open_messages() const { return open_messages_; } // messages without a final answer
    std::size_t attempts_in_flight() const { return attempts_in_flight_; }
    const Counters& counters() const { return counters_; }
    const std::vector<ClassTotals>& class_totals() const { return class_totals_; } // by class
    std::size_t workers_excluded(Time now) const { return dispatcher_.excluded(now); }

  private:
    struct Attempt {
        WorkerId worker = 0;
        Time sent{0};
        bool in_flight = true, may_have_run = true;
    };
    // An entry and its message id can be reused only after the final answer was given, no attempt is in
    // flight, and the module has processed all events of the message.
    struct Entry {
        Message message;
        Client* client = nullptr;
        bool in_use = false, answered = false;
        std::size_t bytes = 0;
        std::vector<Attempt> attempts{};
        std::size_t references = 0; // attempts in flight and queued events
    };

    using FinalStatus = MessageObserver::FinalStatus;
    Client* end_message(JobId job, FinalStatus status); // null if it has ended already
    void cancel_if_unsent(JobId job);
    void queue_event(JobId job, willowrill::Event event);
    void release(JobId job);
    // Time in which the load balancer notices that this instance shuts down.
    static constexpr Duration balancer_notice_time = std::chrono::milliseconds(250);
    void execute(const willowrill::Action& action, Time now);

    willowrill::Dispatcher dispatcher_;
    Duration tick_, retry_after_;
    std::vector<Duration> typical_attempt_times_; // by class
    std::size_t max_open_messages_, max_bytes_, held_bytes_ = 0;
    Upstream& upstream_;
    WorkerListSource& worker_list_;
    PeerProcess* peer_process_ = nullptr;
    MessageObserver* message_observer_ = nullptr;
    std::deque<Entry> entries_; // by job; a deque keeps references valid when it grows
    std::vector<JobId> free_jobs_, release_candidates_;
    std::unordered_set<std::string> ids_;
    std::vector<willowrill::Event> events_;
    std::vector<JobId> event_jobs_; // jobs of `events_`, each of which holds a reference
    std::optional<Time> wake_at_;
    Time last_batch_{0};
    std::size_t open_messages_ = 0, attempts_in_flight_ = 0;
    Counters counters_;
    std::vector<ClassTotals> class_totals_; // by class
};

} // namespace willowrill::core
