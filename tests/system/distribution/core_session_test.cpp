// Selection of the core member that a scheduler has its session with.
#include "system/distribution/core_session.h"
#include "system/messages/messages.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace willowrill;
using namespace willowrill::distribution;
using messages::CoreMember;

namespace {

messages::LeaseAck lease_ack(bool current, const std::vector<CoreMember>& core) { return {1, current, core}; }

messages::LeaseAck lease_ack(bool current, const std::vector<std::string>& core) {
    std::vector<CoreMember> members;
    members.reserve(core.size());
    for (const std::string& id : core)
        members.push_back({id, "", ""});
    return lease_ack(current, members);
}

// Runs a session and records the hosts that it dials, its renewals and the updates that it delivers.
struct FakeScheduler {
    std::vector<std::string> seeds{"10.1.0.1", "10.2.0.1"};
    CoreSession session{[this] { return seeds; }};
    std::vector<std::string> dialled;
    std::vector<messages::CoreUpdate> delivered_updates;
    int renewals = 0, disconnects = 0;

    void step(int at_ms, const SessionEvent& event) {
        std::vector<SessionAction> actions;
        session.step(SteadyTime(at_ms), event, actions);
        for (const SessionAction& action : actions) {
            if (const auto* dial = std::get_if<Dial>(&action)) dialled.push_back(dial->host);
            if (const auto* delivery = std::get_if<DeliverUpdate>(&action))
                delivered_updates.push_back(delivery->message);
            renewals += std::holds_alternative<RenewLease>(action) ? 1 : 0;
            disconnects += std::holds_alternative<Disconnect>(action) ? 1 : 0;
        }
    }
};

} // namespace

// Guards against every scheduler keeping its session with the first seed, which makes updates cross regions
// more often than necessary.
Test(core_session, a_session_moves_to_a_nearer_member_and_backs_off_one_that_fails) {
    FakeScheduler scheduler;
    scheduler.session = CoreSession([] { return std::vector<std::string>{"10.1.0.1"}; }, {"zone", "region"});
    const std::vector<CoreMember> core{
        {"10.1.0.1:8", "far", "other"}, {"10.2.0.1:8", "next", "region"}, {"10.3.0.1:8", "zone", "region"}};
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{lease_ack(true, core)});
    cr_assert_eq(scheduler.disconnects, 1);
    expect_text(scheduler.dialled.back(), "10.3.0.1");
    scheduler.step(40, DialFailed{});
    scheduler.step(100, SessionTick{});
    scheduler.step(120, DialSucceeded{});
    scheduler.step(130, MessageReceived{lease_ack(true, core)});
    expect_text(scheduler.dialled.back(), "10.2.0.1", "the next nearest member is dialled");
    scheduler.step(140, DialSucceeded{});
    for (int at = 200; at < 5000; at += 100)
        scheduler.step(at, MessageReceived{lease_ack(true, core)});
    expect_text(scheduler.dialled.back(), "10.2.0.1");
    scheduler.step(5100, MessageReceived{lease_ack(true, core)});
    expect_text(scheduler.dialled.back(), "10.3.0.1",
                "the failed member is dialled again after the back-off");
    scheduler.step(5110, DialSucceeded{});
    for (int at = 5200; at < 9000; at += 100)
        scheduler.step(at, MessageReceived{lease_ack(true, core)});
    cr_assert_eq(scheduler.disconnects, 3, "no member is nearer, so the session stays");
}

// The near member answers but is partitioned from the rest of the core, so the session belongs with the far
// one and rarely returns to the near one.
Test(core_session, a_near_member_that_is_behind_is_backed_off_for_longer_each_time) {
    FakeScheduler scheduler;
    scheduler.session = CoreSession([] { return std::vector<std::string>{"10.1.0.1"}; }, {"zone", "region"});
    const std::vector<CoreMember> core{{"10.1.0.1:8", "far", "other"}, {"10.3.0.1:8", "zone", "region"}};
    int ms_near = 0;
    constexpr int step_ms = 50;
    for (int at = 0; at < 40'000; at += step_ms) {
        const std::size_t dials = scheduler.dialled.size();
        scheduler.step(at, SessionTick{});
        if (scheduler.session.connected())
            scheduler.step(at + 10, MessageReceived{lease_ack(scheduler.dialled.back() == "10.1.0.1", core)});
        if (scheduler.dialled.size() > dials) scheduler.step(at + 20, DialSucceeded{});
        if (scheduler.session.connected() && scheduler.dialled.back() == "10.3.0.1") ms_near += step_ms;
    }
    cr_assert_gt(ms_near, 500);
    cr_assert_lt(ms_near, 4 * 1200, "%d ms of 40 s", ms_near);
}

Test(core_session, a_silent_member_is_left_for_the_next) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    cr_assert_eq(scheduler.renewals, 1);
    for (int at = 100; at <= 1200; at += 100)
        scheduler.step(at, SessionTick{});
    cr_assert_eq(scheduler.disconnects, 1);
    cr_assert_eq(scheduler.dialled.size(), 2U);
    expect_text(scheduler.dialled[1], "10.2.0.1");
}

Test(core_session, a_member_that_is_not_current_is_left_though_it_answers) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    for (int at = 100; at <= 1200; at += 100) {
        scheduler.step(at, MessageReceived{lease_ack(false, std::vector<std::string>{})});
        scheduler.step(at, SessionTick{});
    }
    cr_assert_eq(scheduler.disconnects, 1);
}

// If none of the seeds can be reached, the members listed in an acknowledgement are dialled as well.
Test(core_session, members_listed_in_an_acknowledgement_are_dialled_too) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(
        30, MessageReceived{lease_ack(true, std::vector<std::string>{"10.1.0.1:8000", "10.9.0.1:8000"})});
    scheduler.step(40, ConnectionLost{});
    for (int at = 100; at <= 1000; at += 100) {
        scheduler.step(at, SessionTick{});
        scheduler.step(at + 50, DialFailed{});
    }
    cr_assert_gt(std::ranges::count(scheduler.dialled, "10.9.0.1"), 0);
}

Test(core_session, members_no_longer_listed_are_not_dialled) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{lease_ack(true, std::vector<std::string>{"10.9.0.1:8000"})});
    scheduler.step(60, MessageReceived{lease_ack(true, std::vector<std::string>{"10.8.0.1:8000"})});
    scheduler.step(70, ConnectionLost{});
    for (int at = 100; at <= 1500; at += 100) {
        scheduler.step(at, SessionTick{});
        scheduler.step(at + 50, DialFailed{});
    }
    cr_assert_eq(std::ranges::count(scheduler.dialled, "10.9.0.1"), 0);
    cr_assert_gt(std::ranges::count(scheduler.dialled, "10.8.0.1"), 0);
}

Test(core_session, updates_are_delivered) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{messages::StateSnapshot{}});
    cr_assert_eq(scheduler.delivered_updates.size(), 1U);
}

Test(core_session, a_member_that_refuses_is_left_and_the_reason_is_kept_until_another_answers) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{messages::HelloRefusal{{4, 5}, "the peer's program is too old"}});
    cr_assert_eq(scheduler.disconnects, 1);
    expect_text(scheduler.session.refusal().value_or("none"), "the peer's program is too old");
    scheduler.step(100, SessionTick{});
    cr_assert_eq(scheduler.dialled.size(), 1U); // not immediately
    scheduler.step(600, SessionTick{});
    expect_text(scheduler.dialled.back(), "10.2.0.1");
    scheduler.step(620, DialSucceeded{});
    scheduler.step(630, MessageReceived{messages::HelloReply{}});
    cr_assert(scheduler.session.refusal().has_value());
    scheduler.step(640, MessageReceived{lease_ack(true, std::vector<std::string>{"10.2.0.1:8"})});
    cr_assert_not(scheduler.session.refusal().has_value());
    cr_assert(scheduler.delivered_updates.empty());
}
