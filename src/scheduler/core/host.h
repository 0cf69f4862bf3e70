// The life of a message. The host is the only caller of the decision module: it turns what the other parts
// tell into the module's events, carries its actions out through them, and keeps count. It knows no protocol
// and no sockets, so that a second frontend can share it.
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

// What a client asks for. The host reads none of the texts but the id; the upstream connections pass them on.
struct Message {
    std::string id{}, idempotency_key{}, method{}, target{}, body{};
    Index job_class = 0, tenant = willowrill::none;
    std::optional<std::uint64_t> key{};
    Duration hint{0};
    double slots = 1, memory = 0;
    bool is_retry = false;
    bool repeatable = false; // a second run would be harmless
    Time deadline{0};        // when the client gives up
};

// Whoever waits for the final answer of a message. Exactly one call comes, unless the client leaves first.
class Client {
  public:
    virtual ~Client() = default;
    virtual void on_served(std::string_view result) = 0;
    virtual void on_refused(Duration stay_away) = 0; // the back-off answer
    virtual void on_failed() = 0;
};

// Carries the attempts. Each `start` is followed by one `Host::attempt_ended`, in or after the call.
class Upstream {
  public:
    virtual ~Upstream() = default;
    // `begin_by`: an attempt whose request could not be written by then ends as one that never ran. `message`
    // stays where it is until the attempt has ended.
    virtual void start(JobId job, Index attempt, WorkerId worker, Time give_up, Time begin_by,
                       const Message& message) = 0;
    virtual void cancel(JobId job, Index attempt) = 0;
    // Nobody waits for the message any more: an attempt whose request has not gone out to its last byte ends
    // here, whether or not workers heed a cancellation. Any other is left alone.
    virtual void cancel_if_unsent(JobId job, Index attempt) = 0;
    virtual void probe(WorkerId worker) = 0; // followed by one `Host::probed`, in or after the call
};

class WorkerListSource {
  public:
    virtual ~WorkerListSource() = default;
    virtual void watch(bool active) = 0; // asked anew while a watch is on, it changes nothing
};

// Another run of this scheduler, at an upgrade: a message open in one is not taken by the other.
class PeerProcess {
  public:
    virtual ~PeerProcess() = default;
    virtual void on_message_opened(const std::string& id) = 0;
    virtual void on_message_closed(const std::string& id) = 0;
    virtual bool holds(const std::string& id) const = 0;
};

// Keeps account of how messages ended, as their clients saw it: one call for each, from the one place where
// that is known. It must not throw, and be quick.
class MessageObserver {
  public:
    enum class FinalStatus { served, refused, failed, client_left };
    virtual ~MessageObserver() = default;
    virtual void on_message_ended(Index job_class, Index tenant,
                                  FinalStatus ending) = 0; // tenant: `none` where unknown
};

struct Counters {
    std::uint64_t admitted = 0, turned_away = 0, clients_left = 0;  // messages
    std::uint64_t served = 0, refused = 0, failed = 0, overdue = 0; // final answers; overdue ones by the host
    std::uint64_t sent = 0, cancelled = 0;                          // attempts
    std::uint64_t aborted_by_shutdown = 0;   // messages that the end of the program did not wait for
    std::array<std::uint64_t, 8> outcomes{}; // by willowrill::Outcome
    std::uint64_t batches = 0, list_updates = 0, failed_list_updates = 0;
};

// Jobs by the answer that their clients were given. What a client left counts nowhere.
struct ClassTotals {
    std::uint64_t served = 0, refused = 0, failed = 0;
};

class Host {
  public:
    // `max_bytes` is for the messages held, with their copies on the way to a worker and back.
    Host(const willowrill::Settings& settings, std::size_t max_open, std::size_t max_bytes,
         Upstream& upstream, WorkerListSource& inventory);

    // False: the id is in use, or no message more can be held. The client must outlive the message or call
    // `client_left`.
    bool admit(Message message, Client& client, JobId& job);
    bool holds(const std::string& id) const {
        return ids_.contains(id) || (neighbour_ != nullptr && neighbour_->holds(id));
    }
    const std::unordered_set<std::string>& ids() const { return ids_; } // not free yet
    void set_peer_process(PeerProcess& neighbour) { neighbour_ = &neighbour; }
    void set_message_observer(MessageObserver& ledger) { ledger_ = &ledger; }
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    // A message that was never taken in is answered with a refusal.
    void turn_away(Index job_class, Index tenant);
    // What such a refusal tells its client, as the module's do: when to come back, if clients are told at
    // all. One that this program sends away as it ends finds room elsewhere at once.
    Duration stay_away() const { return stay_away_; }
    Duration go_elsewhere() const { return std::min(stay_away_, moment); }
    void client_left(JobId job);
    void fail_overdue(JobId job); // the deadline passes and the module has not answered: fails it
    // The program ends before the message can: refused if no attempt of it may have run, else failed.
    void abort_for_shutdown(JobId job);
    // How long an attempt of the class takes at a worker as a rule; the class's aim until one was served.
    Duration usual_time(Index job_class) const { return usual_[job_class]; }

    void attempt_started(JobId job, Index attempt);
    void attempt_progress(JobId job, Index attempt, double done);
    void attempt_ended(JobId job, Index attempt, willowrill::Outcome outcome, Time now,
                       const std::optional<willowrill::Report>& report = {}, std::string_view result = {});
    void probed(WorkerId worker, willowrill::Outcome outcome, Duration latency,
                const std::optional<willowrill::Report>& report);
    void handle_worker_list(willowrill::EndpointListUpdate news);

    // When `batch` is due: at the next tick if there is news, else when the module wants to wake.
    std::optional<Time> next_batch_time() const;
    void run_batch(Time now);

    std::size_t open_messages() const { return open_; } // messages without a final answer
    std::size_t attempts_in_flight() const { return out_; }
    const Counters& counters() const { return counters_; }
    const std::vector<ClassTotals>& class_totals() const { return tallies_; } // by class
    std::size_t workers_excluded(Time now) const { return dispatcher_.excluded(now); }

  private:
    struct Attempt {
        WorkerId worker = 0;
        Time sent{0};
        bool out = true, may_have_run = true;
    };
    // A message's place is free again once it has its final answer, no attempt of it is out, and the module
    // has been told of both: only then may the id return.
    struct Entry {
        Message message;
        Client* client = nullptr;
        bool used = false, answered = false;
        std::size_t bytes = 0;
        std::vector<Attempt> attempts{};
        std::size_t holds = 0; // attempts out, and events that the module has not seen
    };

    using End = MessageObserver::FinalStatus;
    Client* close(JobId job, End end); // the one place where a message ends
    void cancel_if_unsent(JobId job);
    void tell(JobId job, willowrill::Event event);
    void release(JobId job);
    static constexpr Duration moment = std::chrono::milliseconds(250); // in which the front has noticed
    void carry_out(const willowrill::Action& action, Time now);

    willowrill::Dispatcher dispatcher_;
    Duration tick_, stay_away_;
    std::vector<Duration> usual_; // by class
    std::size_t max_open_, max_bytes_, bytes_ = 0;
    Upstream& upstream_;
    WorkerListSource& inventory_;
    PeerProcess* neighbour_ = nullptr;
    MessageObserver* ledger_ = nullptr;
    std::deque<Entry> entries_; // a deque, as references must outlive the arrival of others
    std::vector<JobId> free_, touched_;
    std::unordered_set<std::string> ids_;
    std::vector<willowrill::Event> events_;
    std::vector<JobId> event_jobs_; // the messages that `events_` hold on to
    std::optional<Time> wake_;
    Time last_batch_{0};
    std::size_t open_ = 0, out_ = 0;
    Counters counters_;
    std::vector<ClassTotals> tallies_; // by class
};

} // namespace willowrill::core
