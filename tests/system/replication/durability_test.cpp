// What a replica knows of its disk: saves in flight, what is deferred behind them, stalls, and when records
// are written anew after a refusal.
#include "system/replication/durability.h"

#include <criterion/criterion.h>

using namespace willowrill::replication;

namespace {

const Timing timing{};

DeferredAction marked(const MemberId& member) { return Send{member, LeadershipTransfer{1}}; }

std::string mark_of(const std::optional<DeferredAction>& action) {
    if (!action) return "none";
    const auto* send = std::get_if<Send>(&*action);
    return send == nullptr ? "other" : send->to;
}

} // namespace

Test(durability, saves_are_answered_in_their_order_and_other_answers_mean_nothing) {
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

Test(durability, what_is_deferred_comes_behind_all_saves_issued_so_far) {
    Durability disk(timing);
    const SaveId first = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.defer(marked("a"));
    const SaveId second = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.defer(marked("b"));
    cr_assert_not(disk.take_due(first - 1).has_value());
    cr_assert(disk.on_saved(Time(1), first));
    cr_assert(mark_of(disk.take_due(first)) == "a");
    cr_assert_not(disk.take_due(first).has_value());
    cr_assert(disk.on_saved(Time(2), second));
    cr_assert(mark_of(disk.take_due(second)) == "b");
}

Test(durability, a_refusal_drops_what_is_deferred_and_doubles_the_pause) {
    Durability disk(timing);
    Time now{0};
    for (const int pause_ms : {200, 400, 800, 1000, 1000}) {
        const SaveId id = disk.issue(now, ReplicatedState{}).save_id;
        disk.defer(marked("a"));
        cr_assert(disk.on_refused(now, id));
        cr_assert_not(disk.take_due(id).has_value());
        cr_assert_not(disk.may_restore(now + Time(pause_ms - 1)));
        now += Time(pause_ms);
        cr_assert(disk.may_restore(now));
    }
    disk.on_restored();
    const SaveId id = disk.issue(now, ReplicatedState{}).save_id;
    disk.on_refused(now, id);
    cr_assert(disk.may_restore(now + Time(200)));
}

Test(durability, records_are_not_written_anew_while_a_save_is_in_flight) {
    Durability disk(timing);
    const SaveId first = disk.issue(Time(0), ReplicatedState{}).save_id;
    disk.issue(Time(0), ReplicatedState{});
    disk.on_refused(Time(0), first);
    cr_assert_not(disk.may_restore(Time(60000)));
}

Test(durability, a_disk_that_answers_nothing_for_too_long_counts_as_lost_until_it_answers) {
    Durability disk(timing);
    cr_assert(disk.answers(Time(100000)));
    const SaveId first = disk.issue(Time(1000), ReplicatedState{}).save_id;
    disk.issue(Time(1500), ReplicatedState{});
    cr_assert(disk.answers(Time(1600)));
    cr_assert_not(disk.answers(Time(1601)));
    disk.on_saved(Time(1700), first);
    cr_assert(disk.answers(Time(2300)));
    cr_assert_not(disk.answers(Time(2301)));
}

Test(durability, only_a_durable_register_says_that_the_state_is_complete) {
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
