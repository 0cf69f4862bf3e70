// Changes of named items of a configuration: an operator's PATCH, and what the core tells schedulers. The
// result is a whole configuration, which is checked as one that was sent whole. Pure.
#pragma once

#include "system/errors/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace willowrill::configuration {

// The configuration that `patch` makes of `base`, both as JSON texts: `configVersion` becomes the patch's,
// items of `upsert` take the place of the item of the same name or are appended, and items named in `remove`
// go. All else of `base` stays as it is, keys unknown here too. A name to be removed that is not there is no
// error: afterwards it is not there, as was asked for.
//
// `invalid_configuration`, with the place named, for a patch that cannot be read, names a list that is not
// one of named items, names an item twice, both upserts and removes it, or has an item without a name; and
// for a `base` in which a name that the patch alters stands twice. The result itself is not checked here.
errors::Result<std::string> apply_patch(std::string_view base, std::string_view patch);

// A patch that makes `after` of `before`, both checked configurations, as far as the order of items does not
// matter. Nothing where there is none: an item has no name, a name stands twice, or something else than
// routes, services and the version differs.
std::optional<std::string> difference(std::string_view before, std::string_view after);

} // namespace willowrill::configuration
