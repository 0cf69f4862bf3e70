// willowrill-check: searches for broken promises of the control plane, at sizes that CI has no time for.
#include "system/simulation/cluster.h"
#include "system/simulation/plans.h"
#include "system/verification/explorer.h"
#include "system/verification/histories.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
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

struct ExploreOptions {
    ExplorationOptions exploration;
    std::vector<std::string> kinds;
    std::string broken; // a deliberate break
    bool between_ticks = false;
};

const std::map<std::string, bool Breaks::*>& breaks_by_name() {
    static const std::map<std::string, bool Breaks::*> names{
        {"forgets-registers", &Breaks::forgets_registers},
        {"hides-failures", &Breaks::hides_failures},
        {"answers-for-others", &Breaks::answers_for_others},
        {"unconfirmed-reads", &Breaks::unconfirmed_reads},
        {"forgets-orders", &Breaks::forgets_orders},
        {"always-current", &Breaks::always_current},
        {"reuses-tokens", &Breaks::reuses_tokens}};
    return names;
}

const std::map<std::string, StepKind>& kinds_by_name() {
    static const std::map<std::string, StepKind> names{{"lose", StepKind::lose},
                                                       {"deliver-later", StepKind::deliver_later},
                                                       {"overtake", StepKind::overtake},
                                                       {"kill", StepKind::kill},
                                                       {"lose-power", StepKind::lose_power},
                                                       {"wipe", StepKind::wipe},
                                                       {"refuse-save", StepKind::refuse_save},
                                                       {"refuse-written", StepKind::refuse_written},
                                                       {"slow-disk", StepKind::slow_disk},
                                                       {"cut", StepKind::cut},
                                                       {"mute", StepKind::mute},
                                                       {"freeze", StepKind::freeze}};
    return names;
}

// Peak memory of this process, in MiB.
long peak_memory() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss / 1024;
}

void print_result(const ExplorationOptions& options, const ExplorationResult& result, double seconds) {
    fmt::print("at most {} disturbances, {}, up to tick {}: {} histories ({} merged), {} distinct states, {} "
               "steps, depth {}, {:.0f} s, {:.0f} states a second, {} MiB\n",
               options.max_disturbances,
               options.granularity == Granularity::every_step ? "before every step" : "between ticks",
               options.last_disturbance_tick, result.histories, result.merged, result.states, result.steps,
               result.depth, seconds, static_cast<double>(result.states) / std::max(seconds, 0.001),
               peak_memory());
    if (!result.counterexample) return;
    fmt::print("broken after {} steps: {}\n", result.counterexample->steps, result.counterexample->violation);
    for (const std::string& line : trace_of(options, result.counterexample->disturbances))
        fmt::print("  {}\n", line);
}

int explore_command(ExploreOptions options) {
    for (const std::string& name : options.kinds)
        options.exploration.kinds.insert(kinds_by_name().at(name));
    if (!options.broken.empty()) options.exploration.breaks.*breaks_by_name().at(options.broken) = true;
    if (options.between_ticks) options.exploration.granularity = Granularity::every_tick;
    const auto began_at = std::chrono::steady_clock::now();
    const auto seconds = [&] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_at).count();
    };
    auto reported_at = began_at;
    const auto report = [&](const ExplorationResult& so_far) {
        const auto now = std::chrono::steady_clock::now();
        if (now - reported_at < std::chrono::seconds(10)) return;
        reported_at = now;
        fmt::print(stderr, "{} histories, {} states, {:.0f} states a second, depth {}, {} MiB\n",
                   so_far.histories, so_far.states, static_cast<double>(so_far.states) / seconds(),
                   so_far.depth, peak_memory());
    };
    const ExplorationResult result = explore(options.exploration, report);
    print_result(options.exploration, result, seconds());
    return result.counterexample ? 1 : 0;
}

template <class Value> std::vector<std::string> names_of(const std::map<std::string, Value>& by_name) {
    std::vector<std::string> out;
    out.reserve(by_name.size());
    for (const auto& [name, value] : by_name)
        out.push_back(name);
    return out;
}

void add_explore(CLI::App& app, ExploreOptions& options) {
    CLI::App* command =
        app.add_subcommand("explore", "Plays all histories of four members with so many disturbances.");
    ExplorationOptions& exploration = options.exploration;
    exploration.threads = std::max(1U, std::thread::hardware_concurrency());
    command->add_option("--disturbances", exploration.max_disturbances, "at most so many in a history")
        ->capture_default_str();
    command->add_option("--kinds", options.kinds, "of disturbances; all where none is given")
        ->check(CLI::IsMember(names_of(kinds_by_name())));
    command->add_option("--last-tick", exploration.last_disturbance_tick, "after which none comes")
        ->capture_default_str();
    command->add_flag("--between-ticks", options.between_ticks, "not before every step");
    command->add_flag("--no-merging", exploration.follow_known_states, "follow known states again");
    command->add_option("--break", options.broken, "a deliberate break that is to be found")
        ->check(CLI::IsMember(names_of(breaks_by_name())));
    command->add_option("--threads", exploration.threads)->capture_default_str();
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
    ExploreOptions explore_options;
    add_explore(app, explore_options);
    CLI11_PARSE(app, argc, argv);
    if (app.got_subcommand("explore")) return explore_command(std::move(explore_options));
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
