// Times and sizes gathered over a run, and their quantiles to within one per cent.
#pragma once

#include <boost/histogram.hpp>

#include <cmath>
#include <cstddef>
#include <utility>

namespace willowrill::lab {

class Quantiles {
  public:
    Quantiles(double least, double most)
        : histogram_(boost::histogram::make_histogram(Axis(bins(least, most), least, most))) {}

    void add(double value) {
        histogram_(value);
        ++count_;
    }
    std::size_t count() const { return count_; }
    double at(double share) const { // the upper edge of the bin that it falls in; 0 where there is nothing
        if (count_ == 0) return 0;
        const double wanted = share * static_cast<double>(count_);
        double sum = histogram_.at(-1); // below the least
        const auto& axis = histogram_.axis(0);
        if (sum >= wanted) return axis.bin(0).lower();
        for (int i = 0; i < axis.size(); ++i) {
            sum += histogram_.at(i);
            if (sum >= wanted) return axis.bin(i).upper();
        }
        return axis.bin(axis.size() - 1).upper();
    }

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static unsigned bins(double least, double most) {
        return static_cast<unsigned>(std::log(most / least) / std::log(1.01)) + 1;
    }
    decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram_;
    std::size_t count_ = 0;
};

} // namespace willowrill::lab
