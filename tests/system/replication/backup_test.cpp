// Tests of a backup: which states it stores, and when it considers its state current.
#include "system/replication/replica.h"

#include "replication/replica_driver.h"
#include "replication/scenarios.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::replication;

Test(backup, requests_of_a_fenced_primary_are_rejected) {
    ReplicaDriver member(options("b:1", true));
    member.receive(0, "c:1", PrepareRequest{9, false});
    const ReplicatedState state{{8, 1}, std::make_shared<const std::string>("x")};
    cr_assert_not(
        messages_of<ReplicateReply>(member.receive(1, "a:1", ReplicateRequest{8, state}))[0].stored);
    cr_assert(member.state()->position == Position{});
}

Test(backup, a_late_older_state_does_not_replace_a_newer_one) {
    ReplicaDriver member(options("b:1", true));
    const auto content = std::make_shared<const std::string>("x");
    member.receive(0, "a:1", ReplicateRequest{1, {{1, 5}, content}});
    cr_assert_not(
        messages_of<ReplicateReply>(member.receive(1, "a:1", ReplicateRequest{1, {{1, 4}, content}}))
            .at(0)
            .stored);
    cr_assert(member.state()->position == Position({1, 5}));
}

Test(backup, a_late_duplicate_of_an_install_does_not_replace_a_newer_state) {
    ReplicaDriver member(options("b:1", true));
    const auto content = std::make_shared<const std::string>("x");
    member.receive(0, "a:1", PrepareRequest{7, false});
    const InstallRequest install{7, {{1, 5}, content}};
    cr_assert(messages_of<InstallReply>(member.receive(1, "a:1", install)).at(0).stored);
    member.receive(2, "a:1", ReplicateRequest{7, {{7, 1}, content}});
    cr_assert_not(messages_of<InstallReply>(member.receive(3, "a:1", install)).at(0).stored);
    cr_assert(member.state()->position == Position({7, 1}));
}

// A heartbeat that was buffered while the process was suspended proves no current contact.
Test(backup, an_old_heartbeat_does_not_make_the_state_current) {
    ReplicaDriver member(options("b:1", true));
    const auto reply =
        messages_of<HeartbeatReply>(member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, true, 0}));
    cr_assert_not(member.replica.is_current(Time(1000)), "a heartbeat without an echo has an unknown age");
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert(member.replica.is_current(Time(1100)));
    cr_assert_not(member.replica.is_current(Time(21000)));
    member.receive(21000, "a:1", Heartbeat{3, record(2, "a:1"), {}, true, reply.at(0).sent_at});
    cr_assert_not(member.replica.is_current(Time(21000)), "it echoes a reply of twenty seconds ago");
}

Test(backup, a_primary_without_a_quorum_does_not_make_the_state_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {}, false, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {}, false, 1000});
    cr_assert_not(member.replica.is_current(Time(1100)));
}

Test(backup, a_backup_without_the_newest_state_is_not_current) {
    ReplicaDriver member(options("b:1", true));
    member.receive(1000, "a:1", Heartbeat{1, record(2, "a:1"), {2, 1}, true, 0});
    member.receive(1100, "a:1", Heartbeat{2, record(2, "a:1"), {2, 1}, true, 1000});
    cr_assert_not(member.replica.is_current(Time(1100)));
    member.receive(1110, "a:1", CommitNotification{2, {{2, 1}, std::make_shared<const std::string>("x")}});
    member.receive(1200, "a:1", Heartbeat{3, record(2, "a:1"), {2, 1}, true, 1100});
    cr_assert(member.replica.is_current(Time(1200)));
}
