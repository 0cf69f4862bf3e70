// How long a model's workers take to prefill prompts, learned from responses of workers at which nothing else
// waited. Pure; one thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace willowrill::routing {

class PrefillCost {
  public:
    // A request with so many prompt tokens to prefill was sent.
    void record_dispatch(std::uint64_t tokens);
    // A request that nothing waited before began its response after `wait`.
    void record_response_start(std::chrono::milliseconds wait, std::uint64_t tokens);

    // The cost in milliseconds of so many prompt tokens; 0 until enough responses were seen.
    double milliseconds(std::uint64_t tokens) const;
    // The cost in milliseconds of the average request sent; 0 likewise.
    double mean_milliseconds() const;

  private:
    double milliseconds_per_token() const;

    int answers_ = 0; // counted up to the number that is enough
    // Moving averages; the cost of a token is the ratio of the first two.
    double wait_ms_ = 0;
    double prefilled_tokens_ = 0;
    double sent_tokens_ = 0;
};

} // namespace willowrill::routing
