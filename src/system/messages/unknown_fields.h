// Counts what a newer program says beside what this one reads: the fields of a message that this version does
// not know. They are skipped; that they come is worth a figure. Pure; any thread.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>

namespace willowrill::messages {

// The fields at the top level of a message that its type does not have in this version. None for a document
// that is no object, and for a type that is not known, which is counted as a whole (`UnknownMessage`).
std::size_t count_unknown_fields(const nlohmann::json& document);

} // namespace willowrill::messages
