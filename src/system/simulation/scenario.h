// What one run of the simulated core is: its machines, what may go wrong, and how often.
#pragma once

#include "system/simulation/operators.h"

#include <cstddef>
#include <cstdint>

namespace willowrill::simulation {

struct Scenario {
    std::uint64_t seed = 1;
    std::size_t members = 3;
    std::size_t seeds = 3;
    std::size_t tolerated = 1; // disks that may be lost at once
    std::size_t schedulers = 3;
    Time length{30000};
    Time fault_gap{2500}; // mean time between faults; 0 for none
    Time max_fault{6000};
    bool wipes = true;        // disks are lost too, as many at once as are tolerated
    bool herds = true;        // all processes are killed, or all lose power, now and then
    bool disk_faults = true;  // disks refuse, stall and are slow
    bool replacements = true; // members leave for good, and others come
    // Two members are replaced one after the other, while the first successor cannot reach the second to go.
    bool replacements_beside_cuts = false;
    // Members begin as a program of protocol version 3, and are replaced by the newer one and back, one at a
    // time, until an operator's order to finish the upgrade was taken in.
    bool upgrades = false;
    double replays = 0.01;   // share of messages between members that come once more, up to 5 s later
    bool final_fault = true; // at the end all lose power, and as many as are tolerated their disks
    Operators::Habits operators{};
    bool trace = false; // writes faults and changes of role to standard error
    // Deliberate breaks, each of which the checker must notice.
    bool break_forgets_registers = false; // registers are not durable
    bool break_hides_failures = false;    // a refused save is taken for done
    bool break_answers_for_others =
        false;                            // backups are taken to have stored what may never have reached them
    bool break_unconfirmed_reads = false; // a member that takes itself for the primary answers reads at once
    bool break_forgets_orders = false;    // orders taken are not remembered
    bool break_always_current = false;    // a member that is cut off calls its state current
    // The disk of one member refuses whatever it is given while that member is the primary, for good. Not a
    // break in itself; with `break_no_election_backoff`, by which a member that won and could not serve
    // stands again at once and hands nothing over, it is one.
    bool fails_as_primary = false;
    bool break_no_election_backoff = false;
    // Deltas of states are applied to whatever state a member has from their sender.
    bool break_trusts_any_base = false;
    // A member without a register does not take the word of a primary that proves that it leads.
    bool break_ignores_confirmations = false;
    // The upgrade is finished without a look at who could not follow.
    bool break_unchecked_upgrade = false;
};

} // namespace willowrill::simulation
