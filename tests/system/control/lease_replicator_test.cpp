// Tests the replication of leases between core members.
#include "system/control/lease_replicator.h"
#include "system/messages/codec.h"

#include "support/leases.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>

using namespace willowrill;
using membership::Lease;
using membership::Phase;
using membership::Time;

namespace {

// Core members whose messages are delivered in order, or dropped if a member is partitioned.
struct ReplicatingMembersFixture {
    std::map<std::string, std::unique_ptr<control::LeaseReplicator>> members;
    std::set<std::string> partitioned; // members whose messages are dropped in both directions
    Time now{0};
    std::size_t bytes = 0;

    void deliver(const std::string& from, const std::string& to, const messages::LeasesMessage& message) {
        if (partitioned.contains(to) || partitioned.contains(from)) return;
        bytes += messages::encode(messages::CoreMessage{message}).dump().size();
        members.at(to)->on_message(now, from, message);
    }
    void add(const std::string& name, std::uint64_t incarnation) {
        control::LeaseReplicator::Callbacks callbacks;
        callbacks.broadcast = [this, name](const messages::LeasesMessage& message) {
            for (const auto& [other, member] : members)
                if (other != name) deliver(name, other, message);
        };
        callbacks.send = [this, name](const std::string& to, const messages::LeasesMessage& message) {
            deliver(name, to, message);
        };
        callbacks.changed = [](const std::vector<Lease>&) {};
        members[name] = std::make_unique<control::LeaseReplicator>(incarnation, callbacks);
    }
    // Sets the time and expires leases at all members.
    void advance_to(int ms) {
        now = Time(ms);
        for (const auto& [name, member] : members)
            member->expire(now);
    }
    std::vector<std::string> nodes(const std::string& member) const {
        std::vector<std::string> result;
        for (const Lease& lease : members.at(member)->leases())
            result.push_back(lease.node);
        return result;
    }
};

using Nodes = std::vector<std::string>;

messages::LeasesMessage leases_message(const nlohmann::json& document) {
    return std::get<messages::LeasesMessage>(messages::decode_core_message(document));
}

} // namespace

Test(lease_replicator, a_keep_alive_renews_all_leases_that_are_not_silent) {
    ReplicatingMembersFixture fixture;
    fixture.add("x", 1);
    fixture.add("y", 2);
    std::uint64_t renewal = 0;
    for (int time_ms = 0; time_ms < 20'000; time_ms += 700) {
        fixture.advance_to(time_ms);
        ++renewal;
        fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, renewal));
        if (time_ms < 5000) fixture.members["x"]->on_renewed(fixture.now, make_lease("a2", 1, renewal));
        fixture.members["x"]->publish();
        if (time_ms < 5000) cr_assert(fixture.nodes("y") == (Nodes{"a1", "a2"}), "at %d", time_ms);
        if (time_ms > 8000) cr_assert(fixture.nodes("y") == (Nodes{"a1"}), "at %d", time_ms);
    }
    cr_assert_lt(fixture.bytes, std::size_t{20'000 / 700} * 120U, "%zu bytes", fixture.bytes);
}

Test(lease_replicator, a_member_that_missed_deltas_requests_a_snapshot) {
    ReplicatingMembersFixture fixture;
    fixture.add("x", 1);
    fixture.add("y", 2);
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, 1));
    fixture.partitioned = {"y"};
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a2", 1, 1));
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, 2, Phase::leaving));
    fixture.partitioned = {};
    fixture.advance_to(100);
    fixture.members["x"]->publish();
    cr_assert(fixture.nodes("y") == (Nodes{"a1", "a2"}));
    cr_assert(fixture.members["y"]->leases()[0].phase == Phase::leaving);
    // A restarted member has a new incarnation and starts at the first list number.
    fixture.add("x", 9);
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a3", 1, 1));
    fixture.members["x"]->publish();
    cr_assert(fixture.nodes("y") == (Nodes{"a1", "a2", "a3"}));
}

// The partition lasts longer than a lease: a lease that expired meanwhile must be restored afterwards.
Test(lease_replicator, a_lease_that_expired_during_a_partition_is_restored_after_it) {
    ReplicatingMembersFixture fixture;
    fixture.add("x", 1);
    fixture.add("y", 2);
    std::uint64_t renewal = 1;
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, renewal));
    fixture.members["x"]->publish();
    fixture.partitioned = {"y"};
    for (int time_ms = 700; time_ms < 7000; time_ms += 700) {
        fixture.advance_to(time_ms);
        fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, ++renewal));
        fixture.members["x"]->publish();
    }
    cr_assert(fixture.nodes("y").empty());
    fixture.partitioned = {};
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, ++renewal));
    fixture.members["x"]->publish();
    cr_assert(fixture.nodes("y") == (Nodes{"a1"}));
}

Test(lease_replicator, a_holder_that_moved_to_another_member_keeps_its_lease) {
    ReplicatingMembersFixture fixture;
    for (const auto& [name, incarnation] : std::map<std::string, std::uint64_t>{{"x", 1}, {"y", 2}, {"z", 3}})
        fixture.add(name, incarnation);
    std::uint64_t renewal = 1;
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, renewal));
    fixture.members["x"]->publish();
    fixture.members["x"]->on_disconnected(make_lease("a1", 1, renewal));
    for (int time_ms = 400; time_ms < 8000; time_ms += 400) {
        fixture.advance_to(time_ms);
        fixture.members["y"]->on_renewed(fixture.now, make_lease("a1", 1, ++renewal));
        fixture.members["x"]->publish();
        fixture.members["y"]->publish();
        cr_assert_eq(fixture.nodes("z").size(), 1U, "at %d", time_ms);
    }
    fixture.members["y"]->on_disconnected(make_lease("a1", 1, renewal));
    for (int time_ms = 8000; time_ms < 11'000; time_ms += 700) {
        fixture.advance_to(time_ms);
        fixture.members["x"]->publish();
        fixture.members["y"]->publish();
    }
    for (const char* member : {"x", "y", "z"})
        cr_assert(fixture.nodes(member).empty(), "%s", member);
}

Test(lease_replicator, a_malformed_message_changes_nothing) {
    ReplicatingMembersFixture fixture;
    fixture.add("x", 1);
    fixture.members["x"]->on_renewed(fixture.now, make_lease("a1", 1, 1));
    for (const char* malformed :
         {R"({})", R"({"type":"leases"})", R"({"type":"leases","life":1,"number":"n"})",
          R"({"type":"leases","life":1,"number":1,"leases":[{}]})",
          R"({"type":"leases-change","life":0,"number":1,"gone":7,"leases":[]})"}) {
        bool has_thrown = false;
        try {
            fixture.members["x"]->on_message(fixture.now, "y",
                                             leases_message(nlohmann::json::parse(malformed)));
        } catch (const nlohmann::json::exception&) {
            has_thrown = true;
        }
        cr_assert(has_thrown, "%s", malformed);
    }
    cr_assert_eq(fixture.nodes("x").size(), 1U);
}
