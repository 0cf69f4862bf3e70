// Two dozen real processes under three faults, one after the other. Bounds are wide, as machines differ: what
// is held narrowly is that no rule is broken and nothing is lost.
#include "lab/folder.h"
#include "lab/spread/live.h"

#include <doctest/doctest.h>

#include <string>

namespace willowrill::lab::spread {
namespace {

// Played with real processes; a broken rule fails the test by its words.
Measures played(const std::string& name) {
    const Folder folder;
    Measures found = play_live(read_experiment_file(std::string(EXPERIMENTS) + "/" + name + ".yaml"),
                               {WILLOWRILLD, folder.path});
    for (const std::string& rule : found.broken)
        FAIL_CHECK(rule);
    const View& all = found.all;
    CHECK(all.good + all.late + all.refused + all.failed == all.jobs); // each had its one end
    return found;
}

} // namespace

TEST_CASE("real processes that are killed, stopped and cut off keep the rules, lose nothing and come back") {
    const Measures found = played("live");
    const View& all = found.all;
    CHECK(all.jobs > 1000);
    CHECK(found.later.goodput() > 0.5);
    CHECK(static_cast<double>(all.failed) < 0.2 * static_cast<double>(all.jobs));
    CHECK(found.idle < 0.8);
    CHECK(found.herd_1s_worst < 5);
}

// A watch was held for 10 s and given up 1.5 s later: of what it missed, all schedulers went on sending to
// workers that were gone for some four seconds after it counted as told.
TEST_CASE(
    "real processes whose watches all fall silent hear of workers that are gone before it counts as told") {
    const Measures found = played("hush");
    CHECK(found.all.jobs > 500);
    CHECK(found.all.good > found.all.jobs / 2);
}

TEST_CASE("real processes told to end under open connections finish what they took, and nothing runs twice") {
    const Measures found = played("restart");
    CHECK(found.all.jobs > 500);
    CHECK(static_cast<double>(found.all.failed) < 0.004 * static_cast<double>(found.all.jobs)); // cut short
    CHECK(found.during.goodput() > 0.5);
}

// Their first tries were taken for later ones of clients long waiting, and turned away beside idle workers.
TEST_CASE("real processes serve the first tries of clients in haste") {
    const Measures found = played("haste");
    CHECK(found.all.jobs > 500);
    CHECK(static_cast<double>(found.all.refused) < 0.1 * static_cast<double>(found.all.jobs));
    CHECK(found.all.goodput() > 0.7);
}

} // namespace willowrill::lab::spread
