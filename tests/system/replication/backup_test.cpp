// A replica that follows a primary: what it stores, and when it calls its state current.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(backup, a_fenced_primary_can_store_nothing_here) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "c:1", PrepareRequest{9, false});
    const ReplicatedState state{{8, 1}, std::make_shared<const std::string>("x")};
    cr_assert_not(sent<ReplicateReply>(member.receive(1, "a:1", ReplicateRequest{8, state}))[0].stored);
    cr_assert(member.state()->position == Position{});
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
    cr_assert_not(member.replica.is_current(Time(1000)), "nothing says how old that was");
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert(member.replica.is_current(Time(1100)));
    cr_assert_not(member.replica.is_current(Time(21000)));
    member.receive(21000, "a:1", Heartbeat{3, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert_not(member.replica.is_current(Time(21000)), "it echoes what was said twenty seconds ago");
}

Test(backup, a_primary_without_a_quorum_makes_nothing_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, false, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, false, 1000});
    cr_assert_not(member.replica.is_current(Time(1100)));
}

Test(backup, one_that_lacks_the_newest_state_is_not_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {2, 1}, true, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {2, 1}, true, 1000});
    cr_assert_not(member.replica.is_current(Time(1100)));
    member.receive(1110, "a:1", CommitNotification{2, {{2, 1}, std::make_shared<const std::string>("x")}});
    member.receive(1200, "a:1", Heartbeat{3, record(2, "a:1"), {2, 1}, true, 1100});
    cr_assert(member.replica.is_current(Time(1200)));
}
