// Access to the query component of a request target.
#pragma once

#include <string>
#include <string_view>

namespace willowrill::control {

// Returns the value of the first query parameter called `name` in `target`, without percent-decoding it, or
// an empty string if there is none.
std::string query_parameter(std::string_view target, std::string_view name);

} // namespace willowrill::control
