// The sessions of schedulers with the core: what a member hands out, and when a scheduler goes to another.
#include "system/distribution/core_session.h"
#include "system/distribution/member_view.h"
#include "system/distribution/scheduler_sessions.h"
#include "system/distribution/state_update.h"
#include "system/messages/codec.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace willowrill;
using namespace willowrill::distribution;
using messages::CoreMember;
using messages::decode_core_update;
using nlohmann::json;

namespace {

// A hub, and what it has sent to each session.
struct FakeMember {
    bool current = true;
    std::map<SessionId, std::vector<json>> sent;
    std::vector<SessionId> closed;
    SchedulerSessions hub{
        {[this](SessionId id, const Frame& frame) { sent[id].push_back(transport::message_in(frame)); },
         [this](SessionId id) { closed.push_back(id); }, [this] { return current; },
         [] {
             return std::vector<CoreMember>{{"core:1", "a", "r"}};
         },
         [](const membership::Lease&) {}, [](const membership::Lease&) {}}};

    long count(SessionId id, const std::string& type) {
        return std::ranges::count_if(sent[id],
                                     [&](const json& message) { return message.at("type") == type; });
    }
};

configuration::ControlState state_with(configuration::Version version, const std::string& services) {
    configuration::ControlState out;
    out.version = version;
    std::string others = R"({"name":"other-0"})"; // that do not change
    for (int i = 1; i < 20; ++i)
        others += fmt::format(R"(,{{"name":"other-{}"}})", i);
    out.configuration = fmt::format(R"({{"configVersion":{},"routes":[],"services":[{}{}{}]}})", version,
                                    services, services.empty() ? "" : ",", others);
    return out;
}

configuration::ControlState state_of(configuration::Version version) { return state_with(version, ""); }

messages::RenewLease renewal(const std::optional<replication::Position>& active_position = std::nullopt) {
    membership::Lease lease;
    lease.node = "n";
    return {lease, active_position, {}};
}

messages::LeaseAck beat(bool current, const std::vector<CoreMember>& core) { return {1, current, core}; }

messages::LeaseAck beat(bool current, const std::vector<std::string>& core) {
    std::vector<CoreMember> members;
    for (const std::string& id : core)
        members.push_back({id, "", ""});
    return beat(current, members);
}

// A session, and the hosts that it dials.
struct FakeScheduler {
    std::vector<std::string> seeds{"10.1.0.1", "10.2.0.1"};
    CoreSession session{[this] { return seeds; }};
    std::vector<std::string> dialled;
    std::vector<messages::CoreUpdate> pushed;
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
    cr_assert_eq(member.count(1, "state") + member.count(1, "state-change"), 2);
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

namespace {

errors::Result<StateUpdateResult> apply_update(const messages::CoreUpdate& update,
                                               const std::optional<ActiveState>& active) {
    if (const auto* snapshot = std::get_if<messages::StateSnapshot>(&update)) return apply(*snapshot, active);
    return apply(std::get<messages::StateDelta>(update), active);
}

// Applies the states among what a member sent to a session. Returns how many deltas lacked their base.
int apply_states(const std::vector<json>& sent, std::optional<StateUpdate>& held) {
    int missing_bases = 0;
    for (const json& message : sent) {
        if (!message.at("type").get<std::string>().starts_with("state")) continue;
        const auto active =
            held ? std::optional(ActiveState{held->position, &held->configuration}) : std::nullopt;
        auto result = apply_update(decode_core_update(message), active);
        cr_assert(static_cast<bool>(result));
        if (auto* next = std::get_if<StateUpdate>(&result.value())) held = std::move(*next);
        missing_bases += std::holds_alternative<MissingBase>(result.value()) ? 1 : 0;
    }
    return missing_bases;
}

// Whether the message could be applied.
bool apply_members(MemberView& view, const json& message) {
    const messages::CoreUpdate update = decode_core_update(message);
    if (const auto* delta = std::get_if<messages::MembersDelta>(&update)) return view.apply(*delta);
    view.apply(std::get<messages::MembersSnapshot>(update));
    return true;
}

std::vector<membership::Lease> leases(const std::vector<std::string>& nodes, membership::Phase phase) {
    std::vector<membership::Lease> out;
    for (const std::string& node : nodes) {
        out.emplace_back();
        out.back().node = node;
        out.back().phase = phase;
    }
    return out;
}

} // namespace

Test(hub, a_change_goes_to_who_holds_its_base_and_the_whole_to_the_others) {
    FakeMember member;
    member.hub.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.hub.adopt(1);
    member.hub.publish_state({3, 2}, state_with(7, R"({"name":"a"},{"name":"b","coldRateS":5})"));
    member.hub.adopt(2);
    cr_assert_eq(member.count(1, "state"), 1);
    cr_assert_eq(member.count(1, "state-change"), 1);
    cr_assert_eq(member.count(2, "state"), 1);
    std::optional<StateUpdate> changed, whole;
    cr_assert_eq(apply_states(member.sent[1], changed), 0);
    cr_assert_eq(apply_states(member.sent[2], whole), 0);
    for (auto* held : {&*changed, &*whole})
        std::ranges::sort(held->configuration.services, {}, &configuration::Service::name);
    cr_assert(changed->configuration.services == whole->configuration.services);
    cr_assert(changed->position == whole->position);
    cr_assert_eq(changed->configuration.version, 7U);
}

Test(hub, a_scheduler_that_lacks_the_base_is_sent_the_whole) {
    FakeMember member;
    member.hub.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.hub.adopt(1);
    member.hub.publish_state({3, 2}, state_with(7, R"({"name":"b"})"));
    std::optional<StateUpdate> held;
    cr_assert_eq(apply_states({member.sent[1].back()}, held), 1);
    cr_assert_not(held.has_value());
    messages::RenewLease asks = renewal(replication::Position{3, 1});
    asks.resync.state = true;
    const auto before = static_cast<long>(member.sent[1].size());
    member.hub.on_message(1, asks);
    cr_assert_eq(apply_states({member.sent[1].begin() + before, member.sent[1].end()}, held), 0);
    cr_assert(held && held->position == (replication::Position{3, 2}));
}

// An evacuation changes the state and not the configuration; and what is not a list of named items cannot be
// told as a change.
Test(hub, a_change_says_no_more_than_has_changed) {
    FakeMember member;
    auto state = state_with(6, R"({"name":"a"})");
    member.hub.publish_state({3, 1}, state);
    member.hub.adopt(1);
    state.evacuated_zones = {"z"};
    member.hub.publish_state({3, 2}, state);
    cr_assert(member.sent[1].back().at("patch").is_null());
    state.version = 7;
    state.configuration = R"({"configVersion":7,"routes":[],"services":[{"name":"a"}],"limits":{}})";
    member.hub.publish_state({3, 3}, state);
    expect_text(member.sent[1].back().at("type"), "state");
    std::optional<StateUpdate> held;
    cr_assert_eq(apply_states(member.sent[1], held), 0);
    cr_assert_eq(held->configuration.version, 7U);
    cr_assert(held->evacuated.contains("z"));
}

Test(hub, what_is_pushed_twice_or_out_of_order_changes_nothing) {
    FakeMember member;
    member.hub.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.hub.adopt(1);
    for (std::uint64_t i = 2; i <= 5; ++i)
        member.hub.publish_state({3, i}, state_with(5 + i, fmt::format(R"({{"name":"a{}"}})", i)));
    std::optional<StateUpdate> held;
    const std::vector<json>& sent = member.sent[1];
    cr_assert_eq(apply_states({sent[0], sent[1], sent[1], sent[3], sent[0], sent[2], sent[3]}, held), 1,
                 "the one whose base had not come");
    cr_assert(held->position == (replication::Position{3, 4}));
    cr_assert_not_null(held->configuration.find_service("a4"));
    cr_assert_null(held->configuration.find_service("a3"));
}

Test(hub, members_are_told_whole_once_and_then_as_changes) {
    using membership::Phase;
    FakeMember member;
    member.hub.adopt(1);
    member.hub.publish_members(leases({"a", "b"}, Phase::starting));
    member.hub.publish_members(leases({"a", "b"}, Phase::ready));
    member.hub.flush();
    member.hub.flush();
    cr_assert_eq(member.sent[1].size(), 1U, "what changed in one moment goes out once");
    member.hub.publish_members(leases({"b", "c"}, Phase::ready));
    member.hub.flush();
    member.hub.adopt(2);
    MemberView first, second;
    for (const json& message : member.sent[1])
        cr_assert(apply_members(first, message));
    for (const json& message : member.sent[2])
        cr_assert(apply_members(second, message));
    cr_assert(first.members() == leases({"b", "c"}, Phase::ready));
    cr_assert(first.members() == second.members());
    cr_assert_eq(member.count(1, "members-change"), 1);
}

Test(hub, a_change_of_members_that_was_missed_leads_to_the_whole_list) {
    using membership::Phase;
    FakeMember member;
    member.hub.adopt(1);
    MemberView held, begun_anew;
    for (const auto& nodes : {std::vector<std::string>{"a"}, {"b"}, {"b", "c"}}) {
        member.hub.publish_members(leases(nodes, Phase::ready));
        member.hub.flush();
    }
    cr_assert(apply_members(held, member.sent[1][0]));
    cr_assert_not(apply_members(held, member.sent[1][2]));
    cr_assert(held.members() == leases({"a"}, Phase::ready), "nothing was changed");
    cr_assert(apply_members(begun_anew, member.sent[1][0]));
    begun_anew.begin_session();
    cr_assert_not(apply_members(begun_anew, member.sent[1][1]));
    messages::RenewLease asks = renewal();
    asks.resync.members = true;
    member.hub.on_message(1, asks);
    const auto whole = std::ranges::find_if(member.sent[1].rbegin(), member.sent[1].rend(),
                                            [](const json& one) { return one.at("type") == "members"; });
    cr_assert(apply_members(held, *whole));
    cr_assert(held.members() == leases({"b", "c"}, Phase::ready));
}

// Found by what crossed regions at rest: every scheduler had its session with the first seed.
Test(session, a_nearer_member_is_moved_to_and_one_that_fails_is_not_tried_again_at_once) {
    FakeScheduler scheduler;
    scheduler.session = CoreSession([] { return std::vector<std::string>{"10.1.0.1"}; }, {"zone", "region"});
    const std::vector<CoreMember> core{
        {"10.1.0.1:8", "far", "other"}, {"10.2.0.1:8", "next", "region"}, {"10.3.0.1:8", "zone", "region"}};
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{beat(true, core)});
    cr_assert_eq(scheduler.disconnects, 1);
    expect_text(scheduler.dialled.back(), "10.3.0.1");
    scheduler.step(40, DialFailed{});
    scheduler.step(100, SessionTick{});
    scheduler.step(120, DialSucceeded{});
    scheduler.step(130, MessageReceived{beat(true, core)});
    expect_text(scheduler.dialled.back(), "10.2.0.1", "the next nearest");
    scheduler.step(140, DialSucceeded{});
    for (int at = 200; at < 5000; at += 100)
        scheduler.step(at, MessageReceived{beat(true, core)});
    expect_text(scheduler.dialled.back(), "10.2.0.1");
    scheduler.step(5100, MessageReceived{beat(true, core)});
    expect_text(scheduler.dialled.back(), "10.3.0.1", "after a while it is tried again");
    scheduler.step(5110, DialSucceeded{});
    for (int at = 5200; at < 9000; at += 100)
        scheduler.step(at, MessageReceived{beat(true, core)});
    cr_assert_eq(scheduler.disconnects, 3, "and there is none nearer");
}

// It answers, and is cut off from the rest of the core: the far one is better, and is not left for it again.
Test(session, a_near_member_that_is_behind_is_kept_away_from_for_longer_each_time) {
    FakeScheduler scheduler;
    scheduler.session = CoreSession([] { return std::vector<std::string>{"10.1.0.1"}; }, {"zone", "region"});
    const std::vector<CoreMember> core{{"10.1.0.1:8", "far", "other"}, {"10.3.0.1:8", "zone", "region"}};
    int ms_near = 0;
    constexpr int step_ms = 50;
    for (int at = 0; at < 40'000; at += step_ms) {
        const std::size_t dials = scheduler.dialled.size();
        scheduler.step(at, SessionTick{});
        if (scheduler.session.connected())
            scheduler.step(at + 10, MessageReceived{beat(scheduler.dialled.back() == "10.1.0.1", core)});
        if (scheduler.dialled.size() > dials) scheduler.step(at + 20, DialSucceeded{});
        if (scheduler.session.connected() && scheduler.dialled.back() == "10.3.0.1") ms_near += step_ms;
    }
    cr_assert_gt(ms_near, 500);
    cr_assert_lt(ms_near, 4 * 1200, "%d ms of 40 s", ms_near);
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
        scheduler.step(at, MessageReceived{beat(false, std::vector<std::string>{})});
        scheduler.step(at, SessionTick{});
    }
    cr_assert_eq(scheduler.disconnects, 1);
}

// Seeds that are all cut off or gone: what a member has named is tried as well.
Test(session, members_that_were_named_are_tried_too) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30,
                   MessageReceived{beat(true, std::vector<std::string>{"10.1.0.1:8000", "10.9.0.1:8000"})});
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
    scheduler.step(30, MessageReceived{beat(true, std::vector<std::string>{"10.9.0.1:8000"})});
    scheduler.step(60, MessageReceived{beat(true, std::vector<std::string>{"10.8.0.1:8000"})});
    scheduler.step(70, ConnectionLost{});
    for (int at = 100; at <= 1500; at += 100) {
        scheduler.step(at, SessionTick{});
        scheduler.step(at + 50, DialFailed{});
    }
    cr_assert_eq(std::ranges::count(scheduler.dialled, "10.9.0.1"), 0);
    cr_assert_gt(std::ranges::count(scheduler.dialled, "10.8.0.1"), 0);
}

Test(session, pushes_are_handed_on) {
    FakeScheduler scheduler;
    scheduler.step(0, SessionTick{});
    scheduler.step(20, DialSucceeded{});
    scheduler.step(30, MessageReceived{messages::StateSnapshot{}});
    cr_assert_eq(scheduler.pushed.size(), 1U);
}
