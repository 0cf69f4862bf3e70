// Parses the headers in which a model request describes its prompt.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::routing {

// Description of a prompt. Part of it may be a prefix that other requests share and that a worker can cache.
struct Prompt {
    std::string shared_prefix_id;    // id of the last shared part; empty if no part is shared
    std::uint64_t shared_tokens = 0; // in all shared parts
    std::uint64_t input_tokens = 0;  // in the whole prompt
    std::uint64_t total_tokens = 0;  // in the whole prompt, plus the maximum number of generated tokens
};

// Parses `Prompt-Prefix` ("ID:TOKENS,...", where the last part belongs to this request alone) and
// `Token-Count` ("IN,OUT"). The headers are untrusted client input: malformed numbers count as 0.
Prompt parse_prompt(std::string_view prompt_prefix, std::string_view token_count);

} // namespace willowrill::routing
