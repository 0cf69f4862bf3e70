// What a model request says of its prompt, in its headers. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::routing {

struct Prompt {
    std::string shared_key;          // the deepest part that others may share, empty where there is none
    std::uint64_t shared_tokens = 0; // of all parts that may be shared
    std::uint64_t input_tokens = 0;  // of the whole prompt
    std::uint64_t tokens = 0;        // of the whole prompt, and the most that may be generated
};

// Parses `Prompt-Prefix` ("ID:TOKENS,...", the last part the request's own) and `Token-Count` ("IN,OUT").
// Clients may write anything there: what makes no sense counts as nothing.
Prompt parse_prompt(std::string_view prompt_prefix, std::string_view token_count);

} // namespace willowrill::routing
