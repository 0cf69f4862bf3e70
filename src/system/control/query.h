// The query of a request's target. Pure.
#pragma once

#include <string>
#include <string_view>

namespace willowrill::control {

// The value of the first parameter of this name in the query of `target`, as it stands: escapes are not
// decoded. Empty where there is none.
std::string query_parameter(std::string_view target, std::string_view name);

} // namespace willowrill::control
