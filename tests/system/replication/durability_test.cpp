// Tests of `Durability`: saves in flight, deferred actions, stalls, and rewriting records after a failure.
#include "system/replication/durability.h"

#include <criterion/criterion.h>

using namespace willowrill::replication;

namespace {

const Timing timing{};

DeferredAction action_named(const MemberId& member) { return Send{member, LeadershipTransfer{1}}; }

std::string name_in(const std::optional<DeferredAction>& action) {
    if (!action) return "none";
    const auto* send = std::get_if<Send>(&*action);
    return send == nullptr ? "other" : send->to;
}

} // namespace

Test(durability, saves_are_answered_in_order_and_other_answers_are_ignored) {
    Durability disk(timing);
    const SaveId first = disk.issue(Time(0), ReplicatedState{}).save_id;
    const SaveId second = disk.issue(Time(0), ReplicatedState{}).save_id;
    cr_assert_lt(first, second);
    cr_assert_not(disk.on_saved(Time(1), second));
    cr_assert(disk.on_saved(Time(1), first));
    cr_assert_not(disk.on_saved(Time(1), first));
    cr_assert_not(disk.idle());
    cr_assert(disk.on_saved(Time(1), second));
    cr_assert(disk.idle());
}

Test(durability, deferred_actions_wait_for_all_saves_issued_so_far) {
    Durability disk(timing);
    const SaveId first = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.defer(action_named("a"));
    const SaveId second = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.defer(action_named("b"));
    cr_assert_not(disk.take_ready(first - 1).has_value());
    cr_assert(disk.on_saved(Time(1), first));
    cr_assert(name_in(disk.take_ready(first)) == "a");
    cr_assert_not(disk.take_ready(first).has_value());
    cr_assert(disk.on_saved(Time(2), second));
    cr_assert(name_in(disk.take_ready(second)) == "b");
}

Test(durability, a_failure_discards_deferred_actions_and_doubles_the_backoff) {
    Durability disk(timing);
    Time now{0};
    for (const int pause_ms : {200, 400, 800, 1000, 1000}) {
        const SaveId id = disk.issue(now, ReplicatedState{}).save_id;
        disk.defer(action_named("a"));
        cr_assert(disk.on_refused(now, id));
        cr_assert_not(disk.take_ready(id).has_value());
        cr_assert_not(disk.may_restore(now + Time(pause_ms - 1)));
        now += Time(pause_ms);
        cr_assert(disk.may_restore(now));
    }
    disk.on_restored();
    const SaveId id = disk.issue(now, ReplicatedState{}).save_id;
    disk.on_refused(now, id);
    cr_assert(disk.may_restore(now + Time(200)));
}

Test(durability, records_are_not_rewritten_while_a_save_is_in_flight) {
    Durability disk(timing);
    const SaveId first = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.issue(Time(0), ReplicatedState{});
    disk.on_refused(Time(0), first);
    cr_assert_not(disk.may_restore(Time(60000)));
}

Test(durability, a_disk_is_unresponsive_after_the_timeout_until_it_answers) {
    Durability disk(timing);
    cr_assert(disk.is_responsive(Time(100000)));
    const SaveId first = disk.issue(Time(1000), ReplicatedState{}).save_id;
    disk.issue(Time(1500), ReplicatedState{});
    cr_assert(disk.is_responsive(Time(1600)));
    cr_assert_not(disk.is_responsive(Time(1601)));
    disk.on_saved(Time(1700), first);
    cr_assert(disk.is_responsive(Time(2300)));
    cr_assert_not(disk.is_responsive(Time(2301)));
}

Test(durability, only_a_durable_register_marks_the_state_as_complete) {
    Durability disk(timing);
    WitnessRegister complete;
    complete.complete = true;
    const SaveId refused = disk.issue(Time(0), complete).save_id;
    disk.on_refused(Time(0), refused);
    cr_assert_not(disk.durably_complete());
    const SaveId saved = disk.issue(Time(0), complete, Durability::Purpose::restoration).save_id;
    cr_assert_not(disk.durably_complete());
    disk.on_saved(Time(0), saved);
    cr_assert(disk.durably_complete());
    const SaveId state = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.on_saved(Time(0), state);
    cr_assert(disk.durably_complete());
    const SaveId incomplete = disk.issue(Time(0), WitnessRegister{}).save_id;
    disk.on_saved(Time(0), incomplete);
    cr_assert_not(disk.durably_complete());
}
