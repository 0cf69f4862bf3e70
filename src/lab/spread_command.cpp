#include "lab/spread_command.h"

#include "lab/folder.h"
#include "lab/spread/live.h"
#include "lab/spread/virtual.h"

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace willowrill::lab {
namespace {

using spread::Experiment, spread::Measures, spread::Way;

constexpr const char* head =
    "experiment,schedulers,workers,way,seed,goodput,goodput_before,goodput_during,goodput_after,"
    "goodput_later,refused,failed,late,herd_100ms_p99,herd_100ms_worst,herd_1s_p99,herd_1s_worst,"
    "crowd_p99,crowd_worst,idle,evenness,attempts_per_job,recovery_s,broken\n";

void row(std::ostream& out, const Experiment& one, std::string_view way, const Measures& m) {
    const auto share = [&](std::uint64_t part) {
        return m.all.jobs > 0 ? static_cast<double>(part) / static_cast<double>(m.all.jobs) : 0;
    };
    out << one.name << ',' << one.schedulers << ',' << one.workers << ',' << way << ',' << one.seed;
    for (const double value :
         {m.all.goodput(), m.before.goodput(), m.during.goodput(), m.after.goodput(), m.later.goodput(),
          share(m.all.refused), share(m.all.failed), share(m.all.late), m.herd_100ms_p99, m.herd_100ms_worst,
          m.herd_1s_p99, m.herd_1s_worst, m.crowd_p99, m.crowd_worst, m.idle, m.evenness, m.attempts_per_job,
          m.recovery_s})
        out << ',' << value;
    out << ',' << m.broken.size() << std::endl;
}

// Each file at each size and seed.
std::vector<Experiment> cases(const SpreadOptions& options) {
    const auto or_own = [](const std::vector<std::size_t>& sizes, std::size_t own) {
        return sizes.empty() ? std::vector{own} : sizes;
    };
    std::vector<Experiment> out;
    for (const std::string& file : options.files) {
        Experiment one = spread::read_experiment_file(file);
        for (const std::size_t schedulers : or_own(options.schedulers, one.schedulers)) {
            for (const std::size_t workers : or_own(options.workers, one.workers)) {
                for (one.seed = 1; one.seed <= options.seeds; ++one.seed) {
                    out.push_back(one);
                    out.back().schedulers = schedulers;
                    out.back().workers = workers;
                }
            }
        }
    }
    return out;
}

Measures measured(const Experiment& one, Way way, const std::string& program, const std::string& what,
                  const std::function<void(const std::string&)>& progress) {
    if (program.empty()) {
        return play(one, way, [&](spread::Time at) {
            progress(what + ": " + std::to_string(at / std::chrono::seconds(1)) + " s of " +
                     std::to_string(one.lasts / std::chrono::seconds(1)));
        });
    }
    const Folder folder;
    return play_live(one, {program, folder.path},
                     [&](const std::string& at) { progress(what + ", real processes: " + at); });
}

} // namespace

int run(const SpreadOptions& options, const std::function<void(const std::string&)>& progress) {
    const std::vector<Experiment> all = cases(options);
    std::vector<Way> ways;
    for (const std::string& name : options.ways) {
        const auto way = spread::way_named(name);
        if (!way)
            throw std::runtime_error("there is no way '" + name + "': module, random, two-choices, oracle");
        ways.push_back(*way);
    }
    std::ofstream csv(options.out);
    if (!csv) throw std::runtime_error(options.out + " cannot be written");
    csv << head;
    bool kept = true;
    for (const Experiment& one : all) {
        for (const Way way : ways) {
            const std::string what = one.name + ", " + std::to_string(one.schedulers) + " by " +
                                     std::to_string(one.workers) + ", seed " + std::to_string(one.seed) +
                                     ", " + std::string(name_of(way));
            const Measures result = measured(one, way, options.program, what, progress);
            row(csv, one, options.program.empty() ? name_of(way) : "live", result);
            for (const std::string& rule : result.broken)
                std::cerr << what << ": " << rule << '\n';
            kept = kept && result.broken.empty();
        }
    }
    return kept ? 0 : 1;
}

} // namespace willowrill::lab
