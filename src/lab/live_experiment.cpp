#include "lab/live_experiment.h"

#include "lab/fleet.h"
#include "lab/folder.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;

double seconds(net::Duration span) { return std::chrono::duration<double>(span).count(); }

class Live {
  public:
    Live(const LiveCase& one, std::ostream& csv, const std::function<void(const std::string&)>& progress)
        : case_(one), csv_(csv), progress_(progress) {
        fleet_ = std::make_unique<LiveFleet>(loop_, LiveFleet::Options{.program = one.program,
                                                                       .folder = folder_.path,
                                                                       .seed = one.seed,
                                                                       .interval = "250ms",
                                                                       .fold_after = "1h"});
        fleet_->proxy().loss = one.loss;
        fleet_->proxy().delay_most =
            std::chrono::microseconds(static_cast<std::int64_t>(one.delay_most_ms * 1000));
    }

    bool run() {
        progress_("starting");
        for (std::size_t i = 0; i < case_.instances; ++i)
            fleet_->start(i);
        for (std::size_t i = 0; i < case_.instances; ++i)
            wait([&] { return fleet_->ready(i); }, 30s);
        wait([&] { return all_members(); }, 30s);
        csv_ << "phase,seconds,instance,truth,low,estimate,high,low_off_percent\n";
        phase("load", case_.seconds, true);
        phase("settle", 5, false);
        const std::size_t cut = case_.instances - 1;
        fleet_->proxy().cut_off(cut, true);
        phase("cut", case_.cut_seconds, true);
        fleet_->proxy().cut_off(cut, false);
        phase("back", 5, false);
        phase("load-again", case_.seconds, true);
        phase("settle-again", 5, false);
        csv_ << "# within 2% after the load's end in " << near_["settle"] << " s, after the cut in "
             << near_["back"] << " s; words against the bounds: " << wrong_ << "\n";
        std::cerr << "\nwithin 2% after the load's end in " << near_["settle"] << " s, after the cut in "
                  << near_["back"] << " s; words against the bounds: " << wrong_ << "\n";
        return wrong_ == 0;
    }

  private:
    template <class Done> void wait(Done done, net::Duration at_most) {
        const net::Time end = loop_.now() + at_most;
        while (!done()) {
            if (loop_.now() > end) throw std::runtime_error("the schedulers do not come up");
            loop_.run_once(5ms);
        }
    }
    bool all_members() {
        for (std::size_t i = 0; i < case_.instances; ++i) {
            const std::string text = fleet_->ask(i, "/_members");
            std::size_t alive = 0;
            for (std::size_t at = text.find("\"alive\""); at != std::string::npos;
                 at = text.find("\"alive\"", at + 1))
                ++alive;
            if (alive < case_.instances) return false;
        }
        return true;
    }
    // The truth is counted when a client has its answer, which is after its scheduler has counted: what lies
    // between makes low more than the truth for a moment, so jobs on their way are allowed for.
    // NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): see ROADMAP
    void phase(const std::string& name, double length, bool load) {
        progress_(name);
        const net::Time begin = loop_.now();
        double owed = 0;
        net::Time last = begin, look = begin;
        bool was_near = true;
        double near_since = 0;
        while (seconds(loop_.now() - begin) < length) {
            loop_.run_once(5ms);
            owed += load ? case_.jobs_per_second * seconds(loop_.now() - last) : 0;
            last = loop_.now();
            for (; owed >= 1; owed -= 1, ++sent_)
                fleet_->send(sent_ % case_.instances, sent_ % 3 == 0 ? "a" : sent_ % 3 == 1 ? "b" : "c");
            if (loop_.now() < look) continue;
            look += 100ms;
            bool near = true;
            for (std::size_t i = 0; i < case_.instances; ++i) {
                const std::uint64_t before = truth();
                Told sum;
                for (const auto& [tenant, told] : fleet_->told(i)) {
                    sum.low += told.low;
                    sum.estimate += told.estimate;
                    sum.high += told.high;
                }
                const std::uint64_t after = truth() + fleet_->waiting();
                wrong_ += sum.low > after || sum.high < before ? 1 : 0;
                const double off = before == 0
                                       ? 0
                                       : 100 * (static_cast<double>(before) - static_cast<double>(sum.low)) /
                                             static_cast<double>(before);
                near = near && off <= 2;
                csv_ << name << ',' << seconds(loop_.now() - begin) << ',' << i << ',' << before << ','
                     << sum.low << ',' << sum.estimate << ',' << sum.high << ',' << off << '\n';
            }
            if (near && !was_near) near_since = seconds(loop_.now() - begin);
            was_near = near;
        }
        near_[name] = was_near ? near_since : -1;
    }
    std::uint64_t truth() {
        std::uint64_t out = 0;
        for (const char* tenant : {"a", "b", "c"})
            out += fleet_->truth(tenant);
        return out;
    }

    const LiveCase& case_;
    std::ostream& csv_;
    const std::function<void(const std::string&)>& progress_;
    net::Loop loop_;
    const Folder folder_;
    std::unique_ptr<LiveFleet> fleet_;
    std::size_t sent_ = 0;
    std::uint64_t wrong_ = 0;
    std::map<std::string, double> near_; // by phase: from when on all were within 2%; -1: not at its end
};

} // namespace

bool run(const LiveCase& one, std::ostream& csv, const std::function<void(const std::string&)>& progress) {
    return Live(one, csv, progress).run();
}

} // namespace willowrill::lab
