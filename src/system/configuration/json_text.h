// Parses JSON that operators send: limits the nesting depth, validates against a schema, rejects duplicate
// keys, and names the offending element in errors. Free of I/O and of global state.
#pragma once

#include "system/errors/error.h"

#include <rapidjson/document.h>
#include <rapidjson/schema.h>

#include <optional>
#include <string>
#include <string_view>

namespace willowrill::configuration {

// Maximum depth of nested objects and arrays. Deeper documents are rejected, because they are traversed
// recursively.
inline constexpr std::size_t max_nesting_depth = 64;

// Returns an error of the kind `invalid_configuration`.
errors::Error invalid_configuration_error(std::string detail);

// The value must be a string. The view is valid as long as the value.
std::string string_of(const rapidjson::Value& value);
std::string_view string_view_of(const rapidjson::Value& value);

// Returns the value as compact JSON text.
std::string serialize(const rapidjson::Value& value);

// Compiles a schema that is part of this program and is assumed to be valid.
rapidjson::SchemaDocument compile_schema(const char* text);

// Parses the text into `document` and validates it. Returns an error of the kind `invalid_configuration` if
// the text is not JSON, is nested too deeply, violates the schema, or has a duplicate key in an object.
std::optional<errors::Error> read_json(std::string_view text, const rapidjson::SchemaDocument& schema,
                                       rapidjson::Document& document);

// Returns an error of the kind `invalid_configuration` if the text is not UTF-8. The error names the first
// byte that is not, and the field that it belongs to.
std::optional<errors::Error> check_utf8(std::string_view text);

} // namespace willowrill::configuration
