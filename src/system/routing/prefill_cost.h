// Estimates how long the workers of a model take to prefill prompts.
#pragma once

#include <chrono>
#include <cstdint>

namespace willowrill::routing {

// Learns the prefill time per prompt token from responses of workers that had no other request queued, so
// that the time to the start of the response contains no queueing. Not thread-safe.
class PrefillCost {
  public:
    // Records that a request with `tokens` prompt tokens to prefill was sent to a worker.
    void record_dispatch(std::uint64_t tokens);
    // Records that a response started `wait` after its request was sent to a worker with an empty queue.
    // `tokens`: prompt tokens that the worker had to prefill; a request with none is ignored.
    void record_response_start(std::chrono::milliseconds wait, std::uint64_t tokens);

    // Returns the estimated time in milliseconds to prefill `tokens` prompt tokens, or 0 until enough
    // responses have been recorded.
    double estimate_ms(std::uint64_t tokens) const;
    // Returns the estimated prefill time in milliseconds of an average dispatched request, or 0 until enough
    // responses have been recorded.
    double mean_request_ms() const;

  private:
    double ms_per_token() const;

    int sample_count_ = 0; // stops at the minimum number of samples
    // Exponentially weighted moving averages. The cost of a token is `wait_ms_` / `prefilled_tokens_`.
    double wait_ms_ = 0;
    double prefilled_tokens_ = 0;
    double dispatched_tokens_ = 0;
};

} // namespace willowrill::routing
