// The sessions of schedulers with the core: what a member hands out, and when a scheduler goes to another.
#include "distribution/core_session.h"
#include "distribution/scheduler_hub.h"

#include "expect.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace willowrill;
using namespace willowrill::distribution;
using nlohmann::json;

namespace {

// A hub, and what it has sent to each session.
struct FakeMember {
    bool current = true;
    std::map<SessionId, std::vector<json>> sent;
    std::vector<SessionId> closed;
    SchedulerHub hub{
        {[this](SessionId id, const Frame& frame) { sent[id].push_back(transport::message_in(frame)); },
         [this](SessionId id) { closed.push_back(id); }, [this] { return current; },
         [] { return std::vector<std::string>{"core:1"}; }, [](const membership::Lease&) {},
         [](const membership::Lease&) {}}};

    long count(SessionId id, const std::string& type) {
        return std::ranges::count_if(sent[id],
                                     [&](const json& message) { return message.at("type") == type; });
    }
};

configuration::ControlState state_of(configuration::Version version) {
    configuration::ControlState out;
    out.version = version;
    return out;
}

json renewal(const std::optional<replication::Position>& holds = std::nullopt) {
    membership::Lease lease;
    lease.node = "n";
    return lease_message(lease, holds);
}

json beat(bool current, const std::vector<std::string>& core) {
    return {{"type", "beat"}, {"renewal", 1}, {"current", current}, {"core", core}};
}

// A session, and the hosts that it dials.
struct FakeScheduler {
    std::vector<std::string> seeds{"10.1.0.1", "10.2.0.1"};
    CoreSession session{[this] { return seeds; }};
    std::vector<std::string> dialled;
    std::vector<json> pushed;
    int renewals = 0, disconnects = 0;

    void step(int at_ms, const SessionEvent& event) {
        std::vector<SessionAction> actions;
        session.step(SteadyTime(at_ms), event, actions);
        for (const SessionAction& action : actions) {
            if (const auto* dial = std::get_if<Dial>(&action)) dialled.push_back(dial->host);
            if (const auto* push = std::get_if<Pushed>(&action)) pushed.push_back(push->message);
            renewals += std::holds_alternative<RenewLease>(action) ? 1 : 0;
            disconnects += std::holds_alternative<Disconnect>(action) ? 1 : 0;
        }
    }
};

} // namespace

// A scheduler may come while its core member is between two primaries, and be ready already (found in a hunt:
// it kept an old configuration).
Test(hub, a_session_that_began_while_the_member_was_behind_gets_the_state) {
    FakeMember member;
    member.current = false;
    member.hub.publish_state({3, 1}, state_of(6));
    member.hub.adopt(1);
    member.hub.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 0);
    cr_assert_eq(member.count(1, "beat"), 1);
    member.current = true;
    member.hub.on_message(1, renewal());
    member.hub.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 1, "once");
    member.hub.publish_state({3, 2}, state_of(7));
    cr_assert_eq(member.count(1, "state"), 2);
}

// A member that is cut off may still learn of a state that is old by now: nobody gets it there.
Test(hub, nothing_is_pushed_by_a_member_that_is_behind) {
    FakeMember member;
    member.hub.adopt(1);
    member.current = false;
    member.hub.publish_state({3, 1}, state_of(6));
    cr_assert_eq(member.count(1, "state"), 0);
    member.current = true;
    member.hub.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 1);
}

// A core that rests for want of a quorum: what is committed and newer is better than what a scheduler has (a
// day of our own: two members replaced while the successor of the first was cut off one way).
Test(hub, a_scheduler_that_holds_an_older_state_gets_a_newer_one_from_any_member) {
    FakeMember member;
    member.current = false;
    member.hub.publish_state({3, 5}, state_of(6));
    member.hub.adopt(1);
    member.hub.adopt(2);
    member.hub.adopt(3);
    member.hub.on_message(1, renewal(replication::Position{3, 4}));
    member.hub.on_message(2, renewal(replication::Position{4, 1}));
    member.hub.on_message(3, renewal());
    cr_assert_eq(member.count(1, "state"), 1);
    cr_assert_eq(member.count(2, "state"), 0, "it holds a newer one");
    cr_assert_eq(member.count(3, "state"), 0, "it knows nothing, and must not begin with an old one");
}

Test(hub, sessions_are_bounded) {
    FakeMember member;
    for (SessionId id = 1; id <= membership::most_leases; ++id)
        member.hub.adopt(id);
    member.hub.adopt(membership::most_leases + 1);
    cr_assert_eq(member.closed.size(), 1U);
    cr_assert_eq(member.hub.sessions(), membership::most_leases);
}

Test(session, a_silent_member_is_left_for_the_next) {
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

Test(session, a_member_that_is_not_current_is_left_though_it_answers) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    for (int at = 100; at <= 1200; at += 100) {
        scheduler.step(at, MessageReceived{beat(false, {})});
        scheduler.step(at, SessionTick{});
    }
    cr_assert_eq(scheduler.disconnects, 1);
}

// Seeds that are all cut off or gone: what a member has named is tried as well.
Test(session, members_that_were_named_are_tried_too) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{beat(true, {"10.1.0.1:8000", "10.9.0.1:8000"})});
    scheduler.step(40, ConnectionLost{});
    for (int at = 100; at <= 1000; at += 100) {
        scheduler.step(at, SessionTick{});
        scheduler.step(at + 50, DialFailed{});
    }
    cr_assert_gt(std::ranges::count(scheduler.dialled, "10.9.0.1"), 0);
}

Test(session, members_that_are_gone_are_forgotten) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{beat(true, {"10.9.0.1:8000"})});
    scheduler.step(60, MessageReceived{beat(true, {"10.8.0.1:8000"})});
    scheduler.step(70, ConnectionLost{});
    for (int at = 100; at <= 1500; at += 100) {
        scheduler.step(at, SessionTick{});
        scheduler.step(at + 50, DialFailed{});
    }
    cr_assert_eq(std::ranges::count(scheduler.dialled, "10.9.0.1"), 0);
    cr_assert_gt(std::ranges::count(scheduler.dialled, "10.8.0.1"), 0);
}

Test(session, pushes_are_handed_on_and_a_message_of_the_wrong_shape_throws) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{{{"type", "state"}}});
    cr_assert_eq(scheduler.pushed.size(), 1U);
    cr_assert_throw(scheduler.step(40, MessageReceived{{{"no", "type"}}}), json::exception);
}
