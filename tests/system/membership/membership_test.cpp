// Leases, owners under tokens, lists of workers, the directory, and the queue of orders.
#include "system/control/directory.h"
#include "system/control/lease_replicator.h"
#include "system/control/order_queue.h"
#include "system/discovery/codec.h"
#include "system/membership/codec.h"
#include "system/membership/lease_table.h"
#include "system/messages/codec.h"
#include "system/ownership/ownership.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace willowrill;
using membership::Lease;
using membership::LeaseTable;
using membership::Phase;
using membership::Source;
using membership::Time;

namespace {

Lease lease(const std::string& node, std::uint64_t incarnation, std::uint64_t renewal,
            Phase phase = Phase::ready) {
    Lease out;
    out.node = node;
    out.incarnation = incarnation;
    out.renewal = renewal;
    out.zone = node.substr(0, 1);
    out.region = node.substr(0, 1) == "a" ? "r" : "q";
    out.client_address = node + ":80";
    out.phase = phase;
    return out;
}

} // namespace

Test(leases, lapse_unless_they_are_renewed) {
    LeaseTable table(Time(2000));
    cr_assert(table.renew(Time(0), lease("a1", 1, 1), Source::holder));
    cr_assert_not(table.renew(Time(1500), lease("a1", 1, 2), Source::holder),
                  "a mere renewal changes no view");
    cr_assert_not(table.expire(Time(3500)));
    cr_assert(table.expire(Time(3501)));
    cr_assert_eq(table.size(), 0U);
}

Test(leases, late_word_of_an_earlier_life_does_not_count) {
    LeaseTable table(Time(2000));
    table.renew(Time(0), lease("a1", 1, 5), Source::holder);
    cr_assert(table.renew(Time(10), lease("a1", 2, 1, Phase::starting), Source::holder));
    cr_assert_not(table.renew(Time(20), lease("a1", 1, 6), Source::core_member));
    cr_assert_eq(table.leases()[0].incarnation, 2U);
    cr_assert_not(table.renew(Time(30), lease("a1", 3, 1), Source::core_member),
                  "only the holder starts anew here");
    cr_assert(table.end("a1", 2));
    cr_assert_not(table.renew(Time(40), lease("a1", 2, 9), Source::core_member));
    cr_assert_eq(table.size(), 0U);
}

Test(leases, an_older_renewal_does_not_lengthen_a_lease) {
    LeaseTable table(Time(2000));
    table.renew(Time(0), lease("a1", 1, 5), Source::holder);
    table.renew(Time(1900), lease("a1", 1, 5), Source::core_member);
    cr_assert(table.expire(Time(2001)));
}

Test(leases, go_through_json_unchanged) {
    const Lease before = lease("a1", 0xffffffffffffffffULL, 7, Phase::leaving);
    cr_assert(nlohmann::json(before).get<Lease>() == before);
}

namespace {

// Core members whose messages arrive in their order, unless they are lost.
struct GossipingMembers {
    std::map<std::string, std::unique_ptr<control::LeaseReplicator>> members;
    std::set<std::string> cut; // nothing reaches these, nor comes from them
    Time now{0};
    std::size_t bytes = 0;

    void deliver(const std::string& from, const std::string& to, const messages::LeasesMessage& message) {
        if (cut.contains(to) || cut.contains(from)) return;
        bytes += messages::encode(messages::CoreMessage{message}).dump().size();
        members.at(to)->on_message(now, from, message);
    }
    void add(const std::string& name, std::uint64_t life) {
        control::LeaseReplicator::Callbacks callbacks;
        callbacks.broadcast = [this, name](const messages::LeasesMessage& message) {
            for (const auto& [other, member] : members)
                if (other != name) deliver(name, other, message);
        };
        callbacks.send = [this, name](const std::string& to, const messages::LeasesMessage& message) {
            deliver(name, to, message);
        };
        callbacks.changed = [](const std::vector<Lease>&) {};
        members[name] = std::make_unique<control::LeaseReplicator>(life, callbacks);
    }
    void at(int ms) {
        now = Time(ms);
        for (const auto& [name, member] : members)
            member->expire(now);
    }
    std::vector<std::string> nodes(const std::string& member) const {
        std::vector<std::string> out;
        for (const Lease& lease : members.at(member)->leases())
            out.push_back(lease.node);
        return out;
    }
};

using Nodes = std::vector<std::string>;

messages::LeasesMessage leases_message(const nlohmann::json& document) {
    return std::get<messages::LeasesMessage>(messages::decode_core_message(document));
}

} // namespace

Test(gossip, a_proof_of_life_stands_for_the_renewals_of_all_that_renewed) {
    GossipingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    std::uint64_t renewal = 0;
    for (int at = 0; at < 20'000; at += 700) {
        core.at(at);
        ++renewal;
        core.members["x"]->on_renewed(core.now, lease("a1", 1, renewal));
        if (at < 5000) core.members["x"]->on_renewed(core.now, lease("a2", 1, renewal));
        core.members["x"]->publish();
        if (at < 5000) cr_assert(core.nodes("y") == (Nodes{"a1", "a2"}), "at %d", at);
        if (at > 8000) cr_assert(core.nodes("y") == (Nodes{"a1"}), "at %d", at);
    }
    cr_assert_lt(core.bytes, 20'000 / 700 * 120U, "%zu bytes", core.bytes);
}

Test(gossip, a_member_that_missed_changes_asks_for_the_whole_list) {
    GossipingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    core.members["x"]->on_renewed(core.now, lease("a1", 1, 1));
    core.cut = {"y"};
    core.members["x"]->on_renewed(core.now, lease("a2", 1, 1));
    core.members["x"]->on_renewed(core.now, lease("a1", 1, 2, Phase::leaving));
    core.cut = {};
    core.at(100);
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1", "a2"}));
    cr_assert(core.members["y"]->leases()[0].phase == Phase::leaving);
    // A member that started anew, with its first list's number.
    core.add("x", 9);
    core.members["x"]->on_renewed(core.now, lease("a3", 1, 1));
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1", "a2", "a3"}));
}

// Word that was held up for longer than a lease lasts: what has lapsed meanwhile comes back.
Test(gossip, a_lease_that_lapsed_while_nothing_came_is_known_again) {
    GossipingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    std::uint64_t renewal = 1;
    core.members["x"]->on_renewed(core.now, lease("a1", 1, renewal));
    core.members["x"]->publish();
    core.cut = {"y"};
    for (int at = 700; at < 7000; at += 700) {
        core.at(at);
        core.members["x"]->on_renewed(core.now, lease("a1", 1, ++renewal));
        core.members["x"]->publish();
    }
    cr_assert(core.nodes("y").empty());
    core.cut = {};
    core.members["x"]->on_renewed(core.now, lease("a1", 1, ++renewal));
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1"}));
}

Test(gossip, a_holder_that_moved_on_is_kept_by_where_it_renews_now) {
    GossipingMembers core;
    for (const auto& [name, life] : std::map<std::string, std::uint64_t>{{"x", 1}, {"y", 2}, {"z", 3}})
        core.add(name, life);
    std::uint64_t renewal = 1;
    core.members["x"]->on_renewed(core.now, lease("a1", 1, renewal));
    core.members["x"]->publish();
    core.members["x"]->on_disconnected(lease("a1", 1, renewal));
    for (int at = 400; at < 8000; at += 400) {
        core.at(at);
        core.members["y"]->on_renewed(core.now, lease("a1", 1, ++renewal));
        core.members["x"]->publish();
        core.members["y"]->publish();
        cr_assert_eq(core.nodes("z").size(), 1U, "at %d", at);
    }
    core.members["y"]->on_disconnected(lease("a1", 1, renewal));
    for (int at = 8000; at < 11'000; at += 700) {
        core.at(at);
        core.members["x"]->publish();
        core.members["y"]->publish();
    }
    for (const char* member : {"x", "y", "z"})
        cr_assert(core.nodes(member).empty(), "%s", member);
}

Test(gossip, one_of_the_wrong_shape_changes_nothing) {
    GossipingMembers core;
    core.add("x", 1);
    core.members["x"]->on_renewed(core.now, lease("a1", 1, 1));
    for (const char* bad : {R"({})", R"({"type":"leases"})", R"({"type":"leases","life":1,"number":"n"})",
                            R"({"type":"leases","life":1,"number":1,"leases":[{}]})",
                            R"({"type":"leases-change","life":0,"number":1,"gone":7,"leases":[]})"}) {
        bool thrown = false;
        try {
            core.members["x"]->on_message(core.now, "y", leases_message(nlohmann::json::parse(bad)));
        } catch (const nlohmann::json::exception&) {
            thrown = true;
        }
        cr_assert(thrown, "%s", bad);
    }
    cr_assert_eq(core.nodes("x").size(), 1U);
}

Test(ownership, few_keys_move_when_a_candidate_goes) {
    std::vector<std::string> all;
    for (int i = 0; i < 10; ++i)
        all.push_back("node-" + std::to_string(i));
    std::vector<std::string> fewer = all;
    fewer.erase(fewer.begin() + 3);
    int moved = 0, lost = 0;
    for (int key = 0; key < 1000; ++key) {
        const std::string name = "key-" + std::to_string(key);
        const auto before = ownership::rendezvous_order(name, all).front();
        const auto after = ownership::rendezvous_order(name, fewer).front();
        lost += before == all[3] ? 1 : 0;
        moved += before != after ? 1 : 0;
    }
    cr_assert_eq(moved, lost);
    cr_assert(lost > 50 && lost < 200, "%d of 1000", lost);
}

Test(ownership, an_owner_that_shows_no_work_is_taken_over_under_a_higher_token) {
    ownership::RoleAssigner assigner(7, Time(1600));
    const std::vector<std::string> live{"a", "b", "c"};
    const auto first = assigner.assign({"zone"}, live, Time(0))[0];
    cr_assert_eq(first.token.epoch, 7U);
    assigner.on_work_seen("zone", first.token, Time(1000));
    cr_assert(assigner.assign({"zone"}, live, Time(2600))[0] == first);
    const auto second = assigner.assign({"zone"}, live, Time(2601))[0];
    expect_other_text(second.owner.c_str(), first.owner.c_str());
    cr_assert(second.token > first.token);
    assigner.on_work_seen("zone", first.token, Time(4000)); // the old one wakes up
    const auto third = assigner.assign({"zone"}, live, Time(4300))[0];
    cr_assert(third.token > second.token);
    const auto gone = assigner.assign({"zone"}, {"a"}, Time(4400))[0];
    expect_text(gone.owner.c_str(), "a");
    cr_assert(ownership::RoleAssigner(8, Time(1600)).assign({"zone"}, live, Time(0))[0].token > gone.token);
}

Test(catalogue, what_was_read_under_an_old_token_is_not_taken) {
    discovery::Catalogue catalogue;
    cr_assert(catalogue.take({"z", {3, 1}, 5, {}}));
    cr_assert_not(catalogue.take({"z", {3, 1}, 5, {}}));
    cr_assert_not(catalogue.take({"z", {2, 9}, 99, {}}));
    cr_assert(catalogue.take({"z", {3, 2}, 1, {}}));
    cr_assert_not(catalogue.take({"z", {3, 1}, 6, {}}));
}

Test(instances, pages_are_read_and_nonsense_left_out) {
    const auto page = discovery::parse_page(
        R"({"instances":[{"instanceId":"i","service":"s","address":"1.2.3.4:5","zone":"z","capacity":64,
        "state":"draining","coldRemainingMs":1500.5},{"service":"x"}],"nextToken":"p-50"})");
    cr_assert(static_cast<bool>(page));
    cr_assert_eq(page.value().instances.size(), 1U);
    const discovery::Instance& read = page.value().instances[0];
    cr_assert(read.state == discovery::InstanceState::draining);
    cr_assert_eq(read.cold_remaining.count(), 1500);
    expect_text(page.value().next->c_str(), "p-50");
    cr_assert_not(discovery::parse_page(R"({"instances":[],"nextToken":null})").value().next.has_value());
    for (const char* bad : {"", "[]", "{}", R"({"instances":[1]})", R"({"instances":[{"instanceId":5}]})"})
        cr_assert_not(static_cast<bool>(discovery::parse_page(bad)), "%s", bad);
    cr_assert(nlohmann::json(read).get<discovery::Instance>() == read);
}

Test(instances, a_cold_time_that_runs_down_is_no_change) {
    discovery::Instance one;
    one.id = "i";
    one.cold_remaining = discovery::Milliseconds(3000);
    discovery::Instance later = one;
    later.cold_remaining = discovery::Milliseconds(2400);
    cr_assert(discovery::same_content({one}, {later}, discovery::Milliseconds(500)));
    later.cold_remaining = discovery::Milliseconds(3000);
    cr_assert_not(discovery::same_content({one}, {later}, discovery::Milliseconds(1000)),
                  "it turned cold again");
    later = one;
    later.state = discovery::InstanceState::draining;
    cr_assert_not(discovery::same_content({one}, {later}, discovery::Milliseconds(0)));
}

Test(directory, near_ones_first_and_none_that_leaves) {
    const std::vector<Lease> all{lease("a1", 1, 1), lease("a2", 1, 1), lease("a3", 1, 1, Phase::leaving),
                                 lease("a4", 1, 1, Phase::starting), lease("b1", 1, 1)};
    const auto near = control::resolve(all, "r", "a");
    cr_assert(near == (std::vector<std::string>{"a1:80", "a2:80"}));
    const auto lonely = control::resolve(all, "q", "b");
    cr_assert_eq(lonely.size(), 3U);
    expect_text(lonely[0].c_str(), "b1:80");
    cr_assert(control::resolve({}, "r", "a").empty());
}

namespace {

// Stands for a replica: records what it is asked.
struct FakeReplica {
    std::vector<replication::Event> asked;
    control::OrderQueue queue{[this](replication::Event event) { asked.push_back(std::move(event)); }};
    std::uint64_t last_confirm() const { return std::get<replication::ConfirmLeadership>(asked.back()).id; }
};

const char* const body = R"({"configVersion":2,"routes":[],"services":[]})";

} // namespace

Test(orders, an_order_is_confirmed_then_replicated_then_acknowledged) {
    FakeReplica fake;
    int done = 0;
    fake.queue.submit(configuration::PutConfiguration{0, body}, [&](control::OrderResult result) {
        cr_assert(static_cast<bool>(result));
        ++done;
    });
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    cr_assert_eq(done, 0);
    const auto proposed = std::get<replication::Propose>(fake.asked.back());
    cr_assert_eq(configuration::decode(proposed.content).value().version, 2U);
    fake.queue.on(replication::Committed{proposed.id + 1}); // of somebody else
    cr_assert_eq(done, 0);
    fake.queue.on(replication::Committed{proposed.id});
    cr_assert_eq(done, 1);
}

Test(orders, what_is_not_decided_here_is_no_refusal) {
    FakeReplica fake;
    std::vector<errors::ErrorKind> kinds;
    const auto note = [&](control::OrderResult result) { kinds.push_back(result.error().kind); };
    fake.queue.submit(configuration::PutConfiguration{0, body}, note);
    fake.queue.submit(configuration::PutConfiguration{0, "{"}, note);
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    cr_assert_eq(kinds.size(), 2U);
    cr_assert_geq(errors::answer_to(kinds[0]).status, 500U);
    cr_assert_eq(errors::answer_to(kinds[1]).status, 400U);
}

Test(orders, one_after_the_other_and_bounded) {
    FakeReplica fake;
    int refused = 0;
    for (std::size_t i = 0; i < control::most_waiting_orders + 3; ++i)
        fake.queue.submit(configuration::Evacuate{"z"},
                          [&](control::OrderResult result) { refused += result ? 0 : 1; });
    cr_assert_eq(fake.asked.size(), 1U, "the second waits for the first");
    cr_assert_eq(refused, 2);
}

Test(orders, a_read_is_confirmed_first) {
    FakeReplica fake;
    configuration::ControlState state;
    state.configuration = body;
    fake.queue.on_state(state, {});
    std::string read;
    fake.queue.read([&](errors::Result<std::string> text) { read = text ? text.value() : "error"; });
    cr_assert(read.empty());
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    expect_text(read.c_str(), body);
    fake.queue.read([&](errors::Result<std::string> text) { read = text ? text.value() : "error"; });
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    expect_text(read.c_str(), "error");
}

Test(errors, every_kind_has_an_answer_and_promises_are_kept_apart) {
    using errors::ErrorKind;
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::bad_settings); ++kind)
        expect_other_text(errors::answer_to(static_cast<ErrorKind>(kind)).reason.data(), "unknown error");
    // A 429, 503, 408 or 421 promises that nothing has run.
    for (const ErrorKind ran : {ErrorKind::worker_failed, ErrorKind::deadline_passed, ErrorKind::undecided}) {
        const unsigned status = errors::answer_to(ran).status;
        cr_assert(status == 502 || status == 504);
    }
    for (const ErrorKind unsent :
         {ErrorKind::overloaded, ErrorKind::deadline_passed_unsent, ErrorKind::not_ready}) {
        cr_assert_eq(errors::answer_to(unsent).status, 503U);
        cr_assert(errors::answer_to(unsent).retry_after);
    }
}
