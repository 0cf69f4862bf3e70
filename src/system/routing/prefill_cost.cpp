#include "system/routing/prefill_cost.h"

namespace willowrill::routing {
namespace {

constexpr int min_answers = 8;
constexpr double newest_weight = 0.05;

void update_average(double& average, double value, bool first) {
    average = first ? value : average + newest_weight * (value - average);
}

} // namespace

void PrefillCost::record_dispatch(std::uint64_t tokens) {
    update_average(sent_tokens_, static_cast<double>(tokens), sent_tokens_ == 0);
}

void PrefillCost::record_response_start(std::chrono::milliseconds wait, std::uint64_t tokens) {
    if (tokens == 0) return;
    update_average(wait_ms_, static_cast<double>(wait.count()), answers_ == 0);
    update_average(prefilled_tokens_, static_cast<double>(tokens), answers_ == 0);
    if (answers_ < min_answers) ++answers_;
}

double PrefillCost::milliseconds_per_token() const {
    if (answers_ < min_answers || prefilled_tokens_ <= 0) return 0;
    return wait_ms_ / prefilled_tokens_;
}

double PrefillCost::milliseconds(std::uint64_t tokens) const {
    return static_cast<double>(tokens) * milliseconds_per_token();
}

double PrefillCost::mean_milliseconds() const { return sent_tokens_ * milliseconds_per_token(); }

} // namespace willowrill::routing
