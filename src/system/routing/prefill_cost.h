// How long a model's workers take to read prompts, learned from answers of workers at which nothing else
// waited. Pure.
#pragma once

#include <chrono>
#include <cstdint>

namespace willowrill::routing {

class PrefillCost {
  public:
    // A request with so many prompt tokens to be read was sent.
    void note_dispatch(std::uint64_t tokens);
    // One that nothing waited before began its answer after so long.
    void note_answer(std::chrono::milliseconds wait, std::uint64_t tokens);

    // Of a prompt with so many tokens to be read; 0 until enough answers were seen.
    double milliseconds(std::uint64_t tokens) const;
    // Of a request as they come; 0 likewise.
    double mean_milliseconds() const;

  private:
    double per_token() const;

    int answers_ = 0;
    // Moving averages; the cost of a token is the ratio of the first two.
    double wait_ms_ = 0;
    double read_tokens_ = 0;
    double sent_tokens_ = 0;
};

} // namespace willowrill::routing
