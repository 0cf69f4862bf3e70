// The laboratory's command line.
#include "lab/capacity_command.h"
#include "lab/counts_experiment.h"
#include "lab/csv.h"
#include "lab/live_experiment.h"
#include "lab/spread_command.h"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace willowrill::lab {
namespace {

// Progress goes to standard error, over and over on one line where a person looks on.
class Progress {
  public:
    void say(const std::string& text) {
        const auto now = std::chrono::steady_clock::now();
        if (text == last_ && now - at_ < std::chrono::seconds(terminal_ ? 1 : 15)) return;
        at_ = now;
        last_ = text;
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - begun_).count();
        std::cerr << (terminal_ ? "\r\x1b[K" : "") << "[" << seconds << " s] " << text
                  << (terminal_ ? "" : "\n") << std::flush;
    }
    ~Progress() {
        if (terminal_) std::cerr << '\n';
    }

  private:
    const bool terminal_ = ::isatty(STDERR_FILENO) == 1;
    const std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point at_{};
    std::string last_;
};

struct CountsOptions {
    std::vector<std::size_t> instances{5, 50}, tenants{100, 1000};
    std::uint64_t seeds = 3;
    CountsCase base;
    std::string out = "counts.csv";
};

int counts(const CountsOptions& options) {
    std::ofstream csv(options.out);
    if (!csv) {
        std::cerr << options.out << " cannot be written\n";
        return 1;
    }
    csv << "way,instances,tenants,seed,jobs_per_second,interval_ms,loss,agree_p50_ms,agree_p99_ms,bytes_per_"
           "second,"
           "memory_bytes,cpu_us_per_update\n";
    Progress progress;
    const std::size_t all = options.instances.size() * options.tenants.size() * options.seeds;
    std::size_t done = 0;
    for (const std::size_t instances : options.instances) {
        for (const std::size_t tenants : options.tenants) {
            for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
                CountsCase one = options.base;
                one.instances = instances;
                one.tenants = tenants;
                one.seed = seed;
                const std::string what = std::to_string(++done) + "/" + std::to_string(all) + ": " +
                                         std::to_string(instances) + " instances, " +
                                         std::to_string(tenants) + " tenants, seed " + std::to_string(seed) +
                                         ": ";
                for (const CountsResult& result :
                     run(one, [&](const std::string& at) { progress.say(what + at); })) {
                    csv << result.way << ',' << instances << ',' << tenants << ',' << seed << ','
                        << one.jobs_per_second << ',' << one.interval_ms << ',' << one.loss << ','
                        << result.agree_p50_ms << ',' << result.agree_p99_ms << ',' << result.bytes_per_second
                        << ',' << result.memory_bytes << ',' << result.cpu_us_per_update << std::endl;
                }
            }
        }
    }
    return 0;
}

// ------------------------------------------------------------------------------------------------ plots

double median(std::vector<double> values) {
    std::ranges::sort(values);
    return values.empty() ? 0 : values[values.size() / 2];
}

// One curve a way, over the number of instances, at one number of tenants; each point the median over the
// seeds.
// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
std::string script(const std::vector<CsvRow>& rows, const std::string& figure, const std::string& title,
                   const std::string& unit, double scale, double least, const std::string& tenants,
                   const std::string& file) {
    const std::vector<std::pair<std::string, std::string>> ways{{"push-all", "full state to all"},
                                                                {"push-one", "full state to one at random"},
                                                                {"ours", "ours"},
                                                                {"floor", "floor"}};
    std::ostringstream out;
    out << "set terminal svg size 860,440 font 'DejaVu Sans,12' background 'white'\nset output '" << file
        << "'\nset title '" << title << ", " << tenants
        << " tenants'\nset logscale xy\nset xlabel 'instances'\n"
        << "set ylabel '" << unit
        << "'\nset grid\nset key outside right top\nset xtics (5, 50, 500)\nset xrange [4:650]\n"
        << "set format y '%g'\nset yrange [" << least << ":]\n";
    std::ostringstream curves;
    for (const auto& [way, label] : ways) {
        std::map<double, std::vector<double>> points;
        for (const CsvRow& row : rows) {
            if (row.at("way") == way && row.at("tenants") == tenants)
                points[std::stod(row.at("instances"))].push_back(std::stod(row.at(figure)) * scale);
        }
        if (points.empty()) continue;
        std::string name = way;
        std::ranges::replace(name, '-', '_');
        out << "$" << name << " << E\n";
        for (const auto& [instances, values] : points)
            out << instances << ' ' << median(values) << '\n';
        out << "E\n";
        curves << (curves.tellp() > 0 ? ", " : "plot ") << "$" << name
               << " with linespoints linewidth 2 pointtype 7 " << (way == "floor" ? "dashtype 2 " : "")
               << "title '" << label << "'";
    }
    out << curves.str() << "\n";
    return out.str();
}

int plot(const std::string& csv, const std::string& folder, const std::string& tenants) {
    const std::vector<CsvRow> rows = read_csv(csv);
    if (rows.empty() || !rows.front().contains("agree_p99_ms")) {
        std::cerr << csv << " is no result of `willowrill-lab counts`\n";
        return 1;
    }
    const std::string all = script(rows, "bytes_per_second", "Sent by an instance", "kB/s", 0.001, 1, tenants,
                                   folder + "/counts-bytes.svg") +
                            "reset\n" +
                            script(rows, "agree_p99_ms", "Time until 99% of instances know", "ms", 1, 5,
                                   tenants, folder + "/counts-time.svg");
    return draw(all) ? 0 : 1;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
int command_line(int count, char** arguments) {
    CLI::App app(
        "willowrill-lab, the laboratory: what a change does, also at sizes that no machine here has.");
    app.require_subcommand(1);
    CountsOptions options;
    CLI::App* counts_command =
        app.add_subcommand("counts", "shared counts in virtual time, beside two simple ways and the floor");
    counts_command->add_option("--instances", options.instances, "sizes of the fleet")
        ->delimiter(',')
        ->capture_default_str();
    counts_command->add_option("--tenants", options.tenants, "numbers of tenants")
        ->delimiter(',')
        ->capture_default_str();
    counts_command->add_option("--seeds", options.seeds, "runs of each, seeds 1 to this")
        ->capture_default_str();
    counts_command->add_option("--jobs", options.base.jobs_per_second, "jobs a second at each instance")
        ->capture_default_str();
    counts_command->add_option("--seconds", options.base.seconds, "measured, after as many to warm up")
        ->capture_default_str();
    counts_command->add_option("--interval-ms", options.base.interval_ms, "between an instance's exchanges")
        ->capture_default_str();
    counts_command->add_option("--loss", options.base.loss, "share of datagrams lost")
        ->check(CLI::Range(0.0, 0.9))
        ->capture_default_str();
    counts_command->add_option("--out", options.out, "the table, CSV")->capture_default_str();
    std::string csv = "counts.csv", folder = ".", tenants = "1000";
    CLI::App* plot_command = app.add_subcommand("plot-counts", "plots of such a table, SVG, by gnuplot");
    plot_command->add_option("--in", csv, "the table")->capture_default_str();
    plot_command->add_option("--out", folder, "the folder")->capture_default_str();
    plot_command->add_option("--tenants", tenants, "the number of tenants shown")->capture_default_str();
    LiveCase live;
    std::string live_csv = "live.csv";
    CLI::App* live_command = app.add_subcommand(
        "live",
        "real schedulers on loopback behind a network that loses datagrams; one is cut off for a time");
    live_command->add_option("--program", live.program, "willowrilld")->required();
    live_command->add_option("--instances", live.instances, "how many")->capture_default_str();
    live_command->add_option("--loss", live.loss, "share of datagrams lost")
        ->check(CLI::Range(0.0, 0.9))
        ->capture_default_str();
    live_command->add_option("--jobs", live.jobs_per_second, "jobs a second, all together")
        ->capture_default_str();
    live_command->add_option("--seconds", live.seconds, "of load before the cut, and after it")
        ->capture_default_str();
    live_command->add_option("--cut", live.cut_seconds, "seconds for which one is cut off")
        ->capture_default_str();
    live_command->add_option("--seed", live.seed, "of the network's losses")->capture_default_str();
    live_command->add_option("--out", live_csv, "the table, CSV")->capture_default_str();
    SpreadOptions spread;
    CLI::App* spread_command = app.add_subcommand(
        "spread", "many schedulers that each see little, under faults, in virtual time, beside simple ways");
    spread_command->add_option("files", spread.files, "experiments, YAML (bench/spread/)")->required();
    spread_command->add_option("--ways", spread.ways, "module, random, two-choices, oracle")
        ->delimiter(',')
        ->capture_default_str();
    spread_command->add_option("--schedulers", spread.schedulers, "in place of the files'")->delimiter(',');
    spread_command->add_option("--workers", spread.workers, "in place of the files'")->delimiter(',');
    spread_command->add_option("--seeds", spread.seeds, "runs of each, seeds 1 to this")
        ->capture_default_str();
    spread_command->add_option("--program", spread.program,
                               "willowrilld: real processes on loopback in place of virtual time");
    spread_command->add_option("--out", spread.out, "the table, CSV")->capture_default_str();
    CapacityOptions capacity;
    CLI::App* capacity_command = app.add_subcommand(
        "capacity",
        "slopes of a table of sizes (docs/results/scale.csv) and what they come to, Markdown and SVG");
    capacity_command->add_option("--in", capacity.in, "the table")->capture_default_str();
    capacity_command->add_option("--out", capacity.folder, "the folder")->capture_default_str();
    capacity_command->add_option("--schedulers", capacity.schedulers, "at which size")->capture_default_str();
    capacity_command->add_option("--workers", capacity.workers, "at which size")->capture_default_str();
    CLI11_PARSE(app, count, arguments);
    if (capacity_command->parsed()) return run(capacity);
    if (spread_command->parsed()) {
        Progress progress;
        return run(spread, [&](const std::string& at) { progress.say(at); });
    }
    if (live_command->parsed()) {
        std::ofstream csv(live_csv);
        Progress progress;
        return run(live, csv, [&](const std::string& at) { progress.say(at); }) ? 0 : 1;
    }
    return counts_command->parsed() ? counts(options) : plot(csv, folder, tenants);
}

} // namespace
} // namespace willowrill::lab

int main(int count, char** arguments) {
    try {
        return willowrill::lab::command_line(count, arguments);
    } catch (const std::exception& error) {
        std::cerr << "willowrill-lab: " << error.what() << '\n';
        return 1;
    }
}
