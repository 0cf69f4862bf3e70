// An experiment of many schedulers and workers under faults, as its file has it. The same file is played in
// virtual time and with real processes. It knows how to read itself and nothing of either.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace willowrill::lab::spread {

using Time = std::chrono::nanoseconds;

struct Fault {
    enum class What : std::uint8_t {
        kill,      // schedulers end at `from`, with all they know, and start anew at `to`
        stop,      // schedulers stand still in between, and go on with their old views
        cut,       // between schedulers and workers: nothing passes, and nobody is told
        replace,   // workers go, and cold ones come in their place, one after the other in between
        slow,      // workers take `size` times as long
        fail,      // workers fail whatever comes, at once, and look idle
        freeze,    // workers report that they are idle, whatever they do
        late_list, // schedulers hear of changes `size` seconds later
        hush,      // at `from`, their open watches on discovery fall silent for good; new ones are well
        restart, // schedulers are told to end at `from`, with clients on their connections, and start at `to`
        burst    // `size` times as many jobs come to schedulers
    };
    What what{};
    Time from{0}, to{0};  // since the run's beginning
    double schedulers{0}; // share of them, where the fault is about schedulers
    double workers{0};    // share of them, likewise
    double size{1};
};
const char* name_of(Fault::What what);

// How schedulers learn of load.
enum class Reports : std::uint8_t { answers, probes, none };

struct Experiment {
    std::string name = "plain";
    std::uint64_t seed = 1;
    std::size_t schedulers = 50, workers = 60, zones = 2;
    int slots = 4;             // of a worker
    std::size_t queue = 32;    // jobs that wait at a worker; beyond, it turns away
    double load = 0.7;         // work asked for, over what warm workers can do
    double uneven = 10;        // one scheduler in ten gets so many times as much as another
    Time run{100'000'000};     // mean running time of a job
    double run_spread = 0.5;   // its standard deviation over its mean
    Time wanted{500'000'000};  // an answer by then is good
    Time limit{3'000'000'000}; // after which a client leaves
    double haste = 0; // share of the clients that leave as soon as the wanted time is over, and say so
    Reports reports = Reports::answers;
    Time report_every{50'000'000}; // a worker's figures are as old as this at the most
    double report_noise = 0.05;
    Time delay{1'000'000};       // one way, between any two
    Time list_late{200'000'000}; // at which all schedulers know of a change, at the latest
    Time cold{9'000'000'000};    // after which a worker is warm ...
    double cold_capacity = 0.4;  // ... from this share of its speed
    Time warm_up{4'000'000'000}, lasts{16'000'000'000}; // not measured, and then in all
    std::vector<Fault> faults;

    Time faults_begin() const; // the first; `lasts` where there is none
    Time faults_end() const;   // the last
};

// Of what a file says; the message names the line. Unknown keys, units that are none and figures that cannot
// be are errors.
struct BadExperiment : std::runtime_error {
    using std::runtime_error::runtime_error;
};
Experiment read_experiment(const std::string& text, const std::string& name_of_file);
Experiment read_experiment_file(const std::string& path);

} // namespace willowrill::lab::spread
