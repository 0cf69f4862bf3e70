// Leases renewed at one core member, as the others know them.
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

// Core members whose messages arrive in their order, unless they are lost.
struct ReplicatingMembers {
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

Test(lease_replicator, a_keep_alive_renews_all_leases_that_are_not_silent) {
    ReplicatingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    std::uint64_t renewal = 0;
    for (int at = 0; at < 20'000; at += 700) {
        core.at(at);
        ++renewal;
        core.members["x"]->on_renewed(core.now, make_lease("a1", 1, renewal));
        if (at < 5000) core.members["x"]->on_renewed(core.now, make_lease("a2", 1, renewal));
        core.members["x"]->publish();
        if (at < 5000) cr_assert(core.nodes("y") == (Nodes{"a1", "a2"}), "at %d", at);
        if (at > 8000) cr_assert(core.nodes("y") == (Nodes{"a1"}), "at %d", at);
    }
    cr_assert_lt(core.bytes, std::size_t{20'000 / 700} * 120U, "%zu bytes", core.bytes);
}

Test(lease_replicator, a_member_that_missed_deltas_requests_a_snapshot) {
    ReplicatingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, 1));
    core.cut = {"y"};
    core.members["x"]->on_renewed(core.now, make_lease("a2", 1, 1));
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, 2, Phase::leaving));
    core.cut = {};
    core.at(100);
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1", "a2"}));
    cr_assert(core.members["y"]->leases()[0].phase == Phase::leaving);
    // A member that started anew, with its first list's number.
    core.add("x", 9);
    core.members["x"]->on_renewed(core.now, make_lease("a3", 1, 1));
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1", "a2", "a3"}));
}

// Word that was held up for longer than a lease lasts: what has lapsed meanwhile comes back.
Test(lease_replicator, a_lease_that_lapsed_during_a_partition_is_known_again_after_it) {
    ReplicatingMembers core;
    core.add("x", 1);
    core.add("y", 2);
    std::uint64_t renewal = 1;
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, renewal));
    core.members["x"]->publish();
    core.cut = {"y"};
    for (int at = 700; at < 7000; at += 700) {
        core.at(at);
        core.members["x"]->on_renewed(core.now, make_lease("a1", 1, ++renewal));
        core.members["x"]->publish();
    }
    cr_assert(core.nodes("y").empty());
    core.cut = {};
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, ++renewal));
    core.members["x"]->publish();
    cr_assert(core.nodes("y") == (Nodes{"a1"}));
}

Test(lease_replicator, a_holder_that_moved_to_another_member_keeps_its_lease) {
    ReplicatingMembers core;
    for (const auto& [name, life] : std::map<std::string, std::uint64_t>{{"x", 1}, {"y", 2}, {"z", 3}})
        core.add(name, life);
    std::uint64_t renewal = 1;
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, renewal));
    core.members["x"]->publish();
    core.members["x"]->on_disconnected(make_lease("a1", 1, renewal));
    for (int at = 400; at < 8000; at += 400) {
        core.at(at);
        core.members["y"]->on_renewed(core.now, make_lease("a1", 1, ++renewal));
        core.members["x"]->publish();
        core.members["y"]->publish();
        cr_assert_eq(core.nodes("z").size(), 1U, "at %d", at);
    }
    core.members["y"]->on_disconnected(make_lease("a1", 1, renewal));
    for (int at = 8000; at < 11'000; at += 700) {
        core.at(at);
        core.members["x"]->publish();
        core.members["y"]->publish();
    }
    for (const char* member : {"x", "y", "z"})
        cr_assert(core.nodes(member).empty(), "%s", member);
}

Test(lease_replicator, a_message_of_the_wrong_shape_changes_nothing) {
    ReplicatingMembers core;
    core.add("x", 1);
    core.members["x"]->on_renewed(core.now, make_lease("a1", 1, 1));
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
