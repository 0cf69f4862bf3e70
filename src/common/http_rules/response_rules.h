// What HTTP says of every response by its status, for statuses that no table has too (RFC 9110, section 15).
// Pure.
#pragma once

namespace willowrill::http_rules {

constexpr bool is_success(unsigned status) { return status >= 200 && status < 300; }

} // namespace willowrill::http_rules
