// Reading JSON texts that operators send: bounded in depth, checked against a schema, each key once, and
// errors that name the place. Pure.
#pragma once

#include "system/errors/error.h"

#include <rapidjson/document.h>
#include <rapidjson/schema.h>

#include <optional>
#include <string>
#include <string_view>

namespace willowrill::configuration {

// Objects and arrays inside each other; deeper texts are refused, as they are walked by recursion.
inline constexpr std::size_t deepest_nesting = 64;

// An error of the kind `invalid_configuration`.
errors::Error invalid(std::string detail);

std::string text_of(const rapidjson::Value& value);
std::string_view view_of(const rapidjson::Value& value);

// The compact text of a value.
std::string json_of(const rapidjson::Value& value);

// A schema of this program's own, which is known to be sound.
rapidjson::SchemaDocument compile_schema(const char* text);

// Parses the text into `document` and checks it. An error of the kind `invalid_configuration` where it is no
// JSON, is nested too deep, breaks the schema, or has a key twice in one object.
std::optional<errors::Error> read_json(std::string_view text, const rapidjson::SchemaDocument& schema,
                                       rapidjson::Document& document);

} // namespace willowrill::configuration
