// The messages that a core member sends to schedulers in their sessions, and how schedulers apply them.
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

// A core member's sessions, with a record of the messages sent to each one.
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
    configuration::ControlState state;
    state.version = version;
    std::string unchanged_services = R"({"name":"other-0"})"; // the same in every state
    for (int i = 1; i < 20; ++i)
        unchanged_services += fmt::format(R"(,{{"name":"other-{}"}})", i);
    state.configuration = fmt::format(R"({{"configVersion":{},"routes":[],"services":[{}{}{}]}})", version,
                                      services, services.empty() ? "" : ",", unchanged_services);
    return state;
}

configuration::ControlState state_of(configuration::Version version) { return state_with(version, ""); }

messages::RenewLease renewal(const std::optional<replication::Position>& active_position = std::nullopt) {
    membership::Lease lease;
    lease.node = "n";
    return {lease, active_position, {}};
}

} // namespace

// A scheduler that is ready already may connect while its core member has no primary. It must receive the
// state once the member is current again; otherwise it keeps an old configuration.
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
    cr_assert_eq(member.count(1, "state"), 1, "the state is sent once");
    member.sessions.publish_state({3, 2}, state_of(7));
    cr_assert_eq(member.count(1, "state") + member.count(1, "state-change"), 2);
}

// A partitioned member may still learn of a state that is outdated by now. It must not send it to schedulers.
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

// While the core has no quorum, a committed state that is newer than that of a scheduler is still sent to it.
// Guards against a failure in which two members were replaced while the successor of the first was
// partitioned in one direction.
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
    cr_assert_eq(member.count(2, "state"), 0, "it has a newer state");
    cr_assert_eq(member.count(3, "state"), 0, "it has no state and must not start with an outdated one");
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

// Applies the states among the messages sent to a session. Returns the number of deltas whose base was
// missing.
int apply_states(const std::vector<json>& sent, std::optional<StateUpdate>& current_state) {
    int missing_bases = 0;
    for (const json& message : sent) {
        if (!message.at("type").get<std::string>().starts_with("state")) continue;
        const auto active =
            current_state ? std::optional(ActiveState{current_state->position, &current_state->configuration})
                          : std::nullopt;
        auto result = apply_update(decode_core_update(message), active);
        cr_assert(static_cast<bool>(result));
        if (auto* update = std::get_if<StateUpdate>(&result.value())) current_state = std::move(*update);
        missing_bases += std::holds_alternative<MissingBase>(result.value()) ? 1 : 0;
    }
    return missing_bases;
}

// Returns whether the message could be applied.
bool apply_members(MemberView& view, const json& message) {
    const messages::CoreUpdate update = decode_core_update(message);
    if (const auto* delta = std::get_if<messages::MembersDelta>(&update)) return view.apply(*delta);
    view.apply(std::get<messages::MembersSnapshot>(update));
    return true;
}

std::vector<membership::Lease> leases(const std::vector<std::string>& nodes, membership::Phase phase) {
    std::vector<membership::Lease> result;
    for (const std::string& node : nodes) {
        result.emplace_back();
        result.back().node = node;
        result.back().phase = phase;
    }
    return result;
}

} // namespace

Test(scheduler_sessions, schedulers_with_the_base_are_sent_a_delta_and_others_a_snapshot) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    member.sessions.publish_state({3, 2}, state_with(7, R"({"name":"a"},{"name":"b","coldRateS":5})"));
    member.sessions.add_session(2);
    cr_assert_eq(member.count(1, "state"), 1);
    cr_assert_eq(member.count(1, "state-change"), 1);
    cr_assert_eq(member.count(2, "state"), 1);
    std::optional<StateUpdate> from_delta, from_snapshot;
    cr_assert_eq(apply_states(member.sent[1], from_delta), 0);
    cr_assert_eq(apply_states(member.sent[2], from_snapshot), 0);
    for (auto* state : {&*from_delta, &*from_snapshot})
        std::ranges::sort(state->configuration.services, {}, &configuration::Service::name);
    cr_assert(from_delta->configuration.services == from_snapshot->configuration.services);
    cr_assert(from_delta->position == from_snapshot->position);
    cr_assert_eq(from_delta->configuration.version, 7U);
}

Test(scheduler_sessions, a_scheduler_with_a_missing_base_is_sent_a_snapshot) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    member.sessions.publish_state({3, 2}, state_with(7, R"({"name":"b"})"));
    std::optional<StateUpdate> current_state;
    cr_assert_eq(apply_states({member.sent[1].back()}, current_state), 1);
    cr_assert_not(current_state.has_value());
    messages::RenewLease resync_renewal = renewal(replication::Position{3, 1});
    resync_renewal.resync.state = true;
    const auto sent_before = static_cast<long>(member.sent[1].size());
    member.sessions.on_message(1, resync_renewal);
    cr_assert_eq(apply_states({member.sent[1].begin() + sent_before, member.sent[1].end()}, current_state),
                 0);
    cr_assert(current_state && current_state->position == (replication::Position{3, 2}));
}

// An evacuation changes the state but not the configuration, so its delta has no patch. A change outside of
// the lists of named items cannot be expressed as a patch, so a snapshot is sent.
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
    std::optional<StateUpdate> current_state;
    cr_assert_eq(apply_states(member.sent[1], current_state), 0);
    cr_assert_eq(current_state->configuration.version, 7U);
    cr_assert(current_state->evacuated.contains("z"));
}

Test(scheduler_sessions, a_state_sent_twice_or_out_of_order_changes_nothing) {
    FakeMember member;
    member.sessions.publish_state({3, 1}, state_with(6, R"({"name":"a"})"));
    member.sessions.add_session(1);
    for (std::uint64_t i = 2; i <= 5; ++i)
        member.sessions.publish_state({3, i}, state_with(5 + i, fmt::format(R"({{"name":"a{}"}})", i)));
    std::optional<StateUpdate> current_state;
    const std::vector<json>& sent = member.sent[1];
    cr_assert_eq(apply_states({sent[0], sent[1], sent[1], sent[3], sent[0], sent[2], sent[3]}, current_state),
                 1, "the delta whose base had not arrived");
    cr_assert(current_state->position == (replication::Position{3, 4}));
    cr_assert_not_null(current_state->configuration.find_service("a4"));
    cr_assert_null(current_state->configuration.find_service("a3"));
}

Test(scheduler_sessions, members_are_sent_as_one_snapshot_and_then_as_deltas) {
    using membership::Phase;
    FakeMember member;
    member.sessions.add_session(1);
    member.sessions.publish_members(leases({"a", "b"}, Phase::starting));
    member.sessions.publish_members(leases({"a", "b"}, Phase::ready));
    member.sessions.flush();
    member.sessions.flush();
    cr_assert_eq(member.sent[1].size(), 1U, "simultaneous changes are sent once");
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
    MemberView view, new_session_view;
    for (const auto& nodes : {std::vector<std::string>{"a"}, {"b"}, {"b", "c"}}) {
        member.sessions.publish_members(leases(nodes, Phase::ready));
        member.sessions.flush();
    }
    cr_assert(apply_members(view, member.sent[1][0]));
    cr_assert_not(apply_members(view, member.sent[1][2]));
    cr_assert(view.members() == leases({"a"}, Phase::ready), "a rejected delta changes nothing");
    cr_assert(apply_members(new_session_view, member.sent[1][0]));
    new_session_view.begin_session();
    cr_assert_not(apply_members(new_session_view, member.sent[1][1]));
    messages::RenewLease resync_renewal = renewal();
    resync_renewal.resync.members = true;
    member.sessions.on_message(1, resync_renewal);
    const auto snapshot =
        std::ranges::find_if(member.sent[1].rbegin(), member.sent[1].rend(),
                             [](const json& message) { return message.at("type") == "members"; });
    cr_assert(apply_members(view, *snapshot));
    cr_assert(view.members() == leases({"b", "c"}, Phase::ready));
}
