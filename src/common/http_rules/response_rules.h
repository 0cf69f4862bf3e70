// What HTTP says of every response by its status and by the method of its request, for statuses and methods
// that no table has too (RFC 9110; RFC 9112, section 6.3). Pure.
#pragma once

#include <string_view>

namespace willowrill::http_rules {

inline constexpr unsigned no_content = 204;
inline constexpr unsigned not_modified = 304;

constexpr bool is_interim(unsigned status) { return status < 200; }
constexpr bool is_success(unsigned status) { return status >= 200 && status < 300; }

// Whether bytes of a body may follow the head. Where none may, a receiver takes them for the next response.
constexpr bool may_have_body(std::string_view request_method, unsigned status) {
    return request_method != "HEAD" && !is_interim(status) && status != no_content && status != not_modified;
}

// Whether the head may state a length. One without a body states what a GET would get.
constexpr bool may_have_length(unsigned status) { return !is_interim(status) && status != no_content; }

} // namespace willowrill::http_rules
