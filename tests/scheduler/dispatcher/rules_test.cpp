// Tests of the dispatch rules, by mechanism and rule. Each test drives one dispatcher with a sequence of
// events and checks its actions.
#include "support/dispatcher_bench.h"

#include <algorithm>
#include <set>

namespace willowrill::testing {
namespace {

// ---- Worker selection ----------------------------------------------------------------------------------

TEST(Plud, LowestReportedLoadWins) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0), job(1)});
    ASSERT_EQ(stand.sends.size(), 2U);
    ASSERT_NE(stand.sends[0].worker, stand.sends[1].worker); // the first send has increased X of its worker
    const WorkerId busy = stand.sends[0].worker, idle = stand.sends[1].worker;
    stand.handle(1s, {attempt_ended(0, 0, busy, Outcome::served, report(0.8, 2)),
                      attempt_ended(1, 0, idle, Outcome::served, report(0.1, 9)), job(2)});
    EXPECT_EQ(stand.last_worker(), idle);
}

TEST(Plud, EachSendDegradesAndAReportClears) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(1), job(0)});
    stand.handle(1s, {attempt_ended(0, 0, 0, Outcome::served, report(0, 10))});
    EndpointListUpdate second_worker{EndpointListUpdate::Kind::changes, {worker(1)}};
    stand.handle(1s, {second_worker, job(1), job(2), job(3), job(4)});
    const auto to_first = std::count_if(stand.sends.begin() + 1, stand.sends.end(),
                                        [](const Send& send) { return send.worker == 0; });
    EXPECT_GT(to_first, 1); // a worker reported idle ranks before one of unknown load until its X has grown
}

TEST(Plud, AReportMadeBeforeTheLastSendsDoesNotHideThem) {
    DispatcherBench stand;
    EndpointListUpdate list = complete_list(2);
    std::vector<Event> events{list};
    for (JobId id = 0; id < 8; ++id) {
        events.emplace_back(job(id));
    }
    stand.handle(0s, events);
    ASSERT_EQ(stand.sends.size(), 8U);
    const WorkerId first = stand.sends[0].worker;
    // The worker reports that it is idle although three jobs of this dispatcher are still in flight there. It
    // must not get all of the next jobs.
    stand.handle(100ms, {attempt_ended(0, 0, first, Outcome::served, report(0, 10))});
    stand.sends.clear();
    std::vector<Event> arrivals;
    for (JobId id = 10; id < 18; ++id) {
        arrivals.emplace_back(job(id));
    }
    stand.handle(100ms, arrivals);
    EXPECT_LT(std::count_if(stand.sends.begin(), stand.sends.end(),
                            [&](const Send& send) { return send.worker == first; }),
              8);
}

TEST(Plud, ARestartedDispatcherDoesNotPreferTheFirstWorkerOfTheList) {
    std::set<WorkerId> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        DispatcherBench stand(s);
        stand.handle(0s, {complete_list(10), job(0)});
        chosen.insert(stand.last_worker());
    }
    EXPECT_GT(chosen.size(), 4U);
}

TEST(Plud, DispatchersPreferDifferentWorkers) {
    std::set<WorkerId> chosen;
    for (Index self = 0; self < 5; ++self) {
        Settings s = settings();
        s.self = self;
        s.dispatchers = 5;
        DispatcherBench stand(s);
        stand.handle(0s, {complete_list(5), job(0)});
        chosen.insert(stand.last_worker());
    }
    EXPECT_EQ(chosen.size(), 5U);
}

TEST(Plud, AnOldReportFadesSoThatABusyWorkerIsSelectedAgain) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(1), job(0)});
    stand.handle(1s, {attempt_ended(0, 0, 0, Outcome::served, report(1, 0))});
    EndpointListUpdate second_worker{EndpointListUpdate::Kind::changes, {worker(1)}};
    stand.handle(1s, {second_worker});
    std::set<WorkerId> chosen;
    for (JobId id = 1; id < 40; ++id) {
        stand.handle(600s + id * 10s, {job(id)});
        chosen.insert(stand.last_worker());
        stand.handle(600s + id * 10s, {attempt_ended(id, 0, stand.last_worker(), Outcome::served)});
    }
    EXPECT_TRUE(chosen.contains(0));
}

TEST(Plud, AWorkerThatRejectsAJobIsNotSelectedAgainAtOnce) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0)});
    const WorkerId full = stand.last_worker();
    stand.handle(10ms, {attempt_ended(0, 0, full, Outcome::full, report(0, 10))});
    EXPECT_NE(stand.last_worker(), full);
    stand.handle(10ms, {job(1)});
    EXPECT_NE(stand.last_worker(), full);
}

TEST(Plud, AWorkerWhereAJobWaitsUnstartedCountsAsFull) {
    Settings s = settings();
    s.tells_start = true;
    s.may_cancel = false;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(2), job(0, 2, 4)});
    const WorkerId blocked = stand.last_worker();
    stand.handle(1s, {TimerExpired{}});
    // Free slots of this worker are of no use: a job of four slots waits at the head of its queue.
    stand.handle(1s, {job(1)});
    EXPECT_NE(stand.last_worker(), blocked);
}

// Without load reports, every worker had the initial load of 0.5, and a worker with a queue was selected like
// any other.
TEST(Plud, WithoutLoadReportsAWaitBeforeTheStartCountsAsLoad) {
    Settings s = settings();
    s.reports_with_answers = false;
    s.tells_start = true;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(2), job(0), job(1)});
    ASSERT_EQ(stand.sends.size(), 2U);
    const WorkerId slow = stand.sends[0].worker, other = stand.sends[1].worker;
    ASSERT_NE(slow, other);
    stand.handle(5ms, {AttemptStarted{1, 0, other}});
    const auto actions = stand.handle(300ms, {TimerExpired{}, AttemptStarted{0, 0, slow}});
    // No attempt is cancelled to move its job: no other worker is known to have room.
    EXPECT_TRUE(actions_of<Cancel>(actions).empty());
    stand.handle(400ms,
                 {attempt_ended(0, 0, slow, Outcome::served), attempt_ended(1, 0, other, Outcome::served)});
    for (JobId id = 2; id < 5; ++id)
        stand.handle(401ms, {job(id)});
    ASSERT_EQ(stand.sends.size(), 5U);
    for (std::size_t i = 2; i < 5; ++i)
        EXPECT_EQ(stand.sends[i].worker, other);
}

TEST(Plud, ClassesGoOnlyToTheirKind) {
    Settings s = settings();
    s.kinds = 2;
    s.classes[2].kind = 1;
    DispatcherBench stand(s);
    EndpointListUpdate list = complete_list(6);
    list.entries[4].kind = 1;
    stand.handle(0s, {list, job(0, 2), job(1, 2)});
    for (const Send& send : stand.sends) {
        EXPECT_EQ(send.worker, 4U);
    }
    EXPECT_EQ(stand.sends.size(), 2U);
}

// ---- Health --------------------------------------------------------------------------------------------

TEST(Health, AWorkerThatFailsAtOnceIsBackedOff) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(5), job(0)});
    const WorkerId failing = stand.last_worker();
    stand.handle(1ms, {attempt_ended(0, 0, failing, Outcome::error, report(0, 10))});
    for (JobId id = 1; id < 10; ++id) {
        stand.handle(2ms, {job(id)});
        EXPECT_NE(stand.last_worker(), failing);
    }
}

TEST(Health, AfterBackOffAWorkerGetsNoJobThatMustNotRunTwice) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(5), job(0)});
    const WorkerId failing = stand.last_worker();
    stand.handle(1ms, {attempt_ended(0, 0, failing, Outcome::error)});
    for (JobId id = 1; id < 20; ++id) { // it would be the least loaded worker if it were trusted
        stand.handle(1500ms, {job(id, 2)});
        EXPECT_NE(stand.last_worker(), failing);
    }
}

TEST(Health, FailuresOfTheWholeFleetExcludeNoWorker) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(4), job(0), job(1), job(2)});
    for (JobId id = 0; id < 3; ++id) {
        stand.handle(1ms, {attempt_ended(id, 0, stand.sends[id].worker, Outcome::error)});
    }
    stand.sends.clear();
    std::set<WorkerId> chosen;
    for (JobId id = 10; id < 18; ++id) {
        stand.handle(2ms, {job(id)});
        chosen.insert(stand.last_worker());
    }
    EXPECT_GT(chosen.size(), 1U);
}

// ---- Rule 1: one final answer, in time -----------------------------------------------------------------

TEST(RuleOne, AHeldJobIsAnsweredBeforeTheClientGivesUp) {
    DispatcherBench stand;
    stand.handle(0s, {job(0, 2)}); // no worker is known
    std::vector<Action> actions;
    for (Time t = 0s; t <= 5s; t += 5ms) {
        const auto new_actions = stand.handle(t, {TimerExpired{}});
        actions.insert(actions.end(), new_actions.begin(), new_actions.end());
    }
    EXPECT_EQ(actions_of<Refuse>(actions).size() + actions_of<Fail>(actions).size(), 1U);
}

TEST(RuleOne, AJobWhoseAttemptNeverEndsIsFailedInTimeAndNothingFollows) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0, 2)});
    std::vector<Action> actions;
    for (Time t = 5ms; t <= 5s; t += 5ms) {
        const auto new_actions = stand.handle(t, {TimerExpired{}});
        actions.insert(actions.end(), new_actions.begin(), new_actions.end());
    }
    EXPECT_EQ(actions_of<Fail>(actions).size(), 1U);
    actions = stand.handle(6s, {attempt_ended(0, 0, stand.last_worker(), Outcome::error)});
    EXPECT_TRUE(actions_of<Send>(actions).empty() && actions_of<Fail>(actions).empty() &&
                actions_of<Refuse>(actions).empty());
}

TEST(RuleOne, AnAbandonedJobIsNotAnswered) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0)});
    const auto actions = stand.handle(
        1s, {JobAbandoned{0}, attempt_ended(0, 0, stand.last_worker(), Outcome::connect_failed)});
    EXPECT_TRUE(actions_of<Send>(actions).empty() && actions_of<Fail>(actions).empty() &&
                actions_of<Refuse>(actions).empty());
}

TEST(RuleOne, AStreamThatHasBegunHasNoDeadline) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0)});
    stand.handle(1s, {AnswerBegun{0, 0, stand.last_worker(), 1s}});
    const auto actions = stand.handle(20s, {TimerExpired{}});
    EXPECT_TRUE(actions_of<Fail>(actions).empty() && actions_of<Refuse>(actions).empty());
}

// ---- Rule 2: no effect twice ---------------------------------------------------------------------------

TEST(RuleTwo, AJobThatMustNotRunTwiceIsFailedAfterAnError) {
    for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timed_out, Outcome::cancelled}) {
        DispatcherBench stand;
        stand.handle(0s, {complete_list(4), job(0, 2)});
        const auto actions = stand.handle(1ms, {attempt_ended(0, 0, stand.last_worker(), outcome)});
        EXPECT_TRUE(actions_of<Send>(actions).empty());
        EXPECT_TRUE(actions_of<Refuse>(actions).empty());
        EXPECT_EQ(actions_of<Fail>(actions).size(), 1U);
    }
}

TEST(RuleTwo, AJobThatNeverRanIsSentAgain) {
    for (const Outcome outcome : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
        DispatcherBench stand;
        stand.handle(0s, {complete_list(4), job(0, 2)});
        EXPECT_EQ(
            actions_of<Send>(stand.handle(1ms, {attempt_ended(0, 0, stand.last_worker(), outcome)})).size(),
            1U);
    }
}

TEST(RuleTwo, AKeyedJobIsRepeatedInsideItsGroupOnly) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        DispatcherBench stand(s);
        stand.handle(0s, {complete_list(8), job(0, 1)});
        const WorkerId first = stand.last_worker();
        stand.handle(1ms, {attempt_ended(0, 0, first, Outcome::error)});
        ASSERT_EQ(stand.sends.size(), 2U);
        EXPECT_EQ(stand.last_worker() / 2, first / 2);
        EXPECT_NE(stand.last_worker(), first);
    }
}

TEST(RuleTwo, AKeyedJobIsNotRepeatedPastTheWindowOfItsFirstRun) {
    Settings s = settings();
    s.classes[1].repeat_window = 1s;
    s.classes[1].aim = 5s;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(8), job(0, 1)});
    stand.handle(900ms, {attempt_ended(0, 0, stand.last_worker(), Outcome::error)});
    ASSERT_EQ(stand.sends.size(), 2U);
    // The window starts at the first send, not at the second.
    EXPECT_TRUE(actions_of<Send>(stand.handle(1s, {attempt_ended(0, 1, stand.last_worker(), Outcome::error)}))
                    .empty());
}

TEST(RuleTwo, AKeyedJobThatWaitsIsNotRepeatedPastTheWindow) {
    Settings s = settings();
    s.classes[1].repeat_window = 1s;
    s.classes[1].aim = 5s;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(2), job(0, 1)});
    const WorkerId first = stand.last_worker(), other = 1 - first;
    stand.handle(10ms,
                 {EndpointListUpdate{EndpointListUpdate::Kind::changes, {worker(other, Condition::draining)}},
                  attempt_ended(0, 0, first, Outcome::error)});
    const EndpointListUpdate ready_again{EndpointListUpdate::Kind::changes, {worker(other)}};
    EXPECT_TRUE(actions_of<Send>(stand.handle(2s, {ready_again, TimerExpired{}})).empty());
}

TEST(RuleTwo, AHeldJobThatAWorkerRejectsIsSentAgainOnce) {
    DispatcherBench stand;
    stand.handle(0s, {job(0, 2)}); // held: no worker is known
    stand.handle(60ms, {complete_list(1)});
    ASSERT_EQ(stand.sends.size(), 1U);
    EndpointListUpdate new_workers{EndpointListUpdate::Kind::changes, {worker(1), worker(2)}};
    EXPECT_EQ(
        actions_of<Send>(stand.handle(70ms, {new_workers, attempt_ended(0, 0, 0, Outcome::full), job(1)}))
            .size(),
        2U);
}

TEST(RuleTwo, WithoutSecondCopiesAnAttemptEndsBeforeTheNextIsSent) {
    Settings s = settings();
    s.second_copies = false;
    s.tells_start = true;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(4), job(0)});
    std::vector<Action> actions;
    for (Time t = 5ms; t < 400ms; t += 5ms) {
        const auto new_actions = stand.handle(t, {TimerExpired{}});
        actions.insert(actions.end(), new_actions.begin(), new_actions.end());
    }
    EXPECT_EQ(actions_of<Cancel>(actions).size(), 1U);
    EXPECT_TRUE(actions_of<Send>(actions).empty());
    EXPECT_EQ(
        actions_of<Send>(stand.handle(400ms, {attempt_ended(0, 0, stand.last_worker(), Outcome::cancelled)}))
            .size(),
        1U);
}

// ---- Rule 3: drains are respected ----------------------------------------------------------------------

TEST(RuleThree, NothingNewGoesToADrainingOrGoneWorker) {
    for (const Condition condition : {Condition::draining, Condition::gone}) {
        DispatcherBench stand;
        stand.handle(0s, {complete_list(3)});
        stand.handle(1s, {EndpointListUpdate{EndpointListUpdate::Kind::changes,
                                             {worker(0, condition), worker(1, condition)}}});
        for (JobId id = 0; id < 10; ++id) {
            stand.handle(2s, {job(id)});
            EXPECT_EQ(stand.last_worker(), 2U);
        }
    }
}

TEST(RuleThree, AWorkerMissingFromACompleteListIsGone) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(3)});
    stand.handle(1s, {complete_list(1)});
    for (JobId id = 0; id < 5; ++id) {
        stand.handle(2s, {job(id)});
        EXPECT_EQ(stand.last_worker(), 0U);
    }
}

TEST(RuleThree, ARepeatedJobDoesNotReturnToAWorkerThatDrainsMeanwhile) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(2), job(0)});
    const WorkerId first = stand.last_worker(), other = 1 - first;
    stand.handle(1s,
                 {EndpointListUpdate{EndpointListUpdate::Kind::changes, {worker(other, Condition::draining)}},
                  attempt_ended(0, 0, first, Outcome::full)});
    EXPECT_EQ(stand.sends.size(), 1U);
}

TEST(RuleThree, TheListIsRequestedOftenEnoughThoughEveryRequestFails) {
    Settings s = settings();
    s.list_on_request = true;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(2)});
    Time last_requested = 0s;
    stand.handle(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
    for (Time t = 5ms; t < 120s; t += 5ms) {
        if (actions_of<WatchList>(stand.handle(t, {TimerExpired{}})).empty()) continue;
        EXPECT_LT(t - last_requested, s.list_valid);
        last_requested = t;
        stand.handle(t + 1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
    }
    EXPECT_GT(last_requested, 100s);
}

// A late update of the broken subscription was taken for the first update of the new one, so that the list
// was not requested again.
TEST(RuleThree, TheListIsRequestedThoughUpdatesOfTheBrokenSubscriptionStillArrive) {
    Settings s = settings();
    s.list_on_request = true;
    for (const bool at_once : {false, true}) {
        DispatcherBench stand(s);
        stand.handle(0s, {complete_list(2)});
        if (at_once) {
            stand.handle(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}, complete_list(2)});
        } else {
            stand.handle(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
            stand.handle(2ms, {complete_list(2)});
        }
        bool requested = false;
        for (Time t = 5ms; t < s.list_valid; t += 5ms)
            requested = requested || !actions_of<WatchList>(stand.handle(t, {TimerExpired{}})).empty();
        EXPECT_TRUE(requested);
    }
}

TEST(RuleThree, DispatchersThatStartTogetherRequestTheListAtDifferentTimes) {
    std::set<Time> request_times;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        s.list_on_request = true;
        DispatcherBench stand(s);
        stand.handle(0s, {EndpointListUpdate{EndpointListUpdate::Kind::remembered, {worker(0)}}});
        for (Time t = 0s; t < 10s; t += 5ms) {
            if (!actions_of<WatchList>(stand.handle(t, {TimerExpired{}})).empty()) {
                request_times.insert(t);
                break;
            }
        }
    }
    EXPECT_GT(request_times.size(), 15U);
}

// ---- Rule 4: no cold worker is overloaded --------------------------------------------------------------

TEST(RuleFour, ManyDispatchersTogetherStayWithinAColdWorkersBudget) {
    const Index dispatchers = 200;
    int sent = 0;
    for (Index self = 0; self < dispatchers; ++self) {
        Settings s = settings();
        s.self = self;
        s.seed = self;
        s.dispatchers = dispatchers;
        s.classes[0].aim = 1s; // also the initial estimate of the run time
        DispatcherBench stand(s);
        stand.handle(100s, {EndpointListUpdate{EndpointListUpdate::Kind::complete,
                                               {worker(0, Condition::ready, 100s)}},
                            job(0)});
        sent += static_cast<int>(stand.sends.size());
    }
    // The budget is 2.7 jobs of one second: a capacity of at least 0.3 slots, times the overload multiple of
    // 3, times the window of 3 s.
    EXPECT_LE(sent, 5);
}

// Workers of unknown slots were assumed to have one slot each, so that 60 of 100 cold workers got a tenth of
// the work that they could take.
TEST(RuleFour, ColdWorkersOfUnknownSlotsGetWorkByTheirWarmth) {
    Settings s = settings();
    s.reports_with_answers = false;
    s.tells_start = true;
    s.dispatchers = 50;
    s.overload_time = 1s;
    DispatcherBench stand(s);
    EndpointListUpdate list = complete_list(10);
    for (WorkerId id = 0; id < 5; ++id)
        list.entries[id].up_since = 96s; // in the middle of the warm-up at 100 s
    stand.handle(100s, {list});
    int sent_to_cold = 0, sent_total = 0;
    for (JobId id = 0; id < 400; ++id) {
        const Time at = 100s + id * 10ms;
        stand.handle(at, {job(id)});
        ASSERT_EQ(stand.sends.size(), id + 1);
        const WorkerId target = stand.last_worker();
        sent_to_cold += target < 5 ? 1 : 0;
        ++sent_total;
        stand.handle(at + 5ms,
                     {AttemptStarted{id, 0, target}, attempt_ended(id, 0, target, Outcome::served)});
    }
    EXPECT_GT(sent_to_cold, sent_total / 10);
    EXPECT_LT(sent_to_cold, sent_total * 3 / 5);
}

TEST(RuleFour, AWarmWorkerIsNotLimitedByABudget) {
    DispatcherBench stand;
    stand.handle(100s,
                 {EndpointListUpdate{EndpointListUpdate::Kind::complete, {worker(0, Condition::ready, 90s)}},
                  job(0), job(1)});
    EXPECT_EQ(stand.sends.size(), 2U);
}

// ---- Holding, refusing, moving -------------------------------------------------------------------------

TEST(Holding, AJobTooLateToHaveWorthIsRefusedNotSent) {
    DispatcherBench stand;
    stand.handle(0s, {job(0, 2)});
    std::vector<Action> actions;
    for (Time t = 5ms; t <= 2s; t += 5ms) {
        const auto new_actions = stand.handle(t, {TimerExpired{}});
        actions.insert(actions.end(), new_actions.begin(), new_actions.end());
    }
    ASSERT_EQ(actions_of<Refuse>(actions).size(), 1U);
    EXPECT_GT(actions_of<Refuse>(actions)[0].retry_after, 0s);
}

// After a burst, queued jobs that could not be in time any more were still run, so that the jobs behind them
// were late too, long after the burst.
TEST(Holding, AnUnstartedJobThatCannotBeInTimeIsCancelledAndAnswered) {
    for (const Index class_index : {0U, 2U}) {
        Settings s = settings();
        s.tells_start = true;
        DispatcherBench stand(s);
        stand.handle(0s, {complete_list(1), job(0, class_index), job(1, class_index)});
        ASSERT_EQ(stand.sends.size(), 2U);
        stand.handle(5ms, {AttemptStarted{1, 0, 0}});
        std::vector<Action> actions;
        for (Time t = 10ms; t <= 2s; t += 5ms) {
            const auto new_actions = stand.handle(t, {TimerExpired{}});
            actions.insert(actions.end(), new_actions.begin(), new_actions.end());
        }
        // The target latency is 400 ms plus twice the run time; clients wait for 5 s.
        ASSERT_EQ(actions_of<Cancel>(actions).size(), 1U);
        EXPECT_EQ(actions_of<Cancel>(actions)[0].job, 0U); // not the running job
        ASSERT_EQ(actions_of<Refuse>(actions).size(), class_index == 0 ? 1U : 0U);
        EXPECT_EQ(actions_of<Fail>(actions).size(),
                  class_index == 0 ? 0U : 1U); // it may have run: not refused
        for (const Refuse& refusal : actions_of<Refuse>(actions))
            EXPECT_GT(refusal.retry_after, 0s);
    }
}

TEST(Holding, TheMoreValuableJobTakesTheFreeSlot) {
    Settings s = settings();
    s.classes[2].worth = 10;
    DispatcherBench stand(s);
    stand.handle(0s, {job(0, 0), job(1, 2)});
    stand.handle(50ms, {complete_list(1)});
    ASSERT_FALSE(stand.sends.empty());
    EXPECT_EQ(stand.sends[0].job, 1U);
}

TEST(Holding, JobsBeyondTheTenantsQuotaComeLast) {
    Settings s = settings();
    s.tenants = {{0.5, 1}, {0.5, 100}};
    s.over_quota_worth = 0.2;
    DispatcherBench stand(s);
    std::vector<Event> events;
    for (JobId id = 0; id < 6; ++id) {
        JobArrived arrival = job(id);
        arrival.tenant = id < 5 ? 0 : 1;
        events.emplace_back(arrival);
    }
    stand.handle(10s, events);
    stand.handle(10s + 50ms, {complete_list(1)});
    ASSERT_GE(stand.sends.size(), 3U); // two jobs of the first tenant are within its quota
    EXPECT_TRUE(std::any_of(stand.sends.begin(), stand.sends.begin() + 3,
                            [](const Send& send) { return send.job == 5; }));
}

TEST(Moving, AJobNotStartedMovesToAWorkerWithRoom) {
    Settings s = settings();
    s.tells_start = true;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(4), job(0)});
    const WorkerId first = stand.last_worker();
    const auto actions = stand.handle(200ms, {TimerExpired{}});
    EXPECT_EQ(actions_of<Cancel>(actions).size(), 1U);
    ASSERT_EQ(actions_of<Send>(actions).size(), 1U);
    EXPECT_NE(stand.last_worker(), first);
}

TEST(Moving, AStartedJobStays) {
    Settings s = settings();
    s.tells_start = true;
    DispatcherBench stand(s);
    stand.handle(0s, {complete_list(4), job(0)});
    stand.handle(10ms, {AttemptStarted{0, 0, stand.last_worker()}});
    EXPECT_TRUE(actions_of<Cancel>(stand.handle(1s, {TimerExpired{}})).empty());
}

TEST(Retries, FailuresDoNotMultiplyTraffic) {
    DispatcherBench stand;
    stand.handle(0s, {complete_list(50)});
    std::size_t first_tries = 0;
    for (JobId id = 0; id < 400; ++id) {
        stand.handle(id * 1ms, {job(id)});
        ++first_tries;
        for (Index attempt = 0; attempt < 3; ++attempt) {
            const std::size_t sends_before = stand.sends.size();
            // A different report each time, so that the sends are not ended by a lack of room instead.
            stand.handle(id * 1ms, {attempt_ended(id, attempt, stand.last_worker(), Outcome::error,
                                                  report(0.001 * id, 9))});
            if (stand.sends.size() == sends_before) break;
        }
    }
    EXPECT_LT(stand.sends.size(), first_tries * 3 / 2);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        DispatcherBench stand;
        stand.handle(0s, {complete_list(20)});
        for (JobId id = 0; id < 100; ++id) {
            stand.handle(id * 1ms, {job(id, id % 3)});
        }
        std::vector<WorkerId> chosen;
        chosen.reserve(stand.sends.size());
        for (const Send& send : stand.sends) {
            chosen.push_back(send.worker);
        }
        return chosen;
    };
    EXPECT_EQ(run(), run());
}

} // namespace
} // namespace willowrill::testing
