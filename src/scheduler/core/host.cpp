#include "scheduler/core/host.h"

#include "scheduler/log/log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace willowrill::core {
namespace {

constexpr std::array<std::string_view, 8> outcome_names{"served",         "error", "full",      "timed out",
                                                        "connect failed", "reset", "cancelled", "not sent"};

constexpr std::array<std::string_view, 4> final_status_names{"served", "refused", "failed", "left"};

// Index of the tenant in the settings; -1 if the client named no known tenant.
double tenant_field(Index tenant) { return tenant == willowrill::none ? -1 : static_cast<double>(tenant); }

// Memory estimate of a message: copies of the body here and on the way to the worker, and as much again for
// the result on its way back.
constexpr std::size_t body_copies = 4, message_overhead_bytes = 4096;

template <class... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

Host::Host(const willowrill::Settings& settings, std::size_t max_open_messages, std::size_t max_bytes,
           Upstream& upstream, WorkerListSource& worker_list)
    : dispatcher_(settings), tick_(settings.tick),
      retry_after_(settings.clients_honor_retry_after ? settings.max_retry_after : Duration(0)),
      max_open_messages_(max_open_messages), max_bytes_(max_bytes), upstream_(upstream),
      worker_list_(worker_list) {
    for (const willowrill::JobClass& job_class : settings.classes)
        typical_attempt_times_.push_back(job_class.aim);
    class_totals_.resize(settings.classes.size());
}

bool Host::admit(Message message, Client& client, JobId& job) {
    const std::size_t bytes = message_overhead_bytes + body_copies * message.body.size();
    if (open_messages_ >= max_open_messages_ || held_bytes_ + bytes > max_bytes_ || holds(message.id) ||
        !ids_.insert(message.id).second) {
        ++counters_.rejected;
        record_rejection(message.job_class, message.tenant);
        return false;
    }
    if (peer_process_ != nullptr) peer_process_->on_message_opened(message.id);
    if (free_jobs_.empty()) {
        job = static_cast<JobId>(entries_.size());
        entries_.emplace_back();
    } else {
        job = free_jobs_.back();
        free_jobs_.pop_back();
    }
    willowrill::JobArrived arrived{.job = job,
                                   .job_class = message.job_class,
                                   .tenant = message.tenant,
                                   .key = message.key,
                                   .time_left = message.deadline, // `run_batch` turns it into a duration
                                   .hint = message.hint,
                                   .slots = message.slots,
                                   .memory = message.memory,
                                   .is_retry = message.is_retry};
    entries_[job] = {.message = std::move(message), .client = &client, .in_use = true, .bytes = bytes};
    ++open_messages_;
    held_bytes_ += bytes;
    ++counters_.admitted;
    if (log::is_enabled(spdlog::level::debug)) {
        const Message& admitted_message = entries_[job].message;
        log::event(spdlog::level::debug, "message.taken_in",
                   {{"message", admitted_message.id},
                    {"class", std::uint64_t{admitted_message.job_class}},
                    {"tenant", tenant_field(admitted_message.tenant)},
                    {"slots", admitted_message.slots}},
                   fmt::format("message {} taken in: class {}, {} slots{}", admitted_message.id,
                               admitted_message.job_class, admitted_message.slots,
                               admitted_message.is_retry ? ", retry" : ""));
    }
    queue_event(job, arrived);
    return true;
}

void Host::queue_event(JobId job, willowrill::Event event) {
    ++entries_[job].references;
    event_jobs_.push_back(job);
    events_.push_back(std::move(event));
}

void Host::record_rejection(Index job_class, Index tenant) {
    ++class_totals_[job_class].refused;
    if (message_observer_ != nullptr)
        message_observer_->on_message_ended(job_class, tenant, MessageObserver::FinalStatus::refused);
}

// Ends a message and returns the client that must be answered. Only the first call for a message returns it,
// so that each client gets exactly one final answer.
Client* Host::end_message(JobId job, FinalStatus status) {
    Entry& entry = entries_[job];
    if (!entry.in_use || entry.answered) return nullptr;
    entry.answered = true;
    ClassTotals& totals = class_totals_[entry.message.job_class];
    if (status == FinalStatus::served) ++totals.served;
    if (status == FinalStatus::refused) ++totals.refused;
    if (status == FinalStatus::failed) ++totals.failed;
    if (message_observer_ != nullptr)
        message_observer_->on_message_ended(entry.message.job_class, entry.message.tenant, status);
    if (log::is_enabled(spdlog::level::debug)) {
        log::event(
            spdlog::level::debug, "message.over",
            {{"message", entry.message.id},
             {"tenant", tenant_field(entry.message.tenant)},
             {"ending", final_status_names[static_cast<std::size_t>(status)]},
             {"attempts", std::uint64_t{entry.attempts.size()}}},
            fmt::format("message {} ended after {} attempts", entry.message.id, entry.attempts.size()));
    }
    --open_messages_;
    release_candidates_.push_back(job);
    Client* client = std::exchange(entry.client, nullptr);
    cancel_if_unsent(job);
    return client;
}

// An attempt that is still waiting for its connection would start work that nobody needs, possibly long after
// the client has left.
void Host::cancel_if_unsent(JobId job) {
    const std::vector<Attempt>& attempts = entries_[job].attempts;
    for (Index i = 0; i < attempts.size(); ++i) {
        if (attempts[i].in_flight) upstream_.cancel_if_unsent(job, i);
    }
}

void Host::client_left(JobId job) {
    if (end_message(job, FinalStatus::client_left) == nullptr) return;
    ++counters_.clients_left;
    queue_event(job, willowrill::JobAbandoned{job});
}

void Host::fail_overdue(JobId job) {
    Client* client = end_message(job, FinalStatus::failed);
    if (client == nullptr) return;
    ++counters_.overdue;
    queue_event(job, willowrill::JobAbandoned{job});
    client->on_failed();
}

void Host::abort_for_shutdown(JobId job) {
    // The client of a repeatable message may retry elsewhere, even if an attempt has run.
    const bool report_failure = !entries_[job].message.repeatable &&
                                std::ranges::count(entries_[job].attempts, true, &Attempt::may_have_run) > 0;
    Client* client = end_message(job, report_failure ? FinalStatus::failed : FinalStatus::refused);
    if (client == nullptr) return;
    ++counters_.aborted_by_shutdown;
    queue_event(job, willowrill::JobAbandoned{job});
    report_failure ? client->on_failed() : client->on_refused(retry_elsewhere_after());
}

void Host::attempt_started(JobId job, Index attempt) {
    queue_event(job, willowrill::AttemptStarted{job, attempt, entries_[job].attempts[attempt].worker});
}

void Host::attempt_progress(JobId job, Index attempt, double done) {
    queue_event(job, willowrill::AttemptProgress{job, attempt, entries_[job].attempts[attempt].worker, done});
}

void Host::attempt_ended(JobId job, Index attempt, willowrill::Outcome outcome, Time now,
                         const std::optional<willowrill::Report>& report, std::string_view result) {
    Entry& entry = entries_[job];
    Attempt& ended_attempt = entry.attempts[attempt];
    if (!std::exchange(ended_attempt.in_flight, false)) return;
    using willowrill::Outcome;
    ended_attempt.may_have_run = willowrill::may_have_run(outcome);
    if (outcome == Outcome::served) {
        Duration& typical_time = typical_attempt_times_[entry.message.job_class];
        typical_time += (now - ended_attempt.sent - typical_time) / 16;
    }
    --entry.references;
    --attempts_in_flight_;
    ++counters_.outcomes[static_cast<std::size_t>(outcome)];
    if (log::is_enabled(spdlog::level::debug)) {
        const willowrill::Report reported = report.value_or(willowrill::Report{});
        const std::chrono::duration<double, std::milli> elapsed = now - ended_attempt.sent;
        const std::string_view name = outcome_names[static_cast<std::size_t>(outcome)];
        log::event(
            spdlog::level::debug, "attempt.ended",
            {{"message", entry.message.id},
             {"attempt", std::uint64_t{attempt}},
             {"worker", std::uint64_t{ended_attempt.worker}},
             {"tenant", tenant_field(entry.message.tenant)},
             {"outcome", name},
             {"ms", elapsed.count()}},
            fmt::format(
                "message {} attempt {} at worker {} after {:.0f} ms: {}; load {:.2f}, free slots {:.2f}",
                entry.message.id, attempt, ended_attempt.worker, elapsed.count(), name,
                reported.utilisation.value_or(-1), reported.free_slots.value_or(-1)));
    }
    // The client gets a result immediately; the module learns of it in the next batch.
    Client* client = outcome == willowrill::Outcome::served ? end_message(job, FinalStatus::served) : nullptr;
    queue_event(job, willowrill::AttemptEnded{.job = job,
                                              .attempt = attempt,
                                              .worker = ended_attempt.worker,
                                              .outcome = outcome,
                                              .latency = now - ended_attempt.sent,
                                              .job_over = entry.answered,
                                              .report = report});
    if (client != nullptr) {
        ++counters_.served;
        client->on_served(result);
    }
}

void Host::handle_worker_list(willowrill::EndpointListUpdate update) {
    ++(update.kind == willowrill::EndpointListUpdate::Kind::broken ? counters_.failed_list_updates
                                                                   : counters_.list_updates);
    events_.emplace_back(std::move(update));
}

void Host::probed(WorkerId worker, willowrill::Outcome outcome, Duration latency,
                  const std::optional<willowrill::Report>& report) {
    events_.emplace_back(willowrill::Probed{worker, outcome, latency, report});
}

std::optional<Time> Host::next_batch_time() const {
    const Time tick = last_batch_ + tick_;
    if (!events_.empty()) return tick;
    return wake_at_ ? std::optional(std::max(*wake_at_, tick)) : std::nullopt;
}

void Host::run_batch(Time now) {
    ++counters_.batches;
    last_batch_ = now;
    if (wake_at_ && *wake_at_ <= now) {
        wake_at_.reset();
        events_.emplace_back(willowrill::TimerExpired{});
    }
    // Events that arise while the actions are carried out belong to the next batch.
    std::vector<willowrill::Event> events = std::exchange(events_, {});
    const std::vector<JobId> event_jobs = std::exchange(event_jobs_, {});
    for (willowrill::Event& event : events) {
        if (auto* arrived = std::get_if<willowrill::JobArrived>(&event)) {
            // One tick less than remains, as the module's action at the deadline may have to wait for a
            // batch.
            arrived->time_left = std::max(Duration(0), arrived->time_left - now - tick_);
        }
    }
    std::vector<willowrill::Action> actions;
    dispatcher_.handle(now, events, actions);
    for (const JobId job : event_jobs) {
        --entries_[job].references;
        release_candidates_.push_back(job);
    }
    for (const willowrill::Action& action : actions) {
        execute(action, now);
    }
    for (const JobId job : std::exchange(release_candidates_, {})) {
        release(job);
    }
}

void Host::release(JobId job) {
    Entry& entry = entries_[job];
    if (!entry.in_use || !entry.answered || entry.references > 0) return;
    ids_.erase(entry.message.id);
    if (peer_process_ != nullptr) peer_process_->on_message_closed(entry.message.id);
    held_bytes_ -= entry.bytes;
    entry = {};
    free_jobs_.push_back(job);
}

void Host::execute(const willowrill::Action& action, Time now) {
    std::visit(Overloaded{
                   [&](const willowrill::Send& send) {
                       Entry& entry = entries_[send.job];
                       const auto attempt = static_cast<Index>(entry.attempts.size());
                       entry.attempts.push_back({.worker = send.worker, .sent = now});
                       ++entry.references;
                       ++attempts_in_flight_;
                       ++counters_.sent;
                       if (entry.answered) { // the message ended while this batch was carried out
                           attempt_ended(send.job, attempt, willowrill::Outcome::not_sent, now);
                           return;
                       }
                       const Time deadline = entry.message.deadline;
                       const Time timeout_at =
                           send.time_out > Duration(0) ? std::min(deadline, now + send.time_out) : deadline;
                       upstream_.start(send.job, attempt, send.worker, timeout_at, send.begin_by,
                                       entry.message);
                   },
                   [&](const willowrill::Refuse& refuse) {
                       if (Client* client = end_message(refuse.job, FinalStatus::refused)) {
                           ++counters_.refused;
                           client->on_refused(refuse.retry_after);
                       }
                   },
                   [&](const willowrill::Fail& fail) {
                       if (Client* client = end_message(fail.job, FinalStatus::failed)) {
                           ++counters_.failed;
                           client->on_failed();
                       }
                   },
                   [&](const willowrill::Cancel& cancel) {
                       if (!entries_[cancel.job].attempts[cancel.attempt].in_flight) return;
                       ++counters_.cancelled;
                       upstream_.cancel(cancel.job, cancel.attempt);
                   },
                   [&](const willowrill::Probe& probe) { upstream_.probe(probe.worker); },
                   [&](const willowrill::Wake& wake) {
                       wake_at_ = wake_at_ ? std::min(*wake_at_, wake.at) : wake.at;
                   },
                   [&](const willowrill::WatchList& watch) { worker_list_.watch(watch.active); },
               },
               action);
}

} // namespace willowrill::core
