// A small stand for the module: sends events to one dispatcher and keeps its actions.
#pragma once

#include <willowrill/dispatcher.h>

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace willowrill::testing {

using namespace std::chrono_literals;

inline JobClass job_class(Effect effect, Duration aim = 400ms, double stretch = 2) {
    return {.effect = effect,
            .repeat_scope = RepeatScope::cell,
            .repeat_window = 10s,
            .aim = aim,
            .aim_stretch = stretch,
            .give_up = 5s};
}

// Class 0 may be repeated, class 1 is keyed by cell, class 2 must not run twice.
inline Settings settings() {
    Settings out;
    out.seed = 7;
    out.classes = {job_class(Effect::repeatable), job_class(Effect::keyed), job_class(Effect::once)};
    out.tick = 5ms;
    out.reports_with_answers = true;
    out.may_cancel = true;
    out.second_copies = true;
    out.clients_honor_retry_after = true;
    out.max_attempts = 4;
    out.max_retry_after = 2s;
    out.answer_slack = 20ms;
    out.drain_grace = 500ms;
    out.list_valid = 10s;
    out.cold_time = 8s;
    out.cold_capacity = 0.3;
    out.overload_multiple = 3;
    out.overload_time = 3s;
    return out;
}

inline WorkerEntry worker(WorkerId id, Condition condition = Condition::ready, Time up_since = 0s) {
    return {.worker = id, .key = id, .up_since = up_since, .cell = id / 2, .condition = condition};
}

inline EndpointListUpdate complete_list(WorkerId count) {
    EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
    for (WorkerId id = 0; id < count; ++id) {
        list.entries.push_back(worker(id));
    }
    return list;
}

inline JobArrived job(JobId id, Index of_class = 0, double slots = 1) {
    return {.job = id, .job_class = of_class, .time_left = 5s, .slots = slots};
}

class DispatcherBench {
  public:
    explicit DispatcherBench(Settings settings = testing::settings()) : dispatcher_(std::move(settings)) {}

    // Handles the events at the time given and returns the actions.
    std::vector<Action> handle(Time now, std::vector<Event> events = {}) {
        std::vector<Action> actions;
        dispatcher_.handle(now, events, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
        }
        return actions;
    }

    // Where the last job went.
    WorkerId last_worker() const { return sends.empty() ? none : sends.back().worker; }

    std::vector<Send> sends;

  private:
    Dispatcher dispatcher_;
};

template <class Kind> std::vector<Kind> actions_of(const std::vector<Action>& actions) {
    std::vector<Kind> found;
    for (const Action& action : actions) {
        if (const auto* one = std::get_if<Kind>(&action)) found.push_back(*one);
    }
    return found;
}

inline AttemptEnded attempt_ended(JobId job, Index attempt, WorkerId worker, Outcome outcome,
                                  std::optional<Report> report = {}) {
    return {.job = job,
            .attempt = attempt,
            .worker = worker,
            .outcome = outcome,
            .latency = 100ms,
            .job_over = outcome == Outcome::served,
            .report = report};
}

inline Report report(double utilisation, double free_slots) {
    return {.utilisation = utilisation, .free_slots = free_slots};
}

} // namespace willowrill::testing
