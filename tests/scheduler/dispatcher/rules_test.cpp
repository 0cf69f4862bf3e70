// Each test is named for the failure it guards against.
#include "support/bench.h"

#include <algorithm>
#include <set>

namespace willowrill::testing {
namespace {

// ---- The mechanism -------------------------------------------------------------------------------------

TEST(Plud, LowestReportedLoadWins) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0), job(1)});
    ASSERT_EQ(stand.sends.size(), 2U);
    ASSERT_NE(stand.sends[0].worker, stand.sends[1].worker); // X of the first has grown
    const WorkerId busy = stand.sends[0].worker, idle = stand.sends[1].worker;
    stand.at(1s, {ended(0, 0, busy, Outcome::served, report(0.8, 2)),
                  ended(1, 0, idle, Outcome::served, report(0.1, 9)), job(2)});
    EXPECT_EQ(stand.last_worker(), idle);
}

TEST(Plud, EachSendDegradesAndAReportClears) {
    Stand stand;
    stand.at(0s, {whole_list(1), job(0)});
    stand.at(1s, {ended(0, 0, 0, Outcome::served, report(0, 10))});
    EndpointListUpdate second{EndpointListUpdate::Kind::changes, {worker(1)}};
    stand.at(1s, {second, job(1), job(2), job(3), job(4)});
    const auto to_first = std::count_if(stand.sends.begin() + 1, stand.sends.end(),
                                        [](const Send& send) { return send.worker == 0; });
    EXPECT_GT(to_first, 1); // the reported idle worker is ahead of the unknown one, until X has grown
}

TEST(Plud, AReportThatLeftBeforeTheLastSendsDoesNotHideThem) {
    Stand stand;
    EndpointListUpdate list = whole_list(2);
    std::vector<Event> events{list};
    for (JobId id = 0; id < 8; ++id) {
        events.emplace_back(job(id));
    }
    stand.at(0s, events);
    ASSERT_EQ(stand.sends.size(), 8U);
    const WorkerId first = stand.sends[0].worker;
    // It says that it is idle, though three of our jobs are still there: it must not take all that comes.
    stand.at(100ms, {ended(0, 0, first, Outcome::served, report(0, 10))});
    stand.sends.clear();
    std::vector<Event> more;
    for (JobId id = 10; id < 18; ++id) {
        more.emplace_back(job(id));
    }
    stand.at(100ms, more);
    EXPECT_LT(std::count_if(stand.sends.begin(), stand.sends.end(),
                            [&](const Send& send) { return send.worker == first; }),
              8);
}

TEST(Plud, ARestartedDispatcherDoesNotCrowdTheFirstOfTheList) {
    std::set<WorkerId> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        Stand stand(s);
        stand.at(0s, {whole_list(10), job(0)});
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
        Stand stand(s);
        stand.at(0s, {whole_list(5), job(0)});
        chosen.insert(stand.last_worker());
    }
    EXPECT_EQ(chosen.size(), 5U);
}

TEST(Plud, AnOldReportFadesSoThatABusyWorkerComesUpAgain) {
    Stand stand;
    stand.at(0s, {whole_list(1), job(0)});
    stand.at(1s, {ended(0, 0, 0, Outcome::served, report(1, 0))});
    EndpointListUpdate second{EndpointListUpdate::Kind::changes, {worker(1)}};
    stand.at(1s, {second});
    std::set<WorkerId> chosen;
    for (JobId id = 1; id < 40; ++id) {
        stand.at(600s + id * 10s, {job(id)});
        chosen.insert(stand.last_worker());
        stand.at(600s + id * 10s, {ended(id, 0, stand.last_worker(), Outcome::served)});
    }
    EXPECT_TRUE(chosen.contains(0));
}

TEST(Plud, AWorkerThatTurnsAwayIsSkippedAndDoesNotKeepWinning) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0)});
    const WorkerId full = stand.last_worker();
    stand.at(10ms, {ended(0, 0, full, Outcome::full, report(0, 10))});
    EXPECT_NE(stand.last_worker(), full);
    stand.at(10ms, {job(1)});
    EXPECT_NE(stand.last_worker(), full);
}

TEST(Plud, AWorkerWhereAJobWaitsUnstartedCountsAsFull) {
    Settings s = settings();
    s.tells_start = true;
    s.may_cancel = false;
    Stand stand(s);
    stand.at(0s, {whole_list(2), job(0, 2, 4)});
    const WorkerId blocked = stand.last_worker();
    stand.at(1s, {TimerExpired{}});
    // Free slots, says the report, but the job of four slots waits at the head of the queue.
    stand.at(1s, {job(1)});
    EXPECT_NE(stand.last_worker(), blocked);
}

// Load that is never told was a mean of nothing, 0.5 for all: a worker with a queue was picked like any
// other.
TEST(Plud, WhereLoadIsNeverToldAWaitBeforeTheStartIsLoad) {
    Settings s = settings();
    s.reports_with_answers = false;
    s.tells_start = true;
    Stand stand(s);
    stand.at(0s, {whole_list(2), job(0), job(1)});
    ASSERT_EQ(stand.sends.size(), 2U);
    const WorkerId slow = stand.sends[0].worker, other = stand.sends[1].worker;
    ASSERT_NE(slow, other);
    stand.at(5ms, {AttemptStarted{1, 0, other}});
    const auto actions = stand.at(300ms, {TimerExpired{}, AttemptStarted{0, 0, slow}});
    // Nothing was called off to move: that there is room elsewhere is not known.
    EXPECT_TRUE(all<Cancel>(actions).empty());
    stand.at(400ms, {ended(0, 0, slow, Outcome::served), ended(1, 0, other, Outcome::served)});
    for (JobId id = 2; id < 5; ++id)
        stand.at(401ms, {job(id)});
    ASSERT_EQ(stand.sends.size(), 5U);
    for (std::size_t i = 2; i < 5; ++i)
        EXPECT_EQ(stand.sends[i].worker, other);
}

TEST(Plud, ClassesGoOnlyToTheirKind) {
    Settings s = settings();
    s.kinds = 2;
    s.classes[2].kind = 1;
    Stand stand(s);
    EndpointListUpdate list = whole_list(6);
    list.entries[4].kind = 1;
    stand.at(0s, {list, job(0, 2), job(1, 2)});
    for (const Send& send : stand.sends) {
        EXPECT_EQ(send.worker, 4U);
    }
    EXPECT_EQ(stand.sends.size(), 2U);
}

// ---- Health --------------------------------------------------------------------------------------------

TEST(Health, AWorkerThatFailsAtOnceRests) {
    Stand stand;
    stand.at(0s, {whole_list(5), job(0)});
    const WorkerId bad = stand.last_worker();
    stand.at(1ms, {ended(0, 0, bad, Outcome::error, report(0, 10))});
    for (JobId id = 1; id < 10; ++id) {
        stand.at(2ms, {job(id)});
        EXPECT_NE(stand.last_worker(), bad);
    }
}

TEST(Health, AfterRestItFirstServesAJobThatMayBeRepeated) {
    Stand stand;
    stand.at(0s, {whole_list(5), job(0)});
    const WorkerId bad = stand.last_worker();
    stand.at(1ms, {ended(0, 0, bad, Outcome::error)});
    for (JobId id = 1; id < 20; ++id) { // idle by far, were it trusted
        stand.at(1500ms, {job(id, 2)});
        EXPECT_NE(stand.last_worker(), bad);
    }
}

TEST(Health, TroubleOfTheWholeFleetCondemnsNobody) {
    Stand stand;
    stand.at(0s, {whole_list(4), job(0), job(1), job(2)});
    for (JobId id = 0; id < 3; ++id) {
        stand.at(1ms, {ended(id, 0, stand.sends[id].worker, Outcome::error)});
    }
    stand.sends.clear();
    std::set<WorkerId> chosen;
    for (JobId id = 10; id < 18; ++id) {
        stand.at(2ms, {job(id)});
        chosen.insert(stand.last_worker());
    }
    EXPECT_GT(chosen.size(), 1U);
}

// ---- Rule 1: one final answer, in time -----------------------------------------------------------------

TEST(RuleOne, AHeldJobIsAnsweredBeforeTheClientGivesUp) {
    Stand stand;
    stand.at(0s, {job(0, 2)}); // no worker is known
    std::vector<Action> actions;
    for (Time t = 0s; t <= 5s; t += 5ms) {
        const auto more = stand.at(t, {TimerExpired{}});
        actions.insert(actions.end(), more.begin(), more.end());
    }
    EXPECT_EQ(all<Refuse>(actions).size() + all<Fail>(actions).size(), 1U);
}

TEST(RuleOne, AJobWhoseAttemptNeverEndsIsFailedInTimeAndNothingFollows) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0, 2)});
    std::vector<Action> actions;
    for (Time t = 5ms; t <= 5s; t += 5ms) {
        const auto more = stand.at(t, {TimerExpired{}});
        actions.insert(actions.end(), more.begin(), more.end());
    }
    EXPECT_EQ(all<Fail>(actions).size(), 1U);
    actions = stand.at(6s, {ended(0, 0, stand.last_worker(), Outcome::error)});
    EXPECT_TRUE(all<Send>(actions).empty() && all<Fail>(actions).empty() && all<Refuse>(actions).empty());
}

TEST(RuleOne, AJobThatTheClientLeftIsNotAnswered) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0)});
    const auto actions =
        stand.at(1s, {JobAbandoned{0}, ended(0, 0, stand.last_worker(), Outcome::connect_failed)});
    EXPECT_TRUE(all<Send>(actions).empty() && all<Fail>(actions).empty() && all<Refuse>(actions).empty());
}

TEST(RuleOne, AStreamThatHasBegunHasNoDeadline) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0)});
    stand.at(1s, {AnswerBegun{0, 0, stand.last_worker(), 1s}});
    const auto actions = stand.at(20s, {TimerExpired{}});
    EXPECT_TRUE(all<Fail>(actions).empty() && all<Refuse>(actions).empty());
}

// ---- Rule 2: no effect twice ---------------------------------------------------------------------------

TEST(RuleTwo, AJobThatMustNotRunTwiceIsFailedAfterAnError) {
    for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timed_out, Outcome::cancelled}) {
        Stand stand;
        stand.at(0s, {whole_list(4), job(0, 2)});
        const auto actions = stand.at(1ms, {ended(0, 0, stand.last_worker(), outcome)});
        EXPECT_TRUE(all<Send>(actions).empty());
        EXPECT_TRUE(all<Refuse>(actions).empty());
        EXPECT_EQ(all<Fail>(actions).size(), 1U);
    }
}

TEST(RuleTwo, AJobThatNeverRanIsSentAgain) {
    for (const Outcome outcome : {Outcome::full, Outcome::connect_failed, Outcome::not_sent}) {
        Stand stand;
        stand.at(0s, {whole_list(4), job(0, 2)});
        EXPECT_EQ(all<Send>(stand.at(1ms, {ended(0, 0, stand.last_worker(), outcome)})).size(), 1U);
    }
}

TEST(RuleTwo, AKeyedJobIsRepeatedInsideItsGroupOnly) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        Stand stand(s);
        stand.at(0s, {whole_list(8), job(0, 1)});
        const WorkerId first = stand.last_worker();
        stand.at(1ms, {ended(0, 0, first, Outcome::error)});
        ASSERT_EQ(stand.sends.size(), 2U);
        EXPECT_EQ(stand.last_worker() / 2, first / 2);
        EXPECT_NE(stand.last_worker(), first);
    }
}

TEST(RuleTwo, AKeyedJobIsNotRepeatedPastTheWindowOfItsFirstRun) {
    Settings s = settings();
    s.classes[1].repeat_window = 1s;
    s.classes[1].aim = 5s;
    Stand stand(s);
    stand.at(0s, {whole_list(8), job(0, 1)});
    stand.at(900ms, {ended(0, 0, stand.last_worker(), Outcome::error)});
    ASSERT_EQ(stand.sends.size(), 2U);
    // The window counts from the first send, not from the second.
    EXPECT_TRUE(all<Send>(stand.at(1s, {ended(0, 1, stand.last_worker(), Outcome::error)})).empty());
}

TEST(RuleTwo, AKeyedJobThatWaitsIsNotRepeatedPastTheWindow) {
    Settings s = settings();
    s.classes[1].repeat_window = 1s;
    s.classes[1].aim = 5s;
    Stand stand(s);
    stand.at(0s, {whole_list(2), job(0, 1)});
    const WorkerId first = stand.last_worker(), other = 1 - first;
    stand.at(10ms,
             {EndpointListUpdate{EndpointListUpdate::Kind::changes, {worker(other, Condition::draining)}},
              ended(0, 0, first, Outcome::error)});
    const EndpointListUpdate back{EndpointListUpdate::Kind::changes, {worker(other)}};
    EXPECT_TRUE(all<Send>(stand.at(2s, {back, TimerExpired{}})).empty());
}

TEST(RuleTwo, ATurnedAwayJobInTwoListsIsSentOnce) {
    Stand stand;
    stand.at(0s, {job(0, 2)}); // held: no worker is known
    stand.at(60ms, {whole_list(1)});
    ASSERT_EQ(stand.sends.size(), 1U);
    EndpointListUpdate more{EndpointListUpdate::Kind::changes, {worker(1), worker(2)}};
    EXPECT_EQ(all<Send>(stand.at(70ms, {more, ended(0, 0, 0, Outcome::full), job(1)})).size(), 2U);
}

TEST(RuleTwo, WithoutSecondCopiesAnAttemptEndsBeforeTheNextIsSent) {
    Settings s = settings();
    s.second_copies = false;
    s.tells_start = true;
    Stand stand(s);
    stand.at(0s, {whole_list(4), job(0)});
    std::vector<Action> actions;
    for (Time t = 5ms; t < 400ms; t += 5ms) {
        const auto more = stand.at(t, {TimerExpired{}});
        actions.insert(actions.end(), more.begin(), more.end());
    }
    EXPECT_EQ(all<Cancel>(actions).size(), 1U);
    EXPECT_TRUE(all<Send>(actions).empty());
    EXPECT_EQ(all<Send>(stand.at(400ms, {ended(0, 0, stand.last_worker(), Outcome::cancelled)})).size(), 1U);
}

// ---- Rule 3: drains are kept ---------------------------------------------------------------------------

TEST(RuleThree, NothingNewGoesToADrainingOrGoneWorker) {
    for (const Condition condition : {Condition::draining, Condition::gone}) {
        Stand stand;
        stand.at(0s, {whole_list(3)});
        stand.at(1s, {EndpointListUpdate{EndpointListUpdate::Kind::changes,
                                         {worker(0, condition), worker(1, condition)}}});
        for (JobId id = 0; id < 10; ++id) {
            stand.at(2s, {job(id)});
            EXPECT_EQ(stand.last_worker(), 2U);
        }
    }
}

TEST(RuleThree, AWorkerMissingFromACompleteListIsGone) {
    Stand stand;
    stand.at(0s, {whole_list(3)});
    stand.at(1s, {whole_list(1)});
    for (JobId id = 0; id < 5; ++id) {
        stand.at(2s, {job(id)});
        EXPECT_EQ(stand.last_worker(), 0U);
    }
}

TEST(RuleThree, ARepeatedJobDoesNotReturnToAWorkerThatDrainsMeanwhile) {
    Stand stand;
    stand.at(0s, {whole_list(2), job(0)});
    const WorkerId first = stand.last_worker(), other = 1 - first;
    stand.at(1s, {EndpointListUpdate{EndpointListUpdate::Kind::changes, {worker(other, Condition::draining)}},
                  ended(0, 0, first, Outcome::full)});
    EXPECT_EQ(stand.sends.size(), 1U);
}

TEST(RuleThree, TheListIsAskedForOftenEnoughThoughEveryCallFails) {
    Settings s = settings();
    s.list_on_request = true;
    Stand stand(s);
    stand.at(0s, {whole_list(2)});
    Time last_asked = 0s;
    stand.at(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
    for (Time t = 5ms; t < 120s; t += 5ms) {
        if (all<WatchList>(stand.at(t, {TimerExpired{}})).empty()) continue;
        EXPECT_LT(t - last_asked, s.list_valid);
        last_asked = t;
        stand.at(t + 1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
    }
    EXPECT_GT(last_asked, 100s);
}

// It was taken for the new subscription's first word.
TEST(RuleThree, TheListIsAskedForThoughSomeOfTheBrokenWatchStillComes) {
    Settings s = settings();
    s.list_on_request = true;
    for (const bool at_once : {false, true}) {
        Stand stand(s);
        stand.at(0s, {whole_list(2)});
        if (at_once) {
            stand.at(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}, whole_list(2)});
        } else {
            stand.at(1ms, {EndpointListUpdate{EndpointListUpdate::Kind::broken, {}}});
            stand.at(2ms, {whole_list(2)});
        }
        bool asked = false;
        for (Time t = 5ms; t < s.list_valid; t += 5ms)
            asked = asked || !all<WatchList>(stand.at(t, {TimerExpired{}})).empty();
        EXPECT_TRUE(asked);
    }
}

TEST(RuleThree, DispatchersThatStartTogetherAskAtDifferentTimes) {
    std::set<Time> asked;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        Settings s = settings();
        s.seed = seed;
        s.list_on_request = true;
        Stand stand(s);
        stand.at(0s, {EndpointListUpdate{EndpointListUpdate::Kind::remembered, {worker(0)}}});
        for (Time t = 0s; t < 10s; t += 5ms) {
            if (!all<WatchList>(stand.at(t, {TimerExpired{}})).empty()) {
                asked.insert(t);
                break;
            }
        }
    }
    EXPECT_GT(asked.size(), 15U);
}

// ---- Rule 4: no cold worker is pushed over -------------------------------------------------------------

TEST(RuleFour, ManyDispatchersTogetherStayWithinAColdWorkersBudget) {
    const Index dispatchers = 200;
    int sent = 0;
    for (Index self = 0; self < dispatchers; ++self) {
        Settings s = settings();
        s.self = self;
        s.seed = self;
        s.dispatchers = dispatchers;
        s.classes[0].aim = 1s; // the running time assumed at first
        Stand stand(s);
        stand.at(100s,
                 {EndpointListUpdate{EndpointListUpdate::Kind::complete, {worker(0, Condition::ready, 100s)}},
                  job(0)});
        sent += static_cast<int>(stand.sends.size());
    }
    // Present capacity is 0.3 of one slot or more, the multiple 3, the window 3 s: 2.7 jobs of a second.
    EXPECT_LE(sent, 5);
}

// Their slots were taken for one each: 60 of 100 cold workers had a tenth of what they could bear.
TEST(RuleFour, ColdWorkersOfUnknownSlotsBearAPartOfTheWorkByTheirWarmth) {
    Settings s = settings();
    s.reports_with_answers = false;
    s.tells_start = true;
    s.dispatchers = 50;
    s.overload_time = 1s;
    Stand stand(s);
    EndpointListUpdate list = whole_list(10);
    for (WorkerId id = 0; id < 5; ++id)
        list.entries[id].up_since = 96s; // half warm by 100 s
    stand.at(100s, {list});
    int cold = 0, all_sent = 0;
    for (JobId id = 0; id < 400; ++id) {
        const Time at = 100s + id * 10ms;
        stand.at(at, {job(id)});
        ASSERT_EQ(stand.sends.size(), id + 1);
        const WorkerId to = stand.last_worker();
        cold += to < 5 ? 1 : 0;
        ++all_sent;
        stand.at(at + 5ms, {AttemptStarted{id, 0, to}, ended(id, 0, to, Outcome::served)});
    }
    EXPECT_GT(cold, all_sent / 10);
    EXPECT_LT(cold, all_sent * 3 / 5);
}

TEST(RuleFour, AWarmWorkerHasNoBudget) {
    Stand stand;
    stand.at(100s,
             {EndpointListUpdate{EndpointListUpdate::Kind::complete, {worker(0, Condition::ready, 90s)}},
              job(0), job(1)});
    EXPECT_EQ(stand.sends.size(), 2U);
}

// ---- Holding, refusing, moving -------------------------------------------------------------------------

TEST(Holding, AJobThatIsTooLateToBeWorthAnythingIsRefusedNotSent) {
    Stand stand;
    stand.at(0s, {job(0, 2)});
    std::vector<Action> actions;
    for (Time t = 5ms; t <= 2s; t += 5ms) {
        const auto more = stand.at(t, {TimerExpired{}});
        actions.insert(actions.end(), more.begin(), more.end());
    }
    ASSERT_EQ(all<Refuse>(actions).size(), 1U);
    EXPECT_GT(all<Refuse>(actions)[0].retry_after, 0s);
}

// A burst left queues of jobs that all came late, and so did whatever came behind them, long after it was
// over.
TEST(Holding, AJobThatHasNotStartedWhenItCannotBeInTimeAnyMoreIsCalledOffAndAnswered) {
    for (const Index of_class : {0U, 2U}) {
        Settings s = settings();
        s.tells_start = true;
        Stand stand(s);
        stand.at(0s, {whole_list(1), job(0, of_class), job(1, of_class)});
        ASSERT_EQ(stand.sends.size(), 2U);
        stand.at(5ms, {AttemptStarted{1, 0, 0}});
        std::vector<Action> actions;
        for (Time t = 10ms; t <= 2s; t += 5ms) {
            const auto more = stand.at(t, {TimerExpired{}});
            actions.insert(actions.end(), more.begin(), more.end());
        }
        // The class's aim is 400 ms and twice its run, and its clients wait for 5 s.
        ASSERT_EQ(all<Cancel>(actions).size(), 1U);
        EXPECT_EQ(all<Cancel>(actions)[0].job, 0U); // not the one that runs
        ASSERT_EQ(all<Refuse>(actions).size(), of_class == 0 ? 1U : 0U);
        EXPECT_EQ(all<Fail>(actions).size(), of_class == 0 ? 0U : 1U); // it may have run: no refusal
        for (const Refuse& refusal : all<Refuse>(actions))
            EXPECT_GT(refusal.retry_after, 0s);
    }
}

TEST(Holding, TheMoreValuableJobTakesTheFreeSlot) {
    Settings s = settings();
    s.classes[2].worth = 10;
    Stand stand(s);
    stand.at(0s, {job(0, 0), job(1, 2)});
    stand.at(50ms, {whole_list(1)});
    ASSERT_FALSE(stand.sends.empty());
    EXPECT_EQ(stand.sends[0].job, 1U);
}

TEST(Holding, JobsPastTheTenantsShareComeLast) {
    Settings s = settings();
    s.tenants = {{0.5, 1}, {0.5, 100}};
    s.over_quota_worth = 0.2;
    Stand stand(s);
    std::vector<Event> events;
    for (JobId id = 0; id < 6; ++id) {
        JobArrived one = job(id);
        one.tenant = id < 5 ? 0 : 1;
        events.emplace_back(one);
    }
    stand.at(10s, events);
    stand.at(10s + 50ms, {whole_list(1)});
    ASSERT_GE(stand.sends.size(), 3U); // two of the first tenant's jobs are within its share
    EXPECT_TRUE(std::any_of(stand.sends.begin(), stand.sends.begin() + 3,
                            [](const Send& send) { return send.job == 5; }));
}

TEST(Moving, AJobNotStartedMovesToAWorkerWithRoom) {
    Settings s = settings();
    s.tells_start = true;
    Stand stand(s);
    stand.at(0s, {whole_list(4), job(0)});
    const WorkerId first = stand.last_worker();
    const auto actions = stand.at(200ms, {TimerExpired{}});
    EXPECT_EQ(all<Cancel>(actions).size(), 1U);
    ASSERT_EQ(all<Send>(actions).size(), 1U);
    EXPECT_NE(stand.last_worker(), first);
}

TEST(Moving, AStartedJobStays) {
    Settings s = settings();
    s.tells_start = true;
    Stand stand(s);
    stand.at(0s, {whole_list(4), job(0)});
    stand.at(10ms, {AttemptStarted{0, 0, stand.last_worker()}});
    EXPECT_TRUE(all<Cancel>(stand.at(1s, {TimerExpired{}})).empty());
}

TEST(Retries, TroubleDoesNotMultiplyTraffic) {
    Stand stand;
    stand.at(0s, {whole_list(50)});
    std::size_t first_tries = 0;
    for (JobId id = 0; id < 400; ++id) {
        stand.at(id * 1ms, {job(id)});
        ++first_tries;
        for (Index attempt = 0; attempt < 3; ++attempt) {
            const std::size_t before = stand.sends.size();
            // A fresh report each: else it would be want of room that ends the sends.
            stand.at(id * 1ms,
                     {ended(id, attempt, stand.last_worker(), Outcome::error, report(0.001 * id, 9))});
            if (stand.sends.size() == before) break;
        }
    }
    EXPECT_LT(stand.sends.size(), first_tries * 3 / 2);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        Stand stand;
        stand.at(0s, {whole_list(20)});
        for (JobId id = 0; id < 100; ++id) {
            stand.at(id * 1ms, {job(id, id % 3)});
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
