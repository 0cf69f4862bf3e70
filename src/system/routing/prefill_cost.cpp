#include "system/routing/prefill_cost.h"

namespace willowrill::routing {
namespace {

constexpr int min_samples = 8;            // responses required before an estimate is given
constexpr double smoothing_factor = 0.05; // weight of the newest value in the moving averages

void update_average(double& average, double value, bool is_first) {
    average = is_first ? value : average + smoothing_factor * (value - average);
}

} // namespace

void PrefillCost::record_dispatch(std::uint64_t tokens) {
    update_average(dispatched_tokens_, static_cast<double>(tokens), dispatched_tokens_ == 0);
}

void PrefillCost::record_response_start(std::chrono::milliseconds wait, std::uint64_t tokens) {
    if (tokens == 0) return;
    update_average(wait_ms_, static_cast<double>(wait.count()), sample_count_ == 0);
    update_average(prefilled_tokens_, static_cast<double>(tokens), sample_count_ == 0);
    if (sample_count_ < min_samples) ++sample_count_;
}

double PrefillCost::ms_per_token() const {
    if (sample_count_ < min_samples || prefilled_tokens_ <= 0) return 0;
    return wait_ms_ / prefilled_tokens_;
}

double PrefillCost::estimate_ms(std::uint64_t tokens) const {
    return static_cast<double>(tokens) * ms_per_token();
}

double PrefillCost::mean_request_ms() const { return dispatched_tokens_ * ms_per_token(); }

} // namespace willowrill::routing
