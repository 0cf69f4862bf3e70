#include "system/routing/prompt.h"

#include <algorithm>
#include <charconv>

namespace willowrill::routing {
namespace {

constexpr std::uint64_t max_tokens = 1U << 30U; // the headers are client input and may hold any number

std::uint64_t parse_token_count(std::string_view text) {
    std::uint64_t tokens = 0;
    std::from_chars(text.data(), text.data() + text.size(), tokens);
    return std::min(tokens, max_tokens);
}

} // namespace

Prompt parse_prompt(std::string_view prompt_prefix, std::string_view token_count) {
    Prompt prompt;
    const std::size_t comma = token_count.find(',');
    prompt.input_tokens = parse_token_count(token_count.substr(0, comma));
    prompt.total_tokens = prompt.input_tokens;
    if (comma != std::string_view::npos)
        prompt.total_tokens += parse_token_count(token_count.substr(comma + 1));
    for (std::size_t end = prompt_prefix.find(','); end != std::string_view::npos;
         end = prompt_prefix.find(',')) {
        const std::string_view part = prompt_prefix.substr(0, end);
        prompt_prefix.remove_prefix(end + 1);
        const std::size_t colon = part.find(':');
        prompt.shared_prefix_id = std::string(part.substr(0, colon));
        if (colon != std::string_view::npos)
            prompt.shared_tokens += parse_token_count(part.substr(colon + 1));
    }
    return prompt;
}

} // namespace willowrill::routing
