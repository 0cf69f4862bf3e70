#include "system/routing/prompt.h"

#include <algorithm>
#include <charconv>

namespace willowrill::routing {
namespace {

constexpr std::uint64_t max_tokens = 1U << 30U; // a client may claim anything

std::uint64_t parse_tokens(std::string_view text) {
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return std::min(out, max_tokens);
}

} // namespace

Prompt parse_prompt(std::string_view prompt_prefix, std::string_view token_count) {
    Prompt out;
    const std::size_t comma = token_count.find(',');
    out.input_tokens = parse_tokens(token_count.substr(0, comma));
    out.tokens = out.input_tokens;
    if (comma != std::string_view::npos) out.tokens += parse_tokens(token_count.substr(comma + 1));
    for (std::size_t end = prompt_prefix.find(','); end != std::string_view::npos;
         end = prompt_prefix.find(',')) {
        const std::string_view part = prompt_prefix.substr(0, end);
        prompt_prefix.remove_prefix(end + 1);
        const std::size_t colon = part.find(':');
        out.shared_key = std::string(part.substr(0, colon));
        if (colon != std::string_view::npos) out.shared_tokens += parse_tokens(part.substr(colon + 1));
    }
    return out;
}

} // namespace willowrill::routing
