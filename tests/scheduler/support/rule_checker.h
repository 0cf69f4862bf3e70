// What the rules ask of dispatchers, held against what they were told and did. It knows the rules, the
// settings and the workers as they are, and nothing of the module. A broken rule is kept as a sentence.
#pragma once

#include <willowrill/dispatcher.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::testing {

// A site with two zones and two kinds, and the platform's limits and safety figures. Classes are the test's.
inline Settings site_settings(Index self, Index dispatchers) {
    using namespace std::chrono_literals;
    Settings out;
    out.seed = 7 + self;
    out.self = self;
    out.dispatchers = dispatchers;
    out.zones = out.kinds = 2;
    out.zone = self % 2;
    out.tick = 5ms;
    out.list_on_request = out.reports_with_answers = true;
    out.may_cancel = out.second_copies = out.clients_honor_retry_after = true;
    out.max_attempts = 4;
    out.max_retry_after = 2s;
    out.connection_idle = 5s;
    out.answer_slack = 20ms;
    out.drain_grace = 1s;
    out.list_valid = 2s; // a run lasts longer
    out.cold_time = 9s;
    out.cold_capacity = 0.4;
    out.overload_multiple = 2.5;
    out.overload_time = 1s;
    return out;
}

class RuleChecker {
  public:
    // `playing` of the settings' dispatchers are here; `worker_slots`: the most that any worker has.
    RuleChecker(Settings settings, std::size_t playing, double worker_slots)
        : settings_(std::move(settings)),
          share_(static_cast<double>(playing) / static_cast<double>(settings_.dispatchers)),
          worker_slots_(worker_slots), views_(playing) {}

    std::vector<std::string> violations;
    Effect effect_of(Index job_class) const { return settings_.classes[job_class].effect; }

    // ---- What a dispatcher is told -----------------------------------------------------------------------

    void on_list_update(Index self, Time now, const EndpointListUpdate& news) {
        View& view = views_[self];
        if (news.kind == EndpointListUpdate::Kind::broken) {
            view.asked_for_list_by = now + settings_.list_valid;
            return;
        }
        if (news.kind != EndpointListUpdate::Kind::changes) {
            for (auto& [id, listed] : view.listed)
                listed.off_since = listed.off_since.value_or(now);
        }
        for (const WorkerEntry& entry : news.entries) {
            Listed& listed = view.listed[entry.worker];
            const bool off = entry.condition != Condition::ready;
            const Time since = listed.off_since.value_or(now);
            listed = {entry, off ? std::optional(since) : std::nullopt};
            Time& up = up_since_[entry.worker];
            if (up != entry.up_since) cold_sends_[entry.worker].clear();
            up = entry.up_since;
        }
    }
    void on_job_arrived(Index self, JobId id, Index job_class, Time deadline) {
        Job& job = views_[self].jobs[id];
        if (!job.over || any_out(job)) say("a job's id was given away while it was in use", self, id);
        job = {.job_class = job_class, .deadline = deadline, .over = false};
    }
    void on_job_left(Index self, JobId id) { views_[self].jobs[id].over = true; }
    void on_attempt_ended(Index self, JobId id, Index attempt, Outcome outcome) {
        std::vector<Attempt>& attempts = views_[self].jobs[id].attempts;
        if (attempt >= attempts.size()) return; // of a job that has broken a rule, and is gone
        Attempt& ended = attempts[attempt];
        ended.out = false;
        ended.never_ran =
            outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
    }

    // ---- What it does -------------------------------------------------------------------------------------

    void on_served(Index self, JobId id, Time now) { answer(self, id, now, "served"); }
    void on_failed(Index self, JobId id, Time now) { answer(self, id, now, "failed"); }
    void on_refused(Index self, JobId id, Time now, Duration stay_away) {
        answer(self, id, now, "refused");
        const Job& job = views_[self].jobs[id];
        const JobClass& c = settings_.classes[job.job_class];
        const bool harmless = c.effect == Effect::repeatable ||
                              (c.effect == Effect::keyed && c.repeat_scope == RepeatScope::all);
        if (!harmless && first_that_may_have_run(job) != nullptr) say("refused what may have run", self, id);
        if (settings_.clients_honor_retry_after && stay_away <= Duration(0))
            say("refused without saying when to come back", self, id);
        if (stay_away > settings_.max_retry_after) say("sent away for longer than clients heed", self, id);
    }
    // `work`: what it will be at the worker, in slot-seconds.
    void on_sent(Index self, JobId id, WorkerId to, Time now, double work) {
        ++send_count;
        Job& job = views_[self].jobs[id];
        const JobClass& c = settings_.classes[job.job_class];
        if (job.over) say("sent after its end", self, id);
        if (job.attempts.size() >= settings_.max_attempts) say("too many attempts", self, id);
        if (!settings_.second_copies && any_out(job)) say("a second copy", self, id);
        if (const Attempt* first = first_that_may_have_run(job)) {
            if (c.effect == Effect::once) say("sent again what must not run twice", self, id);
            if (c.effect == Effect::keyed && now - first->sent > c.repeat_window)
                say("a repeat past its window", self, id);
            if (c.effect == Effect::keyed && !same_group(self, c.repeat_scope, first->worker, to))
                say("a repeat outside its group", self, id);
        }
        const auto listed = views_[self].listed.find(to);
        if (listed == views_[self].listed.end()) {
            say("sent to a worker that no list has named", self, id);
        } else {
            const Listed& worker = listed->second;
            if (worker.off_since && now - *worker.off_since > settings_.drain_grace)
                say("sent to a worker that drains or is gone", self, id);
            if (c.kind != none && c.kind != worker.entry.kind) say("sent to the wrong kind", self, id);
        }
        bear(to, now, work);
        job.attempts.push_back({to, now});
    }
    void on_list_requested(Index self) { views_[self].asked_for_list_by.reset(); }

    // ---- At any time --------------------------------------------------------------------------------------

    // After all of `self`'s work of this moment. What has nothing out and cannot be sent any more must have
    // been answered when that became known, and nothing may reach its deadline unsent.
    void check(Index self, Time now) {
        View& view = views_[self];
        if (view.asked_for_list_by && now > *view.asked_for_list_by) {
            say("the list was not asked for in time", self, none);
            view.asked_for_list_by.reset();
        }
        for (auto& [id, job] : view.jobs) {
            if (job.over) continue;
            if (now > job.deadline + settings_.answer_slack) {
                say("no answer in time", self, id);
                job.over = true;
            } else if (!any_out(job) && now + settings_.tick < job.deadline && nobody_left(self, job, now)) {
                say("kept waiting though nobody is left that may run it", self, id);
                job.over = true;
            }
        }
        std::erase_if(view.jobs, [](const auto& item) { return item.second.over && !any_out(item.second); });
    }
    bool is_open(Index self, JobId id) { return !views_[self].jobs[id].over; }

    int send_count = 0;

  private:
    struct Attempt {
        WorkerId worker = 0;
        Time sent{0};
        bool out = true, never_ran = false;
    };
    struct Job {
        Index job_class = 0;
        Time deadline{0};
        bool over = true;
        std::vector<Attempt> attempts{};
    };
    struct Listed {
        WorkerEntry entry{};
        std::optional<Time> off_since{}; // when it was first told to drain or to be gone
    };
    struct View {
        std::map<WorkerId, Listed> listed{};
        std::map<JobId, Job> jobs{};
        std::optional<Time> asked_for_list_by{};
    };

    void say(const std::string& what, Index self, JobId id) {
        violations.push_back(what + ": dispatcher " + std::to_string(self) +
                             (id == none ? "" : ", job " + std::to_string(id)));
    }
    void answer(Index self, JobId id, Time now, const char* how) {
        Job& job = views_[self].jobs[id];
        if (job.over) say(std::string(how) + " after its end", self, id);
        if (now > job.deadline + settings_.answer_slack) say(std::string(how) + " too late", self, id);
        job.over = true;
    }
    static bool any_out(const Job& job) { return std::ranges::count(job.attempts, true, &Attempt::out) > 0; }
    static const Attempt* first_that_may_have_run(const Job& job) {
        const auto found =
            std::ranges::find_if(job.attempts, [](const Attempt& a) { return a.out || !a.never_ran; });
        return found == job.attempts.end() ? nullptr : &*found;
    }
    bool same_group(Index self, RepeatScope scope, WorkerId a, WorkerId b) {
        if (scope == RepeatScope::all) return true;
        const WorkerEntry &one = views_[self].listed[a].entry, &two = views_[self].listed[b].entry;
        return scope == RepeatScope::zone ? one.zone == two.zone : one.cell == two.cell;
    }
    // Of a job that was sent: where it may go again. (The module sends a job to each worker once.)
    bool nobody_left(Index self, const Job& job, Time now) {
        if (job.attempts.empty()) return false;
        const JobClass& c = settings_.classes[job.job_class];
        const Attempt* first = first_that_may_have_run(job);
        if (job.attempts.size() >= settings_.max_attempts) return true;
        if (first != nullptr && c.effect == Effect::once) return true;
        const bool bound = first != nullptr && c.effect == Effect::keyed;
        if (bound && now - first->sent > c.repeat_window) return true;
        return std::ranges::none_of(views_[self].listed, [&](const auto& item) {
            const auto& [id, listed] = item;
            return !listed.off_since && (c.kind == none || c.kind == listed.entry.kind) &&
                   (!bound || same_group(self, c.repeat_scope, first->worker, id)) &&
                   std::ranges::count(job.attempts, id, &Attempt::worker) == 0;
        });
    }
    // All dispatchers together: over no window may a cold worker be sent more than the multiple of what it
    // can do at that moment. One job more is chance, and so is half of the largest job for each dispatcher's
    // share of one.
    void bear(WorkerId to, Time now, double work) {
        const Time up = up_since_[to];
        if (up <= Time(0) || now - up >= settings_.cold_time) return;
        auto& sent = cold_sends_[to];
        std::erase_if(sent, [&](const auto& one) { return one.first + settings_.overload_time < now; });
        sent.emplace_back(now, work);
        double sum = 0, largest = 0;
        for (const auto& [at, one] : sent) {
            sum += one;
            largest = std::max(largest, one);
        }
        const auto in_s = [](Duration d) { return std::chrono::duration<double>(d).count(); };
        const double age = std::max(0.0, in_s(now - up) / in_s(settings_.cold_time));
        const double warmth = settings_.cold_capacity + (1 - settings_.cold_capacity) * age;
        const double bears =
            settings_.overload_multiple * warmth * worker_slots_ * in_s(settings_.overload_time);
        if (sum > bears * share_ + largest) say("a cold worker was pushed over", none, none);
    }

    Settings settings_;
    double share_, worker_slots_;
    std::vector<View> views_; // by dispatcher
    std::map<WorkerId, Time> up_since_;
    std::map<WorkerId, std::vector<std::pair<Time, double>>> cold_sends_;
};

} // namespace willowrill::testing
