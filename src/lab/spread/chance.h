// What an experiment draws: the same for a seed, in virtual time and with real processes.
#pragma once

#include "scheduler/load_estimates/learn.h"

#include <pcg_random.hpp>

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numbers>

namespace willowrill::lab::spread {

using load_estimates::mix64, load_estimates::seconds, load_estimates::from_seconds;

// Whether a fault hits this one of many: the same for a whole run.
inline bool chosen(std::uint64_t seed, std::size_t which, double share, std::uint64_t salt) {
    return load_estimates::to_unit_interval(mix64(mix64(which + 1) ^ mix64(seed * 1000 + salt))) < share;
}

class Chance {
  public:
    explicit Chance(std::uint64_t seed) : random_(mix64(seed + 1)) {}

    double uniform() { return (static_cast<double>(random_()) + 0.5) / 4294967296.0; } // from 0 to 1
    std::size_t below(std::size_t count) { return random_() % count; }
    std::chrono::nanoseconds wait(double per_s) { // until the next of so many a second (Poisson)
        return std::chrono::nanoseconds(static_cast<std::int64_t>(-std::log(uniform()) / per_s * 1e9));
    }
    double work(double mean_s, double spread) { // log-normal; `spread`: standard deviation over mean
        const double variance = std::log(1 + spread * spread);
        const double normal =
            std::sqrt(-2 * std::log(uniform())) * std::cos(2 * std::numbers::pi * uniform());
        return mean_s * std::exp(std::sqrt(variance) * normal - variance / 2);
    }

  private:
    pcg32 random_;
};

} // namespace willowrill::lab::spread
