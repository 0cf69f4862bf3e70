// How long jobs run, learnt from answers: a quantile with its uncertainty, by class, width and kind of
// worker. Pure. A mean would do for neither use of it: a reservation asks when slots will *surely* be free, a
// backfill how long a small job may *well* take.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace willowrill::room {

using Duration = std::chrono::nanoseconds;

struct Estimate {
    Duration value{0};        // of the quantile asked for
    Duration low{0}, high{0}; // within which that quantile lies, with the confidence of `RunTimes`
    double samples = 0; // as many count, old ones less; 0: nothing is known, and the values are the prior's
};

class RunTimes {
  public:
    // `priors`: by class, what to expect while nothing is known, such as its aim. Kinds beyond `kinds` share
    // the last place. `half_life`: samples of a cell after which an older one counts for half.
    RunTimes(std::vector<Duration> priors, std::size_t kinds, double half_life = 200);

    void add(std::size_t job_class, double slots, std::size_t kind, Duration ran);
    // From the narrowest of these that has enough samples: the cell itself, the class at that kind, the
    // class.
    Estimate quantile(std::size_t job_class, double slots, std::size_t kind, double share) const;
    // That a job which has run for `so_far` is over after `more`: the share of those that ran as long.
    double over_within(std::size_t job_class, double slots, std::size_t kind, Duration so_far,
                       Duration more) const;

    std::size_t bytes() const { return cells_.size() * sizeof(Cell); }

    static constexpr double enough = 12;          // samples
    static constexpr double confidence_z = 1.645; // 90%, both sides together

  private:
    // Bins of 12% from 1 ms on; the last is open.
    static constexpr std::size_t bins = 128;
    static constexpr std::size_t widths = 4; // 1, 2, up to 4, more
    struct Cell {
        std::array<float, bins> weight{};
        float sum = 0;
    };

    static std::size_t bin_of(Duration span);
    static Duration upper_edge(std::size_t bin);
    static std::size_t width_of(double slots);
    std::size_t place(std::size_t job_class, std::size_t width, std::size_t kind) const; // of the cell
    const Cell* best(std::size_t job_class, double slots, std::size_t kind) const;
    void add_to(Cell& cell, std::size_t bin);

    std::vector<Duration> priors_;
    std::size_t kinds_;
    float fade_;
    // By class: each width and kind, then all widths of each kind, then all.
    std::vector<Cell> cells_;
};

} // namespace willowrill::room
