#include "system/routing/prefill_cost.h"

namespace willowrill::routing {
namespace {

constexpr int enough_answers = 8;
constexpr double weight_of_newest = 0.05;

void move(double& average, double value, bool first) {
    average = first ? value : average + weight_of_newest * (value - average);
}

} // namespace

void PrefillCost::note_dispatch(std::uint64_t tokens) {
    move(sent_tokens_, static_cast<double>(tokens), sent_tokens_ == 0);
}

void PrefillCost::note_answer(std::chrono::milliseconds wait, std::uint64_t tokens) {
    if (tokens == 0) return;
    move(wait_ms_, static_cast<double>(wait.count()), answers_ == 0);
    move(read_tokens_, static_cast<double>(tokens), answers_ == 0);
    if (answers_ < enough_answers) ++answers_;
}

double PrefillCost::per_token() const {
    return answers_ < enough_answers || read_tokens_ <= 0 ? 0 : wait_ms_ / read_tokens_;
}

double PrefillCost::milliseconds(std::uint64_t tokens) const {
    return static_cast<double>(tokens) * per_token();
}

double PrefillCost::mean_milliseconds() const { return sent_tokens_ * per_token(); }

} // namespace willowrill::routing
