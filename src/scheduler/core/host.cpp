#include "scheduler/core/host.h"

#include "scheduler/log/log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace willowrill::core {
namespace {

constexpr std::array<std::string_view, 8> outcome_names{"served",         "error", "full",      "timed out",
                                                        "connect failed", "reset", "cancelled", "not sent"};

constexpr std::array<std::string_view, 4> ending_names{"served", "refused", "failed", "left"};

// Tenants go by their place in the settings; -1 where a client named none that is known.
double tenant_field(Index tenant) { return tenant == willowrill::none ? -1 : static_cast<double>(tenant); }

// What a message takes: its body here, on the way to the worker, and as much for the result on its way back.
constexpr std::size_t copies = 4, small_parts = 4096;

template <class... Functions> struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <class... Functions> Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

Host::Host(const willowrill::Settings& settings, std::size_t max_open, std::size_t max_bytes,
           Upstream& upstream, WorkerListSource& inventory)
    : dispatcher_(settings), tick_(settings.tick),
      stay_away_(settings.takes_advice ? settings.max_stay_away : Duration(0)), max_open_(max_open),
      max_bytes_(max_bytes), upstream_(upstream), inventory_(inventory) {
    for (const willowrill::JobClass& job_class : settings.classes)
        usual_.push_back(job_class.aim);
    tallies_.resize(settings.classes.size());
}

bool Host::admit(Message message, Client& client, JobId& job) {
    const std::size_t bytes = small_parts + copies * message.body.size();
    if (open_ >= max_open_ || bytes_ + bytes > max_bytes_ || holds(message.id) ||
        !ids_.insert(message.id).second) {
        ++counters_.turned_away;
        turn_away(message.job_class, message.tenant);
        return false;
    }
    if (neighbour_ != nullptr) neighbour_->on_message_opened(message.id);
    if (free_.empty()) {
        job = static_cast<JobId>(entries_.size());
        entries_.emplace_back();
    } else {
        job = free_.back();
        free_.pop_back();
    }
    willowrill::JobArrived arrived{.job = job,
                                   .job_class = message.job_class,
                                   .tenant = message.tenant,
                                   .key = message.key,
                                   .left = message.deadline, // made a span when the module is told
                                   .hint = message.hint,
                                   .slots = message.slots,
                                   .memory = message.memory,
                                   .is_retry = message.is_retry};
    entries_[job] = {.message = std::move(message), .client = &client, .used = true, .bytes = bytes};
    ++open_;
    bytes_ += bytes;
    ++counters_.admitted;
    if (log::wanted(spdlog::level::debug)) {
        const Message& taken = entries_[job].message;
        log::event(spdlog::level::debug, "message.taken_in",
                   {{"message", taken.id},
                    {"class", std::uint64_t{taken.job_class}},
                    {"tenant", tenant_field(taken.tenant)},
                    {"slots", taken.slots}},
                   fmt::format("message {} taken in: class {}, {} slots{}", taken.id, taken.job_class,
                               taken.slots, taken.is_retry ? ", again" : ""));
    }
    tell(job, arrived);
    return true;
}

void Host::tell(JobId job, willowrill::Event event) {
    ++entries_[job].holds;
    event_jobs_.push_back(job);
    events_.push_back(std::move(event));
}

void Host::turn_away(Index job_class, Index tenant) {
    ++tallies_[job_class].refused;
    if (ledger_ != nullptr)
        ledger_->on_message_ended(job_class, tenant, MessageObserver::FinalStatus::refused);
}

// Exactly one final answer: whoever ends a message gets its client from here, and only the first one does.
Client* Host::close(JobId job, End end) {
    Entry& entry = entries_[job];
    if (!entry.used || entry.answered) return nullptr;
    entry.answered = true;
    ClassTotals& tally = tallies_[entry.message.job_class];
    if (end == End::served) ++tally.served;
    if (end == End::refused) ++tally.refused;
    if (end == End::failed) ++tally.failed;
    if (ledger_ != nullptr) ledger_->on_message_ended(entry.message.job_class, entry.message.tenant, end);
    if (log::wanted(spdlog::level::debug)) {
        log::event(spdlog::level::debug, "message.over",
                   {{"message", entry.message.id},
                    {"tenant", tenant_field(entry.message.tenant)},
                    {"ending", ending_names[static_cast<std::size_t>(end)]},
                    {"attempts", std::uint64_t{entry.attempts.size()}}},
                   fmt::format("message {} over after {} attempts", entry.message.id, entry.attempts.size()));
    }
    --open_;
    touched_.push_back(job);
    Client* client = std::exchange(entry.client, nullptr);
    cancel_if_unsent(job);
    return client;
}

// What has not gone out by the end of its message would begin work for nobody, perhaps long after its client
// has left: its connection may still be coming up.
void Host::cancel_if_unsent(JobId job) {
    const std::vector<Attempt>& attempts = entries_[job].attempts;
    for (Index i = 0; i < attempts.size(); ++i) {
        if (attempts[i].out) upstream_.cancel_if_unsent(job, i);
    }
}

void Host::client_left(JobId job) {
    if (close(job, End::client_left) == nullptr) return;
    ++counters_.clients_left;
    tell(job, willowrill::JobLeft{job});
}

void Host::fail_overdue(JobId job) {
    Client* client = close(job, End::failed);
    if (client == nullptr) return;
    ++counters_.overdue;
    tell(job, willowrill::JobLeft{job});
    client->on_failed();
}

void Host::abort_for_shutdown(JobId job) {
    // Where a second run is harmless, its client may go elsewhere, whatever has run.
    const bool fails = !entries_[job].message.repeatable &&
                       std::ranges::count(entries_[job].attempts, true, &Attempt::may_have_run) > 0;
    Client* client = close(job, fails ? End::failed : End::refused);
    if (client == nullptr) return;
    ++counters_.aborted_by_shutdown;
    tell(job, willowrill::JobLeft{job});
    fails ? client->on_failed() : client->on_refused(go_elsewhere());
}

void Host::attempt_started(JobId job, Index attempt) {
    tell(job, willowrill::AttemptStarted{job, attempt, entries_[job].attempts[attempt].worker});
}

void Host::attempt_progress(JobId job, Index attempt, double done) {
    tell(job, willowrill::AttemptProgress{job, attempt, entries_[job].attempts[attempt].worker, done});
}

void Host::attempt_ended(JobId job, Index attempt, willowrill::Outcome outcome, Time now,
                         const std::optional<willowrill::Report>& report, std::string_view result) {
    Entry& entry = entries_[job];
    Attempt& ended = entry.attempts[attempt];
    if (!std::exchange(ended.out, false)) return;
    using willowrill::Outcome;
    ended.may_have_run = willowrill::may_have_run(outcome);
    if (outcome == Outcome::served) {
        Duration& usual = usual_[entry.message.job_class];
        usual += (now - ended.sent - usual) / 16;
    }
    --entry.holds;
    --out_;
    ++counters_.outcomes[static_cast<std::size_t>(outcome)];
    if (log::wanted(spdlog::level::debug)) {
        const willowrill::Report told = report.value_or(willowrill::Report{});
        const std::chrono::duration<double, std::milli> took = now - ended.sent;
        const std::string_view name = outcome_names[static_cast<std::size_t>(outcome)];
        log::event(
            spdlog::level::debug, "attempt.ended",
            {{"message", entry.message.id},
             {"attempt", std::uint64_t{attempt}},
             {"worker", std::uint64_t{ended.worker}},
             {"tenant", tenant_field(entry.message.tenant)},
             {"outcome", name},
             {"ms", took.count()}},
            fmt::format(
                "message {} attempt {} at worker {} after {:.0f} ms: {}; load {:.2f}, free slots {:.2f}",
                entry.message.id, attempt, ended.worker, took.count(), name, told.utilisation.value_or(-1),
                told.free_slots.value_or(-1)));
    }
    // What a worker has done goes to the client at once; the module hears of it with the next batch.
    Client* client = outcome == willowrill::Outcome::served ? close(job, End::served) : nullptr;
    tell(job, willowrill::AttemptEnded{.job = job,
                                       .attempt = attempt,
                                       .worker = ended.worker,
                                       .outcome = outcome,
                                       .latency = now - ended.sent,
                                       .job_over = entry.answered,
                                       .report = report});
    if (client != nullptr) {
        ++counters_.served;
        client->on_served(result);
    }
}

void Host::handle_worker_list(willowrill::EndpointListUpdate news) {
    ++(news.kind == willowrill::EndpointListUpdate::Kind::broken ? counters_.failed_list_updates
                                                                 : counters_.list_updates);
    events_.emplace_back(std::move(news));
}

void Host::probed(WorkerId worker, willowrill::Outcome outcome, Duration latency,
                  const std::optional<willowrill::Report>& report) {
    events_.emplace_back(willowrill::Probed{worker, outcome, latency, report});
}

std::optional<Time> Host::next_batch_time() const {
    const Time tick = last_batch_ + tick_;
    if (!events_.empty()) return tick;
    return wake_ ? std::optional(std::max(*wake_, tick)) : std::nullopt;
}

void Host::run_batch(Time now) {
    ++counters_.batches;
    last_batch_ = now;
    if (wake_ && *wake_ <= now) {
        wake_.reset();
        events_.emplace_back(willowrill::TimerExpired{});
    }
    // What is told while the actions are carried out belongs to the next batch.
    std::vector<willowrill::Event> events = std::exchange(events_, {});
    const std::vector<JobId> told = std::exchange(event_jobs_, {});
    for (willowrill::Event& event : events) {
        if (auto* arrived = std::get_if<willowrill::JobArrived>(&event)) {
            // A tick less than is left: what the module does at the deadline may wait for the next batch.
            arrived->left = std::max(Duration(0), arrived->left - now - tick_);
        }
    }
    std::vector<willowrill::Action> actions;
    dispatcher_.handle(now, events, actions);
    for (const JobId job : told) {
        --entries_[job].holds;
        touched_.push_back(job);
    }
    for (const willowrill::Action& action : actions) {
        carry_out(action, now);
    }
    for (const JobId job : std::exchange(touched_, {})) {
        release(job);
    }
}

void Host::release(JobId job) {
    Entry& entry = entries_[job];
    if (!entry.used || !entry.answered || entry.holds > 0) return;
    ids_.erase(entry.message.id);
    if (neighbour_ != nullptr) neighbour_->on_message_closed(entry.message.id);
    bytes_ -= entry.bytes;
    entry = {};
    free_.push_back(job);
}

void Host::carry_out(const willowrill::Action& action, Time now) {
    std::visit(Overloaded{
                   [&](const willowrill::Send& send) {
                       Entry& entry = entries_[send.job];
                       const auto attempt = static_cast<Index>(entry.attempts.size());
                       entry.attempts.push_back({.worker = send.worker, .sent = now});
                       ++entry.holds;
                       ++out_;
                       ++counters_.sent;
                       if (entry.answered) { // its client left in this very round
                           attempt_ended(send.job, attempt, willowrill::Outcome::not_sent, now);
                           return;
                       }
                       const Time latest = entry.message.deadline;
                       const Time give_up =
                           send.time_out > Duration(0) ? std::min(latest, now + send.time_out) : latest;
                       upstream_.start(send.job, attempt, send.worker, give_up, send.begin_by, entry.message);
                   },
                   [&](const willowrill::Refuse& refuse) {
                       if (Client* client = close(refuse.job, End::refused)) {
                           ++counters_.refused;
                           client->on_refused(refuse.stay_away);
                       }
                   },
                   [&](const willowrill::Fail& fail) {
                       if (Client* client = close(fail.job, End::failed)) {
                           ++counters_.failed;
                           client->on_failed();
                       }
                   },
                   [&](const willowrill::Cancel& cancel) {
                       if (!entries_[cancel.job].attempts[cancel.attempt].out) return;
                       ++counters_.cancelled;
                       upstream_.cancel(cancel.job, cancel.attempt);
                   },
                   [&](const willowrill::Probe& probe) { upstream_.probe(probe.worker); },
                   [&](const willowrill::Wake& wake) { wake_ = wake_ ? std::min(*wake_, wake.at) : wake.at; },
                   [&](const willowrill::WatchList& watch) { inventory_.watch(watch.active); },
               },
               action);
}

} // namespace willowrill::core
