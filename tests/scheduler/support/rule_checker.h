// Checks the observable behaviour of dispatchers against the platform's rules. The checker sees only the
// settings and the dispatchers' inputs and outputs; it is independent of how the dispatcher module is
// implemented.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::testing {

// Settings of dispatcher number `self` out of `dispatchers` at a site with two zones and two worker kinds,
// with the platform's limits and safety parameters. The test adds the job classes.
inline Settings site_settings(Index self, Index dispatchers) {
    using namespace std::chrono_literals;
    Settings result;
    result.seed = 7 + self;
    result.self = self;
    result.dispatchers = dispatchers;
    result.zones = result.kinds = 2;
    result.zone = self % 2;
    result.tick = 5ms;
    result.list_on_request = result.reports_with_answers = true;
    result.may_cancel = result.second_copies = result.clients_honor_retry_after = true;
    result.max_attempts = 4;
    result.max_retry_after = 2s;
    result.connection_idle = 5s;
    result.answer_slack = 20ms;
    result.drain_grace = 1s;
    result.list_valid = 2s; // shorter than a test run, so that the list must be requested again
    result.cold_time = 9s;
    result.cold_capacity = 0.4;
    result.overload_multiple = 2.5;
    result.overload_time = 1s;
    return result;
}

// Follows every event that a dispatcher receives and every action that it takes, and records each broken
// rule. Several dispatchers with the same settings share one checker; `self` is the number of the acting
// dispatcher.
class RuleChecker {
  public:
    // `tested_dispatchers`: how many of the settings' dispatchers take part in the test. `worker_slots`: the
    // largest number of slots of any worker.
    RuleChecker(Settings settings, std::size_t tested_dispatchers, double worker_slots)
        : settings_(std::move(settings)),
          tested_share_(static_cast<double>(tested_dispatchers) / static_cast<double>(settings_.dispatchers)),
          worker_slots_(worker_slots), dispatchers_(tested_dispatchers) {}

    std::vector<std::string> violations; // descriptions of the broken rules, in the order of detection
    Effect effect_of(Index job_class) const { return settings_.classes[job_class].effect; }

    // ---- Events that a dispatcher receives ---------------------------------------------------------------

    void on_list_update(Index self, Time now, const EndpointListUpdate& update) {
        DispatcherState& dispatcher = dispatchers_[self];
        if (update.kind == EndpointListUpdate::Kind::broken) {
            dispatcher.list_request_due = now + settings_.list_valid;
            return;
        }
        if (update.kind != EndpointListUpdate::Kind::changes) {
            for (auto& [id, listed] : dispatcher.listed)
                listed.unavailable_since = listed.unavailable_since.value_or(now);
        }
        for (const WorkerEntry& entry : update.entries) {
            ListedWorker& listed = dispatcher.listed[entry.worker];
            const bool unavailable = entry.condition != Condition::ready;
            const Time since = listed.unavailable_since.value_or(now);
            listed = {entry, unavailable ? std::optional(since) : std::nullopt};
            Time& known_up_since = up_since_[entry.worker];
            if (known_up_since != entry.up_since) cold_sends_[entry.worker].clear();
            known_up_since = entry.up_since;
        }
    }
    void on_job_arrived(Index self, JobId id, Index job_class, Time deadline) {
        Job& job = dispatchers_[self].jobs[id];
        if (!job.closed || has_outstanding_attempt(job))
            add_violation("a job id was assigned again while it was still in use", self, id);
        job = {.job_class = job_class, .deadline = deadline, .closed = false};
    }
    void on_job_left(Index self, JobId id) { dispatchers_[self].jobs[id].closed = true; }
    void on_attempt_ended(Index self, JobId id, Index attempt, Outcome outcome) {
        std::vector<Attempt>& attempts = dispatchers_[self].jobs[id].attempts;
        if (attempt >= attempts.size()) return; // the job broke a rule and has been removed
        Attempt& ended_attempt = attempts[attempt];
        ended_attempt.outstanding = false;
        ended_attempt.never_ran =
            outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
    }

    // ---- Actions that a dispatcher takes ------------------------------------------------------------------

    void on_served(Index self, JobId id, Time now) { record_answer(self, id, now, "served"); }
    void on_failed(Index self, JobId id, Time now) { record_answer(self, id, now, "failed"); }
    void on_refused(Index self, JobId id, Time now, Duration stay_away) {
        record_answer(self, id, now, "refused");
        const Job& job = dispatchers_[self].jobs[id];
        const JobClass& job_class = settings_.classes[job.job_class];
        const bool retry_is_harmless =
            job_class.effect == Effect::repeatable ||
            (job_class.effect == Effect::keyed && job_class.repeat_scope == RepeatScope::all);
        if (!retry_is_harmless && first_possibly_run(job) != nullptr)
            add_violation("a job that may have run was refused", self, id);
        if (settings_.clients_honor_retry_after && stay_away <= Duration(0))
            add_violation("a job was refused without a retry delay", self, id);
        if (stay_away > settings_.max_retry_after)
            add_violation("a job was refused with a retry delay above the maximum", self, id);
    }
    // An attempt of the job was sent. `work`: the work that it causes at the worker, in slot-seconds.
    void on_sent(Index self, JobId id, WorkerId to, Time now, double work) {
        ++send_count;
        Job& job = dispatchers_[self].jobs[id];
        const JobClass& job_class = settings_.classes[job.job_class];
        if (job.closed) add_violation("a job was sent after its final answer", self, id);
        if (job.attempts.size() >= settings_.max_attempts) add_violation("too many attempts", self, id);
        if (!settings_.second_copies && has_outstanding_attempt(job))
            add_violation("a second attempt was sent while another is outstanding", self, id);
        if (const Attempt* first = first_possibly_run(job)) {
            if (job_class.effect == Effect::once)
                add_violation("a job that must not run twice was sent again", self, id);
            if (job_class.effect == Effect::keyed && now - first->sent > job_class.repeat_window)
                add_violation("a keyed job was repeated after its repeat window", self, id);
            if (job_class.effect == Effect::keyed &&
                !same_group(self, job_class.repeat_scope, first->worker, to))
                add_violation("a keyed job was repeated outside its repeat scope", self, id);
        }
        const auto listed = dispatchers_[self].listed.find(to);
        if (listed == dispatchers_[self].listed.end()) {
            add_violation("a job was sent to a worker that has never been listed", self, id);
        } else {
            const ListedWorker& worker = listed->second;
            if (worker.unavailable_since && now - *worker.unavailable_since > settings_.drain_grace)
                add_violation("a job was sent to a draining or gone worker", self, id);
            if (job_class.kind != none && job_class.kind != worker.entry.kind)
                add_violation("a job was sent to a worker of the wrong kind", self, id);
        }
        check_cold_load(to, now, work);
        job.attempts.push_back({to, now});
    }
    void on_list_requested(Index self) { dispatchers_[self].list_request_due.reset(); }

    // ---- Checks and state ---------------------------------------------------------------------------------

    // Checks the deadlines of dispatcher `self`; call it once the dispatcher has handled everything that is
    // due at `now`. Every job must be answered by its deadline, and a job without an outstanding attempt that
    // no worker may run any more must be answered as soon as that is known.
    void check(Index self, Time now) {
        DispatcherState& dispatcher = dispatchers_[self];
        if (dispatcher.list_request_due && now > *dispatcher.list_request_due) {
            add_violation("the worker list was not requested in time", self, none);
            dispatcher.list_request_due.reset();
        }
        for (auto& [id, job] : dispatcher.jobs) {
            if (job.closed) continue;
            if (now > job.deadline + settings_.answer_slack) {
                add_violation("a job was not answered in time", self, id);
                job.closed = true;
            } else if (!has_outstanding_attempt(job) && now + settings_.tick < job.deadline &&
                       no_worker_left(self, job, now)) {
                add_violation("a job is held although no worker may run it any more", self, id);
                job.closed = true;
            }
        }
        std::erase_if(dispatcher.jobs, [](const auto& item) {
            return item.second.closed && !has_outstanding_attempt(item.second);
        });
    }
    bool is_open(Index self, JobId id) { return !dispatchers_[self].jobs[id].closed; }

    int send_count = 0;

  private:
    struct Attempt {
        WorkerId worker = 0;
        Time sent{0};
        bool outstanding = true, never_ran = false;
    };
    struct Job {
        Index job_class = 0;
        Time deadline{0};
        bool closed = true;
        std::vector<Attempt> attempts{};
    };
    struct ListedWorker {
        WorkerEntry entry{};
        std::optional<Time> unavailable_since{}; // when it was first reported as draining, gone or unlisted
    };
    struct DispatcherState { // as far as it follows from the events and actions
        std::map<WorkerId, ListedWorker> listed{};
        std::map<JobId, Job> jobs{};
        std::optional<Time> list_request_due{};
    };

    void add_violation(const std::string& description, Index self, JobId id) {
        violations.push_back(description + ": dispatcher " + std::to_string(self) +
                             (id == none ? "" : ", job " + std::to_string(id)));
    }
    // Records a final answer; `answer_kind` is its name in descriptions.
    void record_answer(Index self, JobId id, Time now, const char* answer_kind) {
        Job& job = dispatchers_[self].jobs[id];
        if (job.closed) add_violation(std::string(answer_kind) + " after the job's final answer", self, id);
        if (now > job.deadline + settings_.answer_slack)
            add_violation(std::string(answer_kind) + " after the job's deadline", self, id);
        job.closed = true;
    }
    static bool has_outstanding_attempt(const Job& job) {
        return std::ranges::count(job.attempts, true, &Attempt::outstanding) > 0;
    }
    static const Attempt* first_possibly_run(const Job& job) {
        const auto found = std::ranges::find_if(
            job.attempts, [](const Attempt& attempt) { return attempt.outstanding || !attempt.never_ran; });
        return found == job.attempts.end() ? nullptr : &*found;
    }
    // Whether both workers belong to the same group of workers that drop each other's repeats.
    bool same_group(Index self, RepeatScope scope, WorkerId first_id, WorkerId second_id) {
        if (scope == RepeatScope::all) return true;
        const WorkerEntry &first = dispatchers_[self].listed[first_id].entry,
                          &second = dispatchers_[self].listed[second_id].entry;
        return scope == RepeatScope::zone ? first.zone == second.zone : first.cell == second.cell;
    }
    // Whether a job that has been sent may not be sent to any worker again. A dispatcher sends a job to each
    // worker at most once.
    bool no_worker_left(Index self, const Job& job, Time now) {
        if (job.attempts.empty()) return false;
        const JobClass& job_class = settings_.classes[job.job_class];
        const Attempt* first = first_possibly_run(job);
        if (job.attempts.size() >= settings_.max_attempts) return true;
        if (first != nullptr && job_class.effect == Effect::once) return true;
        const bool needs_same_group = first != nullptr && job_class.effect == Effect::keyed;
        if (needs_same_group && now - first->sent > job_class.repeat_window) return true;
        return std::ranges::none_of(dispatchers_[self].listed, [&](const auto& item) {
            const auto& [id, listed] = item;
            return !listed.unavailable_since &&
                   (job_class.kind == none || job_class.kind == listed.entry.kind) &&
                   (!needs_same_group || same_group(self, job_class.repeat_scope, first->worker, id)) &&
                   std::ranges::count(job.attempts, id, &Attempt::worker) == 0;
        });
    }
    // All dispatchers together must not send a cold worker, within any window of `overload_time`, more than
    // `overload_multiple` times the work that it can do at that moment. The check covers the share of the
    // dispatchers that take part in the test. One job more is chance, and so is half of the largest job for
    // each dispatcher's share of one.
    void check_cold_load(WorkerId to, Time now, double work) {
        const Time up_since = up_since_[to];
        if (up_since <= Time(0) || now - up_since >= settings_.cold_time) return;
        auto& recent_sends = cold_sends_[to];
        std::erase_if(recent_sends,
                      [&](const auto& send) { return send.first + settings_.overload_time < now; });
        recent_sends.emplace_back(now, work);
        double total_work = 0, largest_work = 0;
        for (const auto& [sent_at, sent_work] : recent_sends) {
            total_work += sent_work;
            largest_work = std::max(largest_work, sent_work);
        }
        const auto to_seconds = [](Duration d) { return std::chrono::duration<double>(d).count(); };
        const double warm_up_share =
            std::max(0.0, to_seconds(now - up_since) / to_seconds(settings_.cold_time));
        const double capacity_share = settings_.cold_capacity + (1 - settings_.cold_capacity) * warm_up_share;
        const double max_work = settings_.overload_multiple * capacity_share * worker_slots_ *
                                to_seconds(settings_.overload_time);
        if (total_work > max_work * tested_share_ + largest_work)
            add_violation("a cold worker was overloaded", none, none);
    }

    Settings settings_;
    double tested_share_, worker_slots_;
    std::vector<DispatcherState> dispatchers_;
    std::map<WorkerId, Time> up_since_;
    std::map<WorkerId, std::vector<std::pair<Time, double>>> cold_sends_; // time and work of each
};

} // namespace willowrill::testing
