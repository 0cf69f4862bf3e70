// What a core member sends to the schedulers that have a session with it, and what they make of it.
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
    SchedulerSessions sessions{
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

} // namespace

// A scheduler may come while its core member is between two primaries, and be ready already (found in a hunt:
// it kept an old configuration).
Test(scheduler_sessions, a_session_that_began_while_the_member_was_behind_is_sent_the_state) {
    FakeMember member;
    member.current = false;
    member.sessions.publish_state({3, 1}, state_of(6));
    member.sessions.add_session(1);
    member.sessions.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 0);
    cr_assert_eq(member.count(1, "beat"), 1);
    member.current = true;
    member.sessions.on_message(1, renewal());
    member.sessions.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 1, "once");
    member.sessions.publish_state({3, 2}, state_of(7));
    cr_assert_eq(member.count(1, "state") + member.count(1, "state-change"), 2);
}

// A member that is cut off may still learn of a state that is old by now: nobody gets it there.
Test(scheduler_sessions, a_member_that_is_behind_sends_no_state) {
    FakeMember member;
    member.sessions.add_session(1);
    member.current = false;
    member.sessions.publish_state({3, 1}, state_of(6));
    cr_assert_eq(member.count(1, "state"), 0);
    member.current = true;
    member.sessions.on_message(1, renewal());
    cr_assert_eq(member.count(1, "state"), 1);
}

// A core that rests for want of a quorum: what is committed and newer is better than what a scheduler has (a
// day of our own: two members replaced while the successor of the first was cut off one way).
Test(scheduler_sessions, a_scheduler_with_an_older_state_is_sent_a_newer_one_by_any_member) {
    FakeMember member;
    member.current = false;
    member.sessions.publish_state({3, 5}, state_of(6));
    member.sessions.add_session(1);
    member.sessions.add_session(2);
    member.sessions.add_session(3);
    member.sessions.on_message(1, renewal(replication::Position{3, 4}));
    member.sessions.on_message(2, renewal(replication::Position{4, 1}));
    member.sessions.on_message(3, renewal());
    cr_assert_eq(member.count(1, "state"), 1);
    cr_assert_eq(member.count(2, "state"), 0, "it holds a newer one");
    cr_assert_eq(member.count(3, "state"), 0, "it knows nothing, and must not begin with an old one");
}

Test(scheduler_sessions, sessions_are_bounded) {
    FakeMember member;
    for (SessionId id = 1; id <= membership::max_leases; ++id)
        member.sessions.add_session(id);
    member.sessions.add_session(membership::max_leases + 1);
    cr_assert_eq(member.closed.size(), 1U);
    cr_assert_eq(member.sessions.session_count(), membership::max_leases);
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

Test(scheduler_sessions, a_delta_goes_to_who_has_its_base_and_a_snapshot_to_the_others) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    member.sessions.publish_state({3, 2}, state_with(7, R"({"name":"a"},{"name":"b","coldRateS":5})"));
    member.sessions.add_session(2);
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

Test(scheduler_sessions, a_scheduler_with_a_missing_base_is_sent_a_snapshot) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    member.sessions.publish_state({3, 2}, state_with(7, R"({"name":"b"})"));
    std::optional<StateUpdate> held;
    cr_assert_eq(apply_states({member.sent[1].back()}, held), 1);
    cr_assert_not(held.has_value());
    messages::RenewLease asks = renewal(replication::Position{3, 1});
    asks.resync.state = true;
    const auto before = static_cast<long>(member.sent[1].size());
    member.sessions.on_message(1, asks);
    cr_assert_eq(apply_states({member.sent[1].begin() + before, member.sent[1].end()}, held), 0);
    cr_assert(held && held->position == (replication::Position{3, 2}));
}

// An evacuation changes the state and not the configuration; and what is not a list of named items cannot be
// told as a change.
Test(scheduler_sessions, a_delta_contains_only_what_has_changed) {
    FakeMember member;
    auto state = state_with(6, R"({"name":"a"})");
    member.sessions.publish_state({3, 1}, state);
    member.sessions.add_session(1);
    state.evacuated_zones = {"z"};
    member.sessions.publish_state({3, 2}, state);
    cr_assert(member.sent[1].back().at("patch").is_null());
    state.version = 7;
    state.configuration = R"({"configVersion":7,"routes":[],"services":[{"name":"a"}],"limits":{}})";
    member.sessions.publish_state({3, 3}, state);
    expect_text(member.sent[1].back().at("type"), "state");
    std::optional<StateUpdate> held;
    cr_assert_eq(apply_states(member.sent[1], held), 0);
    cr_assert_eq(held->configuration.version, 7U);
    cr_assert(held->evacuated.contains("z"));
}

Test(scheduler_sessions, a_state_sent_twice_or_out_of_order_changes_nothing) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    for (std::uint64_t i = 2; i <= 5; ++i)
        member.sessions.publish_state({3, i}, state_with(5 + i, fmt::format(R"({{"name":"a{}"}})", i)));
    std::optional<StateUpdate> held;
    const std::vector<json>& sent = member.sent[1];
    cr_assert_eq(apply_states({sent[0], sent[1], sent[1], sent[3], sent[0], sent[2], sent[3]}, held), 1,
                 "the one whose base had not come");
    cr_assert(held->position == (replication::Position{3, 4}));
    cr_assert_not_null(held->configuration.find_service("a4"));
    cr_assert_null(held->configuration.find_service("a3"));
}

Test(scheduler_sessions, members_are_sent_as_one_snapshot_and_then_as_deltas) {
    using membership::Phase;
    FakeMember member;
    member.sessions.add_session(1);
    member.sessions.publish_members(leases({"a", "b"}, Phase::starting));
    member.sessions.publish_members(leases({"a", "b"}, Phase::ready));
    member.sessions.flush();
    member.sessions.flush();
    cr_assert_eq(member.sent[1].size(), 1U, "what changed in one moment goes out once");
    member.sessions.publish_members(leases({"b", "c"}, Phase::ready));
    member.sessions.flush();
    member.sessions.add_session(2);
    MemberView first, second;
    for (const json& message : member.sent[1])
        cr_assert(apply_members(first, message));
    for (const json& message : member.sent[2])
        cr_assert(apply_members(second, message));
    cr_assert(first.members() == leases({"b", "c"}, Phase::ready));
    cr_assert(first.members() == second.members());
    cr_assert_eq(member.count(1, "members-change"), 1);
}

Test(scheduler_sessions, a_missed_delta_of_members_leads_to_a_snapshot) {
    using membership::Phase;
    FakeMember member;
    member.sessions.add_session(1);
    MemberView held, begun_anew;
    for (const auto& nodes : {std::vector<std::string>{"a"}, {"b"}, {"b", "c"}}) {
        member.sessions.publish_members(leases(nodes, Phase::ready));
        member.sessions.flush();
    }
    cr_assert(apply_members(held, member.sent[1][0]));
    cr_assert_not(apply_members(held, member.sent[1][2]));
    cr_assert(held.members() == leases({"a"}, Phase::ready), "nothing was changed");
    cr_assert(apply_members(begun_anew, member.sent[1][0]));
    begun_anew.begin_session();
    cr_assert_not(apply_members(begun_anew, member.sent[1][1]));
    messages::RenewLease asks = renewal();
    asks.resync.members = true;
    member.sessions.on_message(1, asks);
    const auto whole = std::ranges::find_if(member.sent[1].rbegin(), member.sent[1].rend(),
                                            [](const json& one) { return one.at("type") == "members"; });
    cr_assert(apply_members(held, *whole));
    cr_assert(held.members() == leases({"b", "c"}, Phase::ready));
}
