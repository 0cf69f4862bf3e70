#include "lab/spread/experiment.h"

#include "scheduler/net/file.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace willowrill::lab::spread {
namespace {

constexpr std::size_t max_bytes = 1U << 20U;
constexpr std::array<const char*, 11> fault_names{"kill",   "stop",      "cut",  "replace", "slow", "fail",
                                                  "freeze", "late_list", "hush", "restart", "burst"};

class Reader {
  public:
    explicit Reader(std::string file) : file_(std::move(file)) {}

    [[noreturn]] void bad(const YAML::Node& at, const std::string& what) const {
        throw BadExperiment(file_ + ", line " + std::to_string(at.Mark().line + 1) + ": " + what);
    }
    double number(const YAML::Node& at, double least, double most) const {
        double out = 0;
        const std::string text = scalar(at);
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
        if (error != std::errc() || end != text.data() + text.size() || !(out >= least && out <= most))
            bad(at, "'" + text + "' is no number from " + plain(least) + " to " + plain(most));
        return out;
    }
    std::size_t count(const YAML::Node& at, double least, double most) const {
        const double out = number(at, least, most);
        if (out != static_cast<double>(static_cast<std::size_t>(out))) bad(at, "is no whole number");
        return static_cast<std::size_t>(out);
    }
    // `250ms`, `1.5s`; up to a day.
    Time time(const YAML::Node& at) const {
        const std::string text = scalar(at);
        double out = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
        const std::string_view unit(end, text.data() + text.size());
        const double scale = unit == "s" ? 1e9 : unit == "ms" ? 1e6 : unit == "us" ? 1e3 : 0;
        if (error != std::errc() || scale == 0 || !(out >= 0 && out * scale <= 86400e9))
            bad(at, "'" + text + "' is no time such as 250ms or 1.5s");
        return Time(static_cast<Time::rep>(out * scale));
    }
    template <std::size_t n>
    std::size_t word(const YAML::Node& at, const std::array<const char*, n>& words) const {
        const std::string text = scalar(at);
        const auto found = std::ranges::find(words, text);
        if (found != words.end()) return static_cast<std::size_t>(found - words.begin());
        std::string all;
        for (const char* one : words)
            all += std::string(all.empty() ? "" : ", ") + one;
        bad(at, "'" + text + "' is none of " + all);
    }
    std::string scalar(const YAML::Node& at) const {
        if (!at.IsScalar()) bad(at, "a plain value is wanted");
        return at.Scalar();
    }
    using Keys = std::map<std::string, std::function<void(const YAML::Node&)>>;
    void each(const YAML::Node& at, const Keys& keys) const {
        if (!at.IsMap()) bad(at, "keys with values are wanted");
        std::vector<std::string> had;
        for (const auto& entry : at) {
            const std::string key = scalar(entry.first);
            const auto found = keys.find(key);
            if (found == keys.end()) bad(entry.first, "there is no key '" + key + "' here");
            if (std::ranges::count(had, key) > 0) bad(entry.first, "'" + key + "' comes twice");
            had.push_back(key);
            found->second(entry.second);
        }
    }

  private:
    static std::string plain(double value) {
        std::string out = std::to_string(value);
        out.erase(out.find_last_not_of('0') + 1);
        return out.ends_with('.') ? out.substr(0, out.size() - 1) : out;
    }
    std::string file_;
};

Fault read_fault(const Reader& in, const YAML::Node& node, Time lasts) {
    Fault out;
    bool has_what = false;
    in.each(node, {{"what",
                    [&](const YAML::Node& at) {
                        out.what = static_cast<Fault::What>(in.word(at, fault_names));
                        has_what = true;
                    }},
                   {"from", [&](const YAML::Node& at) { out.from = in.time(at); }},
                   {"to", [&](const YAML::Node& at) { out.to = in.time(at); }},
                   {"schedulers", [&](const YAML::Node& at) { out.schedulers = in.number(at, 0, 1); }},
                   {"workers", [&](const YAML::Node& at) { out.workers = in.number(at, 0, 1); }},
                   {"size", [&](const YAML::Node& at) { out.size = in.number(at, 0, 1000); }}});
    if (!has_what) in.bad(node, "a fault says what it is");
    if (out.to <= out.from || out.to > lasts)
        in.bad(node, "a fault ends after it begins, and within the run");
    using enum Fault::What;
    const bool of_both = out.what == cut;
    const bool of_schedulers = of_both || out.what == kill || out.what == stop || out.what == late_list ||
                               out.what == hush || out.what == restart || out.what == burst;
    const bool of_workers = of_both || !of_schedulers;
    if (of_schedulers && out.schedulers <= 0)
        in.bad(node, "it says which share of the schedulers it is about");
    if (of_workers && out.workers <= 0) in.bad(node, "it says which share of the workers it is about");
    if (out.what == slow && out.size <= 0) in.bad(node, "workers take more than 0 times as long");
    if (out.what == burst && !(out.size >= 1)) in.bad(node, "a burst is of 1 time as many jobs or more");
    return out;
}

} // namespace

const char* name_of(Fault::What what) { return fault_names.at(static_cast<std::size_t>(what)); }

Time Experiment::faults_begin() const {
    Time out = lasts;
    for (const Fault& one : faults)
        out = std::min(out, one.from);
    return out;
}

Time Experiment::faults_end() const {
    Time out{0};
    for (const Fault& one : faults)
        out = std::max(out, one.to);
    return faults.empty() ? lasts : out;
}

Experiment read_experiment_file(const std::string& path) {
    std::string why;
    const auto text = net::read_file(path, max_bytes, why);
    if (!text) throw BadExperiment(path + " " + why);
    return read_experiment(*text, path);
}

Experiment read_experiment(const std::string& text, const std::string& name_of_file) {
    const Reader in(name_of_file);
    YAML::Node all;
    try {
        all = YAML::Load(text);
    } catch (const YAML::Exception& error) {
        throw BadExperiment(name_of_file + ", line " + std::to_string(error.mark.line + 1) + ": " +
                            error.msg);
    }
    Experiment out;
    YAML::Node faults;
    constexpr std::array<const char*, 3> ways{"answers", "probes", "none"};
    const auto to = [&](Time& into) { return [&](const YAML::Node& at) { into = in.time(at); }; };
    const auto share = [&](double& into, double least, double most) {
        return [&into, &in, least, most](const YAML::Node& at) { into = in.number(at, least, most); };
    };
    const auto whole = [&](std::size_t& into, double least, double most) {
        return [&into, &in, least, most](const YAML::Node& at) { into = in.count(at, least, most); };
    };
    in.each(
        all,
        {{"name", [&](const YAML::Node& at) { out.name = in.scalar(at); }},
         {"seed", [&](const YAML::Node& at) { out.seed = in.count(at, 0, 9e15); }},
         {"schedulers", whole(out.schedulers, 1, 1000)},
         {"workers", whole(out.workers, 1, 10000)},
         {"zones", whole(out.zones, 1, 50)},
         {"slots", [&](const YAML::Node& at) { out.slots = static_cast<int>(in.count(at, 1, 1000)); }},
         {"queue", whole(out.queue, 0, 1e6)},
         {"load", share(out.load, 0.001, 10)},
         {"uneven", share(out.uneven, 1, 1000)},
         {"run", to(out.run)},
         {"run_spread", share(out.run_spread, 0, 10)},
         {"wanted", to(out.wanted)},
         {"limit", to(out.limit)},
         {"haste", share(out.haste, 0, 1)},
         {"reports", [&](const YAML::Node& at) { out.reports = static_cast<Reports>(in.word(at, ways)); }},
         {"report_every", to(out.report_every)},
         {"report_noise", share(out.report_noise, 0, 1)},
         {"delay", to(out.delay)},
         {"list_late", to(out.list_late)},
         {"cold", to(out.cold)},
         {"cold_capacity", share(out.cold_capacity, 0.01, 1)},
         {"warm_up", to(out.warm_up)},
         {"lasts", to(out.lasts)},
         {"faults", [&](const YAML::Node& at) { faults = at; }}});
    using namespace std::chrono_literals;
    if (out.run < 1ms) in.bad(all, "jobs run for 1ms at the least");
    if (out.limit < out.wanted) in.bad(all, "clients leave before the time they want an answer by");
    if (out.lasts <= out.warm_up) in.bad(all, "it lasts no longer than its warming up");
    if (!faults.IsDefined() || faults.IsNull()) return out;
    if (!faults.IsSequence()) in.bad(faults, "a list of faults is wanted");
    for (const YAML::Node& one : faults)
        out.faults.push_back(read_fault(in, one, out.lasts));
    return out;
}

} // namespace willowrill::lab::spread
