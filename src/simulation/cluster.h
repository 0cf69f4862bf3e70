// A core simulated in virtual time: the real replication and order code of each member, with disks, links,
// clocks and operators that are models. One seed replays a whole run. What is checked is what operators saw,
// and that members agree on what was committed; no member's own word counts.
#pragma once

#include "control/order_queue.h"
#include "replication/replica.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace willowrill::simulation {

using replication::MemberId;
using replication::Time;

// Thrown out of a save: the process dies at that point.
struct Crash {};

// A disk whose every save may be the process's last act.
class Disk : public replication::Storage {
  public:
    explicit Disk(std::function<double()> chance) : chance_(std::move(chance)) {}
    std::optional<replication::WitnessRegister> load_register() override { return register_; }
    std::optional<replication::ReplicatedState> load_state() override { return state_; }
    bool save(const replication::WitnessRegister& value) override;
    bool save(const replication::ReplicatedState& value) override;
    void wipe();

    double crash_chance = 0; // of dying around a save, before or after it has reached the disk
    bool forgets_registers =
        false; // a broken disk, to see that the checker notices: registers never reach it

  private:
    template <class T> bool store(std::optional<T>& place, const T& value, bool lost);

    std::function<double()> chance_;
    std::optional<replication::WitnessRegister> register_;
    std::optional<replication::ReplicatedState> state_;
};

// What may go wrong in a run, and how often.
struct Plan {
    std::uint64_t seed = 1;
    std::size_t members = 3;
    std::size_t seeds = 3;
    std::size_t tolerated = 1;
    Time length{30000};
    Time fault_gap{2500};    // mean time between faults; 0 for none
    bool wipes = true;       // disks are lost too
    bool herds = true;       // all processes are killed at once now and then
    bool final_fault = true; // at the end all lose power, and as many as are tolerated their disks
    double crash_chance = 0.001;
    // Deliberate breaks, each of which the checker must notice.
    bool break_forgets_registers = false; // registers are not durable
    bool break_answers_for_others =
        false;                            // backups are taken to have stored what may never have reached them
    bool break_unconfirmed_reads = false; // a member that takes itself for the primary answers reads at once
};

struct Outcome {
    std::vector<std::string> violations; // empty: every promise was kept
    std::size_t acknowledged = 0;        // orders
    std::size_t refused = 0;
    std::size_t reads = 0;
    std::size_t faults = 0;
    std::size_t epochs = 0; // that came into force
    Time back_after{0};     // from the end of the last fault to the next acknowledgement
};

Outcome run(const Plan& plan);

} // namespace willowrill::simulation
