// The processor time of one decision, by the module alone.
#include "lab/scale/case.h"

#include <willowrill/dispatcher.h>

#include <ctime>

namespace willowrill::lab::scale {
namespace {

using namespace std::chrono_literals;

constexpr int warm_up = 200, measured = 2000; // jobs

std::chrono::nanoseconds processor_time() {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

Settings settings_for(std::size_t schedulers) {
    Settings out;
    out.dispatchers = static_cast<Index>(schedulers);
    out.classes = {{.effect = Effect::repeatable, .aim = 2s, .give_up = 10s}};
    out.tick = 5ms;
    out.reports_with_answers = out.reports_with_probes = true;
    out.may_cancel = true;
    out.max_attempts = 4;
    out.list_valid = 10s;
    return out;
}

} // namespace

Sample measure_decision(std::size_t schedulers, std::size_t workers) {
    Dispatcher dispatcher(settings_for(schedulers));
    ListNews list{ListNews::Kind::complete, {}};
    for (std::size_t id = 0; id < workers; ++id)
        list.entries.push_back({.worker = static_cast<WorkerId>(id), .key = key_of(std::to_string(id))});
    std::vector<Action> actions;
    Time now = 1s;
    dispatcher.handle(now, std::vector<Event>{list}, actions);
    std::chrono::nanoseconds begun{0};
    for (int i = 0; i < warm_up + measured; ++i) {
        if (i == warm_up) begun = processor_time();
        actions.clear();
        now += 50ms;
        dispatcher.handle(now, std::vector<Event>{JobArrived{.job = 0, .left = 10s}}, actions);
        WorkerId to = 0;
        for (const Action& action : actions)
            if (const auto* send = std::get_if<Send>(&action)) to = send->worker;
        actions.clear();
        now += 50ms;
        dispatcher.handle(
            now,
            std::vector<Event>{AttemptEnded{.job = 0,
                                            .worker = to,
                                            .latency = 50ms,
                                            .job_over = true,
                                            .report = Report{.utilisation = 0.3, .free_slots = 3}}},
            actions);
    }
    const auto spent = std::chrono::duration<double, std::micro>(processor_time() - begun);
    return {.role = Role::decision, .phase = Phase::steady, .cpu_us_per_job = spent.count() / measured};
}

} // namespace willowrill::lab::scale
