// One size of the scale run and what is measured at it. Plain values: no sockets, no threads.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::lab::scale {

struct Case {
    std::size_t schedulers = 10, workers = 30; // workers are all hollow
    std::size_t real = 3;                      // of the schedulers, processes of their own
    std::string program;                       // willowrilld
    double jobs_per_second = 20;               // at each real scheduler, while data is measured
    std::chrono::milliseconds steady{5000};    // for which each rate is measured
    std::chrono::milliseconds outage{2500};    // of discovery
    int changes = 4;                           // of the list, one after the other
    std::uint64_t seed = 1;
};

enum class Role { real_scheduler, hollow_scheduler, discovery, worker, decision };
enum class Phase { steady, load, change, outage, restart };

// What one member of a role did in a phase, on average. A figure that was not measured there is negative.
struct Sample {
    Role role{};
    Phase phase{};
    double messages_per_s = -1; // sent, and answers not counted
    double bytes_per_s = -1;    // sent and received, without the system's headers
    double cpu_ms_per_s = -1;   // processor time
    double memory_kb = -1;      // resident
    double state_bytes = -1;    // of the list, as it is sent whole
    double act_ms = -1;         // until the last scheduler acts on what began the phase
    double cpu_us_per_job = -1;
};

std::string_view name_of(Role role);
std::string_view name_of(Phase phase);

// What a run of this size would need of the machine.
struct Need {
    std::size_t processes = 0, descriptors = 0, memory_mb = 0;
};
struct Machine {
    std::size_t processes = 0, descriptors = 0, memory_mb = 0; // that a run may take
    static Machine read();                                     // throws std::runtime_error
};
Need need_of(const Case& one);
// Empty, or a sentence that names the limit which the run would break.
std::string refusal(const Case& one, const Machine& machine);

using Progress = std::function<void(const std::string&)>;

// Plays one size. Throws std::runtime_error where a scheduler does not start or `cancelled` turns true; no
// process is left in either case.
std::vector<Sample> play(const Case& one, const Progress& progress, const std::function<bool()>& cancelled);

// Processor time of one decision beside so many workers, by the module alone: from a job's arrival to its
// placing, its end and its report.
Sample measure_decision(std::size_t schedulers, std::size_t workers);

} // namespace willowrill::lab::scale
