// Patches that change named items of a configuration: sent by operators as PATCH requests, and by the core to
// schedulers. The result is a complete configuration; a patch of an operator is validated like a
// configuration that was sent as a whole. Free of I/O and of global state.
#pragma once

#include "system/errors/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace willowrill::configuration {

// Applies `patch` to `base`, both JSON texts. `configVersion` is taken from the patch, items of `upsert`
// replace the item of the same name or are appended, and items named in `remove` are deleted. Everything else
// in `base`, including unknown keys, is kept. Removing a name that does not exist is not an error.
//
// Fails with `invalid_configuration`, naming the offending element, if the patch is malformed, refers to
// something that is not a list of named items, names an item twice, both upserts and removes an item, or has
// an item without a name; and if a name that the patch changes occurs twice in `base`. The result itself is
// not validated here.
errors::Result<std::string> apply_patch(std::string_view base, std::string_view patch);

// Computes a patch that turns `before` into `after`, both validated configurations, up to the order of items.
// Returns nothing if no patch can express the difference: an item has no name, a name occurs twice, or
// something other than routes, services and the version differs.
std::optional<std::string> difference(std::string_view before, std::string_view after);

} // namespace willowrill::configuration
