#include "room/run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace willowrill::room {
namespace {

constexpr double least_s = 0.001, step = 1.12;

double seconds(Duration span) { return std::chrono::duration<double>(span).count(); }
Duration from_seconds(double span) { return Duration(static_cast<Duration::rep>(span * 1e9)); }

} // namespace

RunTimes::RunTimes(std::vector<Duration> priors, std::size_t kinds, double half_life)
    : priors_(std::move(priors)), kinds_(std::max<std::size_t>(kinds, 1)),
      fade_(static_cast<float>(std::exp2(-1 / std::max(half_life, 1.0)))),
      cells_(priors_.size() * (widths * kinds_ + kinds_ + 1)) {}

std::size_t RunTimes::bin_of(Duration span) {
    const double at = std::log(std::max(seconds(span), least_s) / least_s) / std::log(step);
    return std::min(static_cast<std::size_t>(at), bins - 1);
}

Duration RunTimes::upper_edge(std::size_t bin) {
    return from_seconds(least_s * std::pow(step, static_cast<double>(bin + 1)));
}

std::size_t RunTimes::width_of(double slots) { return slots <= 1 ? 0 : slots <= 2 ? 1 : slots <= 4 ? 2 : 3; }

// Width `widths`: all of them; kind `kinds_`: all of them, for all widths alone.
std::size_t RunTimes::place(std::size_t job_class, std::size_t width, std::size_t kind) const {
    const std::size_t begin = job_class * (widths * kinds_ + kinds_ + 1);
    return begin + (kind == kinds_ ? widths * kinds_ + kinds_ : width * kinds_ + kind);
}

// Old samples fade with each new one, so that what is slow today is not hidden by what was fast before.
void RunTimes::add_to(Cell& cell, std::size_t bin) {
    for (float& weight : cell.weight)
        weight *= fade_;
    cell.weight[bin] += 1;
    cell.sum = cell.sum * fade_ + 1;
}

void RunTimes::add(std::size_t job_class, double slots, std::size_t kind, Duration ran) {
    if (job_class >= priors_.size()) return;
    kind = std::min(kind, kinds_ - 1);
    const std::size_t bin = bin_of(ran);
    for (const auto& [width, at] :
         {std::pair{width_of(slots), kind}, std::pair{widths, kind}, std::pair{widths, kinds_}})
        add_to(cells_[place(job_class, width, at)], bin);
}

const RunTimes::Cell* RunTimes::best(std::size_t job_class, double slots, std::size_t kind) const {
    if (job_class >= priors_.size()) return nullptr;
    kind = std::min(kind, kinds_ - 1);
    for (const auto& [width, at] :
         {std::pair{width_of(slots), kind}, std::pair{widths, kind}, std::pair{widths, kinds_}})
        if (const Cell& one = cells_[place(job_class, width, at)]; one.sum >= enough) return &one;
    const Cell& all = cells_[place(job_class, widths, kinds_)];
    return all.sum > 0 ? &all : nullptr;
}

Estimate RunTimes::quantile(std::size_t job_class, double slots, std::size_t kind, double share) const {
    const Cell* one = best(job_class, slots, kind);
    if (one == nullptr) {
        const Duration prior = job_class < priors_.size() ? priors_[job_class] : Duration(0);
        return {prior, Duration(0), 4 * prior, 0};
    }
    const auto bin_at = [&](double wanted) {
        double sum = 0;
        for (std::size_t bin = 0; bin < bins; ++bin)
            if ((sum += static_cast<double>(one->weight[bin])) >= wanted * static_cast<double>(one->sum))
                return bin;
        return bins - 1;
    };
    // Wilson's interval on the share says between which other quantiles this one lies.
    const double n = static_cast<double>(one->sum), z2 = confidence_z * confidence_z;
    const double middle = (share + z2 / (2 * n)) / (1 + z2 / n);
    const double half = confidence_z / (1 + z2 / n) * std::sqrt(share * (1 - share) / n + z2 / (4 * n * n));
    // The bin's lower edge below, its upper one above: what a bin does not tell is part of the uncertainty.
    const std::size_t low = bin_at(std::max(middle - half, 0.0));
    return {upper_edge(bin_at(share)), low == 0 ? Duration(0) : upper_edge(low - 1),
            upper_edge(bin_at(std::min(middle + half, 1.0))), n};
}

double RunTimes::over_within(std::size_t job_class, double slots, std::size_t kind, Duration so_far,
                             Duration more) const {
    const Cell* one = best(job_class, slots, kind);
    const std::size_t from = bin_of(so_far), to = bin_of(so_far + more);
    double longer = 0, over = 0;
    for (std::size_t bin = from; one != nullptr && bin < bins; ++bin) {
        longer += static_cast<double>(one->weight[bin]);
        if (bin < to) over += static_cast<double>(one->weight[bin]);
    }
    // None known ran as long: it has overrun, and nothing says that it will be over soon. Such times are
    // spread so widely that half of them double.
    if (longer < 0.5) return seconds(more) / std::max(1e-9, seconds(so_far + more));
    return over / longer;
}

} // namespace willowrill::room
