// Test bench for a single dispatcher: default settings, builders for events, and a driver that records sends.
#pragma once

#include <willowrill/dispatcher.h>

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace willowrill::testing {

using namespace std::chrono_literals;

inline JobClass job_class(Effect effect, Duration aim = 400ms, double aim_stretch = 2) {
    return {.effect = effect,
            .repeat_scope = RepeatScope::cell,
            .repeat_window = 10s,
            .aim = aim,
            .aim_stretch = aim_stretch,
            .give_up = 5s};
}

// Settings with one job class per effect: class 0 is repeatable, class 1 is keyed by cell, and class 2 must
// not run twice.
inline Settings settings() {
    Settings result;
    result.seed = 7;
    result.classes = {job_class(Effect::repeatable), job_class(Effect::keyed), job_class(Effect::once)};
    result.tick = 5ms;
    result.reports_with_answers = true;
    result.may_cancel = true;
    result.second_copies = true;
    result.clients_honor_retry_after = true;
    result.max_attempts = 4;
    result.max_retry_after = 2s;
    result.answer_slack = 20ms;
    result.drain_grace = 500ms;
    result.list_valid = 10s;
    result.cold_time = 8s;
    result.cold_capacity = 0.3;
    result.overload_multiple = 3;
    result.overload_time = 3s;
    return result;
}

// An entry of the worker list. Workers `2 * n` and `2 * n + 1` share a cell.
inline WorkerEntry worker(WorkerId id, Condition condition = Condition::ready, Time up_since = 0s) {
    return {.worker = id, .key = id, .up_since = up_since, .cell = id / 2, .condition = condition};
}

// A complete list of ready workers with the ids 0 to `count` - 1.
inline EndpointListUpdate complete_list(WorkerId count) {
    EndpointListUpdate list{EndpointListUpdate::Kind::complete, {}};
    for (WorkerId id = 0; id < count; ++id) {
        list.entries.push_back(worker(id));
    }
    return list;
}

// The arrival of a job whose client waits for 5 s.
inline JobArrived job(JobId id, Index class_index = 0, double slots = 1) {
    return {.job = id, .job_class = class_index, .time_left = 5s, .slots = slots};
}

// Owns a dispatcher, passes events to it and records every `Send` that it returns.
class DispatcherBench {
  public:
    explicit DispatcherBench(Settings settings = testing::settings()) : dispatcher_(std::move(settings)) {}

    // Passes the events to the dispatcher as one batch at time `now` and returns its actions.
    std::vector<Action> handle(Time now, std::vector<Event> events = {}) {
        std::vector<Action> actions;
        dispatcher_.handle(now, events, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
        }
        return actions;
    }

    // The worker of the most recent `Send`, or `none` if nothing has been sent.
    WorkerId last_worker() const { return sends.empty() ? none : sends.back().worker; }

    std::vector<Send> sends; // in the order in which they were returned

  private:
    Dispatcher dispatcher_;
};

// The actions of type `ActionType`, in their order.
template <class ActionType> std::vector<ActionType> actions_of(const std::vector<Action>& actions) {
    std::vector<ActionType> selected;
    for (const Action& action : actions) {
        if (const auto* match = std::get_if<ActionType>(&action)) selected.push_back(*match);
    }
    return selected;
}

// The end of an attempt after 100 ms; the job is over if it was served.
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
