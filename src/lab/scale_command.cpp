#include "lab/scale_command.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>
#include <utility>

namespace willowrill::lab {
namespace {

volatile std::sig_atomic_t interrupted = 0;

// A table that is there whole or not at all.
class Table {
  public:
    explicit Table(std::string file) : file_(std::move(file)), partial_(file_ + ".partial"), out_(partial_) {
        if (!out_) throw std::runtime_error(file_ + " cannot be written");
        out_ << "schedulers,real,workers,seed,role,phase,messages_per_s,bytes_per_s,cpu_ms_per_s,memory_kb,"
                "state_bytes,act_ms,cpu_us_per_job\n";
    }
    ~Table() { std::remove(partial_.c_str()); } // nothing, once it is done
    Table(const Table&) = delete;
    Table& operator=(const Table&) = delete;

    void add(const scale::Case& one, const scale::Sample& sample) {
        out_ << one.schedulers << ',' << one.real << ',' << one.workers << ',' << one.seed << ','
             << name_of(sample.role) << ',' << name_of(sample.phase);
        for (const double figure :
             {sample.messages_per_s, sample.bytes_per_s, sample.cpu_ms_per_s, sample.memory_kb,
              sample.state_bytes, sample.act_ms, sample.cpu_us_per_job}) {
            out_ << ',';
            if (figure >= 0) out_ << figure; // left out where it was not measured
        }
        out_ << '\n';
    }
    void done() {
        out_.close();
        if (!out_ || std::rename(partial_.c_str(), file_.c_str()) != 0)
            throw std::runtime_error(file_ + " cannot be written");
    }

  private:
    const std::string file_, partial_;
    std::ofstream out_;
};

std::string size_of(const scale::Case& one) {
    return std::to_string(one.schedulers) + " schedulers, " + std::to_string(one.workers) + " workers";
}

void play_all(const std::vector<scale::Case>& all, Table& table, const scale::Progress& progress) {
    std::size_t done = 0;
    for (const scale::Case& one : all) {
        const std::string what = std::to_string(++done) + "/" + std::to_string(all.size()) + ": " +
                                 size_of(one) + ", seed " + std::to_string(one.seed) + ": ";
        const auto samples = scale::play(
            one, [&](const std::string& at) { progress(what + at); }, [] { return interrupted != 0; });
        for (const scale::Sample& sample : samples)
            table.add(one, sample);
        table.add(one, scale::measure_decision(one.schedulers, one.workers));
    }
}

} // namespace

std::vector<scale::Case> cases(const ScaleOptions& options) {
    std::vector<scale::Case> out;
    std::set<std::pair<std::size_t, std::size_t>> seen;
    const auto add = [&](std::size_t schedulers, std::size_t workers) {
        if (!seen.emplace(schedulers, workers).second) return;
        scale::Case one = options.base;
        one.schedulers = schedulers;
        one.workers = workers;
        one.real = std::min(one.real, schedulers);
        for (one.seed = 1; one.seed <= options.seeds; ++one.seed)
            out.push_back(one);
    };
    for (const std::size_t schedulers : options.schedulers)
        add(schedulers, options.workers_held);
    for (const std::size_t workers : options.workers)
        add(options.schedulers_held, workers);
    return out;
}

int run(const ScaleOptions& options, const scale::Progress& progress) {
    const std::vector<scale::Case> all = cases(options);
    const scale::Machine machine = scale::Machine::read();
    for (const scale::Case& one : all) {
        const std::string why = refusal(one, machine);
        if (why.empty()) continue;
        std::cerr << "willowrill-lab: " << size_of(one) << " are more than this machine holds: " << why
                  << '\n';
        return 1;
    }
    spdlog::set_level(spdlog::level::err); // the hollow schedulers speak in this process
    for (const int signal : {SIGINT, SIGTERM})
        std::signal(signal, [](int) { interrupted = 1; });
    try {
        Table table(options.out);
        play_all(all, table, progress);
        table.done();
    } catch (const std::runtime_error& error) {
        std::cerr << "willowrill-lab: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace willowrill::lab
