// Replication: single cases by name, and random histories of the simulated core judged by what operators saw.
#include "system/replication/replica.h"
#include "system/simulation/cluster.h"

#include "replication/replica_driver.h"
#include "support/expect.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace willowrill;
using namespace willowrill::replication;

namespace {

const std::vector<MemberId> three{"a:1", "b:1", "c:1"};

Options options(const MemberId& self, bool initial_start) {
    Options out;
    out.self = self;
    out.initial_start = initial_start;
    out.seeds = three;
    return out;
}

EpochRecord record(Epoch epoch, const MemberId& primary) { return {epoch, primary, three, three}; }

WitnessRegister voted(Epoch promised, Epoch accepted) {
    return {promised, record(accepted, "a:1"), record(accepted, "a:1"), true};
}

std::string first_violation(const simulation::Plan& plan) {
    const auto outcome = simulation::run(plan);
    return outcome.violations.empty() ? "" : outcome.violations.front();
}

// How many of the first seeds break a promise.
int broken(simulation::Plan plan, int seeds) {
    int out = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        plan.seed = static_cast<std::uint64_t>(seed);
        out += first_violation(plan).empty() ? 0 : 1;
    }
    return out;
}

void expect_kept(simulation::Plan plan, int from, int to) {
    std::size_t acknowledged = 0, faults = 0;
    for (int seed = from; seed < to; ++seed) {
        plan.seed = static_cast<std::uint64_t>(seed);
        const auto outcome = simulation::run(plan);
        cr_assert(outcome.violations.empty(), "seed %d: %s", seed, outcome.violations.front().c_str());
        acknowledged += outcome.acknowledged;
        faults += outcome.faults;
    }
    cr_assert_gt(acknowledged, static_cast<std::size_t>(20 * (to - from)), "%zu orders acknowledged",
                 acknowledged);
    cr_assert_gt(faults, static_cast<std::size_t>(to - from), "%zu faults", faults);
}

} // namespace

Test(witness, a_promise_is_stored_before_it_is_given) {
    ReplicaDriver member(options("b:1", true));
    const auto replies = sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false}));
    cr_assert_eq(replies.size(), 1U);
    cr_assert(replies[0].granted);
    cr_assert_eq(member.witness_register()->promised, 7U);
}

Test(witness, an_epoch_is_promised_once) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "a:1", PrepareRequest{7, false});
    cr_assert_not(sent<PrepareReply>(member.receive(1, "c:1", PrepareRequest{7, false}))[0].granted);
    cr_assert_not(sent<PrepareReply>(member.receive(2, "c:1", PrepareRequest{6, false}))[0].granted);
    cr_assert(sent<PrepareReply>(member.receive(3, "c:1", PrepareRequest{8, false}))[0].granted);
}

Test(witness, a_promise_outlives_the_process) {
    ReplicaDriver first(options("b:1", true));
    first.receive(0, "a:1", PrepareRequest{7, false});
    ReplicaDriver again(options("b:1", false), first.disk());
    cr_assert_not(sent<PrepareReply>(again.receive(0, "c:1", PrepareRequest{7, false}))[0].granted);
}

Test(witness, a_tentative_question_binds_nothing) {
    ReplicaDriver member(options("b:1", true));
    cr_assert(sent<PrepareReply>(member.receive(5000, "a:1", PrepareRequest{7, true}))[0].granted);
    cr_assert_eq(member.witness_register()->promised, 1U);
}

Test(witness, a_record_below_the_promise_is_not_stored) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "a:1", PrepareRequest{9, false});
    const auto reply = sent<AcceptReply>(member.receive(1, "c:1", AcceptRequest{record(8, "c:1")}))[0];
    cr_assert_not(reply.stored);
    cr_assert_eq(reply.promised, 9U);
    cr_assert_eq(member.witness_register()->accepted.epoch, 1U);
}

Test(backup, a_fenced_primary_can_store_nothing_here) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "c:1", PrepareRequest{9, false});
    const ReplicatedState state{{8, 1}, std::make_shared<const std::string>("x")};
    cr_assert_not(sent<ReplicateReply>(member.receive(1, "a:1", ReplicateRequest{8, state}))[0].stored);
    cr_assert(member.state()->position == Position{});
}

Test(recovery, an_empty_disk_neither_votes_nor_counts) {
    ReplicaDriver member(options("b:1", false));
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    cr_assert_not(sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false}))[0].granted);
    cr_assert_not(sent<AcceptReply>(member.receive(1, "a:1", AcceptRequest{record(7, "a:1")}))[0].stored);
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    cr_assert_not(sent<ReplicateReply>(member.receive(2, "a:1", ReplicateRequest{7, state}))[0].stored);
    cr_assert_not(
        sent<HeartbeatReply>(member.receive(3, "a:1", Heartbeat{1, record(7, "a:1"), {}}))[0].voting);
}

Test(recovery, it_takes_both_others_and_the_highest_promise) {
    ReplicaDriver member(options("b:1", false));
    member.step(0, PeerConnected{"a:1"});
    member.step(0, PeerConnected{"c:1"});
    const auto asked = sent<RecoveryRequest>(member.step(1, Tick{}));
    cr_assert_eq(asked.size(), 2U);
    member.receive(2, "a:1", RecoveryReply{asked[0].nonce, true, voted(12, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    member.receive(3, "c:1", RecoveryReply{asked[0].nonce + 1, true, voted(9, 9)}); // of another life
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
    member.receive(4, "c:1", RecoveryReply{asked[0].nonce, true, voted(9, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::backup));
    cr_assert_eq(member.witness_register()->promised, 12U);
    cr_assert_not(member.witness_register()->complete, "its copy is gone and must not be taken for complete");
}

Test(recovery, a_member_that_recovers_itself_tells_nothing) {
    ReplicaDriver member(options("b:1", false));
    member.step(0, PeerConnected{"a:1"});
    const auto asked = sent<RecoveryRequest>(member.step(1, Tick{}));
    member.receive(2, "a:1", RecoveryReply{asked[0].nonce, true, voted(12, 9)});
    member.receive(3, "c:1", RecoveryReply{asked[0].nonce, false, voted(12, 9)});
    cr_assert_eq(static_cast<int>(member.replica.role()), static_cast<int>(Role::recovering));
}

Test(election, nobody_stands_without_reaching_a_quorum) {
    ReplicaDriver member(options("a:1", true));
    for (int at = 0; at < 20000; at += 50)
        cr_assert(sent<PrepareRequest>(member.step(at, Tick{})).empty());
    member.step(20000, PeerConnected{"b:1"});
    bool stood = false;
    for (int at = 20000; at < 22000; at += 50)
        stood = stood || !sent<PrepareRequest>(member.step(at, Tick{})).empty();
    cr_assert(stood);
}

Test(election, nobody_stands_beside_a_primary_that_is_heard) {
    ReplicaDriver member(options("b:1", true));
    member.step(0, PeerConnected{"a:1"});
    member.step(0, PeerConnected{"c:1"});
    for (int at = 0; at < 10000; at += 50) {
        member.receive(at, "a:1", Heartbeat{1, record(2, "a:1"), {}});
        cr_assert(sent<PrepareRequest>(member.step(at, Tick{})).empty());
    }
}

// ---- A disk that stalls or refuses --------------------------------------------------------------------

namespace {

// The primary of epoch 2 of three members, with both others in sync.
ReplicaDriver primary() {
    ReplicaDriver member(options("a:1", true));
    member.step(0, PeerConnected{"b:1"});
    member.step(0, PeerConnected{"c:1"});
    Epoch epoch = 0;
    for (int at = 50; epoch == 0 && at < 1000; at += 50)
        for (const PrepareRequest& request : sent<PrepareRequest>(member.step(at, Tick{})))
            epoch = request.epoch;
    const auto granted = [&](bool pre_vote) {
        return PrepareReply{epoch, pre_vote, true, false, {epoch, record(1, "a:1"), record(1, "a:1"), true},
                            {}};
    };
    member.receive(1000, "c:1", granted(true)); // so that both others are known to be alive
    member.receive(1000, "b:1", granted(false));
    member.receive(1000, "c:1", granted(false));
    member.receive(1000, "b:1", AcceptReply{epoch, true, epoch});
    member.receive(1000, "c:1", AcceptReply{epoch, true, epoch});
    cr_assert(member.replica.is_primary());
    return member;
}

// Both others answer every heartbeat among the actions.
void answer_heartbeats(ReplicaDriver& member, int at, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        const auto* send = std::get_if<Send>(&action);
        const auto* beat = send == nullptr ? nullptr : std::get_if<Heartbeat>(&send->message);
        if (beat == nullptr) continue;
        member.receive(at, send->to,
                       HeartbeatReply{beat->number, beat->record.epoch, beat->record.epoch, beat->committed,
                                      true, true, false, at});
    }
}

Propose propose(const ReplicaDriver& member, std::uint64_t id, const std::string& content) {
    return {id, member.replica.committed().position, content};
}

} // namespace

Test(disk, nothing_is_vouched_for_before_it_is_durable) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    cr_assert(sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty());
    cr_assert(sent<AcceptReply>(member.receive(1, "a:1", AcceptRequest{record(7, "a:1")})).empty());
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    cr_assert(sent<ReplicateReply>(member.receive(2, "a:1", ReplicateRequest{7, state})).empty());
    const auto released = member.release(3);
    cr_assert(sent<PrepareReply>(released).at(0).granted);
    cr_assert(sent<AcceptReply>(released).at(0).stored);
    cr_assert(sent<ReplicateReply>(released).at(0).stored);
}

Test(disk, a_stalled_one_holds_up_no_heartbeat) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    member.receive(0, "a:1", PrepareRequest{7, false});
    const auto soon =
        sent<HeartbeatReply>(member.receive(100, "a:1", Heartbeat{1, record(7, "a:1"), {}, true, 0}));
    cr_assert_eq(soon.size(), 1U);
    cr_assert(soon[0].voting);
    const auto late =
        sent<HeartbeatReply>(member.receive(900, "a:1", Heartbeat{2, record(7, "a:1"), {}, true, 0}));
    cr_assert_not(late.at(0).voting, "what it is given may never be durable");
    cr_assert_not(sent<PrepareReply>(member.receive(901, "c:1", PrepareRequest{9, true})).at(0).granted);
}

Test(disk, a_stalled_one_is_asked_for_nothing_more) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::holds;
    for (Epoch epoch = 7; epoch < 1000; ++epoch) {
        member.receive(static_cast<int>(epoch) * 10, "a:1", PrepareRequest{epoch, false});
        member.receive(static_cast<int>(epoch) * 10, "a:1",
                       Heartbeat{epoch, record(epoch, "a:1"), {}, true, 0});
    }
    cr_assert_lt(member.held(), 150U, "%zu saves wait", member.held());
}

// The fault of the first version: one refused save, and the member took no part for the rest of its life, or
// won each election and stepped down at once.
Test(disk, a_refused_save_takes_the_member_out_until_the_disk_returns_records) {
    ReplicaDriver member(options("b:1", true));
    member.mode = ReplicaDriver::DiskMode::refuses;
    cr_assert(sent<PrepareReply>(member.receive(0, "a:1", PrepareRequest{7, false})).empty(),
              "its fate is unknown");
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(sent<PrepareReply>(member.receive(10, "c:1", PrepareRequest{8, false})).at(0).granted);
    cr_assert_not(sent<AcceptReply>(member.receive(11, "c:1", AcceptRequest{record(8, "c:1")})).at(0).stored);
    cr_assert_not(sent<HeartbeatReply>(member.receive(12, "a:1", Heartbeat{1, record(1, "a:1"), {}, true, 0}))
                      .at(0)
                      .voting);
    for (int at = 50; at <= 3000; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::storage_failed);
    member.mode = ReplicaDriver::DiskMode::answers;
    for (int at = 3050; at <= 4500; at += 50)
        member.step(at, Tick{});
    cr_assert(member.replica.role() == Role::backup);
    cr_assert_eq(member.witness_register()->promised, 7U, "what it may have promised is kept");
    cr_assert_not(sent<PrepareReply>(member.receive(4501, "c:1", PrepareRequest{7, false})).at(0).granted);
    cr_assert(sent<PrepareReply>(member.receive(4502, "c:1", PrepareRequest{9, false})).at(0).granted);
}

Test(disk, what_came_behind_a_refused_record_is_not_believed) {
    ReplicaDriver member(options("b:1", true));
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    member.receive(0, "a:1", PrepareRequest{7, false});
    member.mode = ReplicaDriver::DiskMode::holds;
    member.receive(1, "a:1", InstallRequest{7, state});
    std::vector<Action> out;
    member.mode = ReplicaDriver::DiskMode::refuses;
    member.receive(2, "a:1", ReplicateRequest{7, {{7, 2}, state.content}});
    cr_assert(sent<ReplicateReply>(member.release(3)).empty());
}

// An install whose state was refused must not leave a register behind that calls the older state complete.
Test(disk, a_state_is_called_complete_only_behind_it) {
    const WitnessRegister incomplete{7, record(7, "a:1"), record(7, "a:1"), false};
    const ReplicatedState old{{5, 1}, std::make_shared<const std::string>("old")};
    ReplicaDriver member(options("b:1", false), Loaded{incomplete, old});
    member.mode = ReplicaDriver::DiskMode::refuses;
    member.receive(1, "a:1", InstallRequest{7, {{7, 4}, std::make_shared<const std::string>("new")}});
    cr_assert(member.replica.role() == Role::storage_failed);
    cr_assert_not(member.witness_register()->complete);
    // The disk takes the first of the records that restore it, and no more.
    member.mode = ReplicaDriver::DiskMode::holds;
    for (int at = 50; member.held() == 0 && at < 3000; at += 50)
        member.step(at, Tick{});
    cr_assert_geq(member.held(), 3U);
    cr_assert_not(member.witness_register()->complete && member.state()->position < Position({7, 4}));
    member.release(3000);
    cr_assert(member.witness_register()->complete);
    cr_assert(member.state()->position == Position({7, 4}));
}

Test(disk, a_register_older_than_the_state_beside_it_is_not_believed) {
    const WitnessRegister rolled_back{4, record(4, "a:1"), record(4, "a:1"), true};
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver member(options("b:1", false), Loaded{rolled_back, state});
    cr_assert(member.replica.role() == Role::recovering);
}

Test(disk, one_ring_lost_and_the_other_kept) {
    const ReplicatedState state{{7, 1}, std::make_shared<const std::string>("x")};
    const ReplicaDriver no_register(options("b:1", true), Loaded{std::nullopt, state});
    cr_assert(no_register.replica.role() == Role::recovering,
              "also where the settings speak of a first start");
    const ReplicaDriver no_state(options("b:1", false), Loaded{voted(7, 7), std::nullopt});
    cr_assert(no_state.replica.role() == Role::backup);
    cr_assert_not(no_state.witness_register()->complete);
}

Test(primary, an_order_is_committed_once_every_copy_is_durable_the_own_one_too) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::holds;
    const auto proposed = member.step(1010, propose(member, 1, "x"));
    const auto requests = sent<ReplicateRequest>(proposed);
    cr_assert_eq(requests.size(), 2U, "the others need not wait for this disk");
    const Position position = requests[0].state.position;
    const Epoch epoch = requests[0].epoch;
    member.receive(1020, "b:1", ReplicateReply{epoch, position, true, epoch});
    cr_assert(
        done<Committed>(member.receive(1021, "c:1", ReplicateReply{epoch, position, true, epoch})).empty());
    cr_assert_eq(done<Committed>(member.release(1030)).size(), 1U);
}

Test(primary, a_refused_save_hands_over_and_leaves_the_order_undecided) {
    ReplicaDriver member = primary();
    answer_heartbeats(member, 1005, member.step(1300, Tick{}));
    member.mode = ReplicaDriver::DiskMode::refuses;
    const auto actions = member.step(1310, propose(member, 1, "x"));
    cr_assert_eq(done<OutcomeUnknown>(actions).size(), 1U);
    cr_assert_eq(sent<LeadershipTransfer>(actions).size(), 1U);
    cr_assert(member.replica.role() == Role::storage_failed);
}

Test(primary, a_stalled_disk_hands_over_too) {
    ReplicaDriver member = primary();
    member.mode = ReplicaDriver::DiskMode::holds;
    member.step(1010, propose(member, 1, "x"));
    std::size_t yields = 0, undecided = 0;
    for (int at = 1050; at <= 2000 && member.replica.is_primary(); at += 50) {
        const auto actions = member.step(at, Tick{});
        yields += sent<LeadershipTransfer>(actions).size();
        undecided += done<OutcomeUnknown>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_not(member.replica.is_primary());
    cr_assert_eq(yields, 1U);
    cr_assert_eq(undecided, 1U);
}

// A member that won and could not serve lets the others have their turn, for longer each time.
Test(election, who_could_not_serve_waits_longer_each_time) {
    ReplicaDriver member = primary();
    int at = 1010;
    std::vector<int> waited;
    for (int round = 0; round < 3; ++round) {
        member.mode = ReplicaDriver::DiskMode::refuses;
        member.step(at, propose(member, 1, "x"));
        member.mode = ReplicaDriver::DiskMode::answers;
        const int failed = at;
        Epoch epoch = 0;
        for (; epoch == 0 && at < failed + 20000; at += 50)
            for (const PrepareRequest& request : sent<PrepareRequest>(member.step(at, Tick{})))
                epoch = request.epoch;
        waited.push_back(at - failed);
        const WitnessRegister theirs{epoch, record(1, "a:1"), record(1, "a:1"), true};
        for (const bool pre_vote : {true, false})
            for (const char* const from : {"b:1", "c:1"})
                member.receive(at, from, PrepareReply{epoch, pre_vote, true, false, theirs, {}});
        for (const char* const from : {"b:1", "c:1"})
            member.receive(at, from, InstallReply{epoch, true, epoch});
        for (const char* const from : {"b:1", "c:1"})
            member.receive(at, from, AcceptReply{epoch, true, epoch});
        cr_assert(member.replica.is_primary(), "round %d", round);
    }
    cr_assert_geq(waited[0], 1000);
    cr_assert_geq(waited[1], 2000);
    cr_assert_geq(waited[2], 4000);
}

Test(primary, what_a_broken_connection_swallowed_is_sent_again) {
    ReplicaDriver member = primary();
    member.step(1010, propose(member, 1, "x"));
    std::size_t again = 0;
    for (int at = 1050; at <= 1500; at += 50) {
        const auto actions = member.step(at, Tick{});
        again += sent<ReplicateRequest>(actions).size();
        answer_heartbeats(member, at, actions);
    }
    cr_assert_geq(again, 2U);
}

Test(primary, an_order_on_another_state_than_the_newest_is_not_taken) {
    ReplicaDriver member = primary();
    cr_assert_eq(done<OutcomeUnknown>(member.step(1010, Propose{1, {7, 7}, "x"})).size(), 1U);
}

Test(primary, one_that_reaches_nobody_says_so_at_once) {
    ReplicaDriver member = primary();
    cr_assert_eq(done<OutcomeUnknown>(member.step(3000, ConfirmLeadership{5})).size(), 1U);
}

Test(primary, a_question_that_finds_no_quorum_is_given_up_soon) {
    ReplicaDriver member = primary();
    cr_assert(done<OutcomeUnknown>(member.step(1010, ConfirmLeadership{5})).empty());
    std::size_t given_up = 0;
    for (int at = 1050; at <= 1800; at += 50)
        given_up += done<OutcomeUnknown>(member.step(at, Tick{})).size();
    cr_assert_eq(given_up, 1U);
}

Test(backup, a_late_older_state_does_not_replace_a_newer_one) {
    ReplicaDriver member(options("b:1", true));
    const auto content = std::make_shared<const std::string>("x");
    member.receive(0, "a:1", ReplicateRequest{1, {{1, 5}, content}});
    cr_assert_not(
        sent<ReplicateReply>(member.receive(1, "a:1", ReplicateRequest{1, {{1, 4}, content}})).at(0).stored);
    cr_assert(member.state()->position == Position({1, 5}));
}

Test(backup, a_late_copy_of_an_install_does_not_replace_a_newer_state) {
    ReplicaDriver member(options("b:1", true));
    const auto content = std::make_shared<const std::string>("x");
    member.receive(0, "a:1", PrepareRequest{7, false});
    const InstallRequest install{7, {{1, 5}, content}};
    cr_assert(sent<InstallReply>(member.receive(1, "a:1", install)).at(0).stored);
    member.receive(2, "a:1", ReplicateRequest{7, {{7, 1}, content}});
    cr_assert_not(sent<InstallReply>(member.receive(3, "a:1", install)).at(0).stored);
    cr_assert(member.state()->position == Position({7, 1}));
}

// What lay in a buffer while this process stood still says nothing of now.
Test(backup, an_old_heartbeat_makes_nothing_current) {
    ReplicaDriver member(options("b:1", true));
    const auto reply =
        sent<HeartbeatReply>(member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, true, 0}));
    cr_assert_not(member.replica.current(Time(1000)), "nothing says how old that was");
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert(member.replica.current(Time(1100)));
    cr_assert_not(member.replica.current(Time(21000)));
    member.receive(21000, "a:1", Heartbeat{3, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert_not(member.replica.current(Time(21000)), "it echoes what was said twenty seconds ago");
}

Test(backup, a_primary_without_a_quorum_makes_nothing_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, false, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, false, 1000});
    cr_assert_not(member.replica.current(Time(1100)));
}

Test(backup, one_that_lacks_the_newest_state_is_not_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {2, 1}, true, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {2, 1}, true, 1000});
    cr_assert_not(member.replica.current(Time(1100)));
    member.receive(1110, "a:1", CommitNotification{2, {{2, 1}, std::make_shared<const std::string>("x")}});
    member.receive(1200, "a:1", Heartbeat{3, record(2, "a:1"), {2, 1}, true, 1100});
    cr_assert(member.replica.current(Time(1200)));
}

// ---- Leaving ---------------------------------------------------------------------------------------------

Test(leaving, not_before_the_others_hold_the_copies) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, true, 0});
    member.step(1010, BeginShutdown{});
    cr_assert_not(member.replica.may_end(Time(1010)), "it is in sync");
    const EpochRecord without{3, "a:1", {"a:1", "c:1"}, three};
    member.receive(1100, "a:1", Heartbeat{2, without, {}, true, 0});
    cr_assert(member.replica.may_end(Time(1100)), "nobody stands by to be a witness in its place");
    member.step(1110, PeerConnected{"d:1"});
    cr_assert_not(member.replica.may_end(Time(1110)), "somebody does");
    member.receive(1200, "a:1",
                   Heartbeat{3, {4, "a:1", {"a:1", "c:1", "d:1"}, {"a:1", "c:1", "d:1"}}, {}, true, 0});
    cr_assert(member.replica.may_end(Time(1200)));
    cr_assert_not(member.replica.may_end(Time(9000)), "no primary is heard any more");
}

Test(leaving, a_leaver_is_left_out_of_the_in_sync_set_where_enough_stay) {
    ReplicaDriver member = primary();
    Epoch epoch = 0;
    for (int at = 1050; epoch == 0 && at < 5000; at += 50) {
        const auto actions = member.step(at, Tick{});
        for (const Action& action : actions) {
            const auto* send = std::get_if<Send>(&action);
            if (send == nullptr) continue;
            if (const auto* beat = std::get_if<Heartbeat>(&send->message))
                member.receive(at, send->to,
                               HeartbeatReply{beat->number, beat->record.epoch, beat->record.epoch,
                                              beat->committed, true, true, send->to == "c:1", at});
            if (const auto* request = std::get_if<PrepareRequest>(&send->message)) epoch = request->epoch;
        }
    }
    cr_assert_gt(epoch, 0U, "a leaver is a reason for a new epoch");
    const EpochRecord known = member.replica.witness_register().decided;
    std::vector<Action> actions;
    for (const char* const from : {"b:1", "c:1"}) {
        const PrepareReply reply{epoch, false, true, from[0] == 'c', {epoch, known, known, true}, {}};
        for (const Action& action : member.receive(5000, from, reply))
            actions.push_back(action);
    }
    const auto accepts = sent<AcceptRequest>(actions);
    cr_assert(!accepts.empty());
    cr_assert_eq(std::ranges::count(accepts[0].record.in_sync, "c:1"), 0);
}

// ---- Random histories ------------------------------------------------------------------------------------

Test(cluster, three_members_keep_every_promise) { expect_kept({}, 1, 80); }

Test(cluster, six_members_two_of_whom_may_be_lost) {
    simulation::Plan plan;
    plan.members = 6;
    plan.tolerated = 2;
    expect_kept(plan, 1, 30);
}

Test(cluster, five_members_one_of_whom_may_be_lost) {
    simulation::Plan plan;
    plan.members = 5;
    expect_kept(plan, 1, 20);
}

Test(cluster, faults_at_short_intervals) {
    simulation::Plan plan;
    plan.fault_gap = Time(700);
    plan.length = Time(60000);
    expect_kept(plan, 1, 40);
}

Test(cluster, hundreds_of_orders_by_five_operators) {
    simulation::Plan plan;
    plan.operators.operators = 5;
    plan.operators.shortest_pause = Time(20);
    plan.operators.pause_spread = 100;
    plan.operators.lost_answers = 0.5;
    expect_kept(plan, 1, 30);
}

Test(cluster, long_cuts) {
    simulation::Plan plan;
    plan.longest_fault = Time(20000);
    plan.length = Time(60000);
    plan.fault_gap = Time(8000);
    expect_kept(plan, 1, 30);
}

// The first fault of this kind: who wins each election and cannot serve must not hold up the others.
Test(cluster, a_member_that_fails_whenever_it_is_the_primary) {
    simulation::Plan plan;
    plan.fails_as_primary = true;
    expect_kept(plan, 1, 40);
}

Test(cluster, one_seed_replays_a_run) {
    simulation::Plan plan;
    plan.seed = 77;
    const auto first = simulation::run(plan), again = simulation::run(plan);
    cr_assert_eq(first.acknowledged, again.acknowledged);
    cr_assert_eq(first.reads, again.reads);
    cr_assert_eq(first.epochs, again.epochs);
    cr_assert_eq(first.pushes, again.pushes);
    cr_assert_gt(first.acknowledged, 0U);
}

// The checker must notice each of these; otherwise its silence above says nothing.

Test(checker, sees_registers_that_are_not_durable) {
    simulation::Plan plan;
    plan.break_forgets_registers = true;
    cr_assert_gt(broken(plan, 10), 0);
}

Test(checker, sees_refused_saves_that_are_taken_for_done) {
    simulation::Plan plan;
    plan.break_hides_failures = true;
    plan.fault_gap = Time(1200);
    plan.herds = true;
    cr_assert_gt(broken(plan, 60), 0);
}

Test(checker, sees_acknowledgements_before_all_copies_are_stored) {
    simulation::Plan plan;
    plan.break_answers_for_others = true;
    cr_assert_gt(broken(plan, 40), 0);
}

Test(checker, sees_reads_that_are_not_confirmed) {
    simulation::Plan plan;
    plan.break_unconfirmed_reads = true;
    cr_assert_gt(broken(plan, 120), 0);
}

Test(checker, sees_orders_that_are_not_remembered) {
    simulation::Plan plan;
    plan.break_forgets_orders = true;
    cr_assert_gt(broken(plan, 10), 0);
}

Test(checker, sees_members_that_call_an_old_state_current) {
    simulation::Plan plan;
    plan.break_always_current = true;
    plan.longest_fault = Time(20000);
    plan.length = Time(60000);
    plan.fault_gap = Time(8000);
    cr_assert_gt(broken(plan, 60), 0);
}

Test(checker, sees_a_member_that_wins_again_and_again_and_cannot_serve) {
    simulation::Plan plan;
    plan.fails_as_primary = true;
    plan.break_no_turns = true;
    cr_assert_gt(broken(plan, 20), 0);
}
