// willowrill-check: searches for broken promises of the control plane, at sizes that CI has no time for.
#include "system/simulation/cluster.h"
#include "system/simulation/plans.h"
#include "system/verification/histories.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace willowrill::verification {
namespace {

using simulation::Plan;

struct HistoriesOptions {
    std::vector<std::string> plans; // names; empty for all
    std::uint64_t first_seed = 1;
    std::size_t count = 1000;
    std::size_t threads = std::max(1U, std::thread::hardware_concurrency());
    bool trace = false;
};

// Writes to standard error how far the search is, at most once in ten seconds.
class Progress {
  public:
    explicit Progress(std::string what) : what_(std::move(what)) {}

    void report(std::size_t done, std::size_t all) {
        const auto now = std::chrono::steady_clock::now();
        if (now - reported_at_ < std::chrono::seconds(10)) return;
        reported_at_ = now;
        const double seconds = std::chrono::duration<double>(now - began_at_).count();
        fmt::print(stderr, "{}: {} of {}, {:.0f} a second\n", what_, done, all,
                   static_cast<double>(done) / seconds);
    }

  private:
    std::string what_;
    std::chrono::steady_clock::time_point began_at_ = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point reported_at_ = began_at_;
};

void print_summary(const Plan& plan, const HistoriesOptions& options, const HistoriesSummary& summary) {
    fmt::print("| {} ({}) | {} | {} to {} | {} | {} | {} | {} | {:.1f} | {} |\n", plan.name, plan.description,
               summary.histories, options.first_seed, options.first_seed + options.count - 1, summary.faults,
               summary.epochs, summary.states, summary.acknowledged,
               std::chrono::duration<double>(summary.max_back_after).count(), summary.broken.size());
    for (const BrokenHistory& broken : summary.broken)
        fmt::print("  broken: {} seed {}: {}\n", plan.name, broken.seed, broken.violation);
    std::fflush(stdout);
}

// The exit code: 0 where no promise was broken.
int histories(const HistoriesOptions& options) {
    for (const std::string& name : options.plans)
        if (!simulation::find_plan(name)) {
            fmt::print(stderr, "willowrill-check: there is no plan {}; the command \"plans\" names them\n",
                       name);
            return 2;
        }
    fmt::print(
        "| plan | histories | seeds | faults | epochs in force | distinct states | orders acknowledged | "
        "longest recovery, s | broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    std::size_t broken = 0;
    for (const Plan& plan : simulation::plans()) {
        if (!options.plans.empty() && std::ranges::find(options.plans, plan.name) == options.plans.end())
            continue;
        simulation::Scenario scenario = plan.scenario;
        scenario.trace = options.trace;
        Progress progress{std::string(plan.name)};
        const HistoriesSummary summary =
            play_histories(scenario, options.first_seed, options.count, options.threads,
                           [&](std::size_t played) { progress.report(played, options.count); });
        print_summary(plan, options, summary);
        broken += summary.broken.size();
    }
    return broken == 0 ? 0 : 1;
}

int list_plans() {
    for (const Plan& plan : simulation::plans())
        fmt::print("{}: {}\n", plan.name, plan.description);
    return 0;
}

int run(int argc, char** argv) {
    CLI::App app{"Searches for broken promises of the control plane."};
    app.require_subcommand(1);
    HistoriesOptions options;
    CLI::App* command = app.add_subcommand("histories", "Plays random histories of the simulated core.");
    command->add_option("--plan", options.plans, "names of plans; all where none is given");
    command->add_option("--first-seed", options.first_seed, "the first seed")->capture_default_str();
    command->add_option("--count", options.count, "histories of each plan")->capture_default_str();
    command->add_option("--threads", options.threads)->capture_default_str();
    command->add_flag("--trace", options.trace, "write faults and changes of role to standard error");
    CLI::App* list = app.add_subcommand("plans", "Lists the plans.");
    CLI11_PARSE(app, argc, argv);
    if (list->parsed()) return list_plans();
    return histories(options);
}

} // namespace
} // namespace willowrill::verification

int main(int argc, char** argv) {
    try {
        return willowrill::verification::run(argc, argv);
    } catch (const std::exception& error) {
        fmt::print(stderr, "willowrill-check: {}\n", error.what());
        return 2;
    }
}
