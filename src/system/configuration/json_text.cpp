#include "system/configuration/json_text.h"

#include <fmt/format.h>
#include <rapidjson/encodings.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <set>
#include <utility>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::ErrorKind;
using rapidjson::Value;

// Returns the nesting depth of the brackets outside of strings. Exact for valid JSON; invalid JSON is
// rejected by the parser anyway.
std::size_t nesting_depth_of(std::string_view text) {
    std::size_t depth = 0, max_depth = 0;
    bool in_string = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (in_string && character == '\\')
            ++index;
        else if (character == '"')
            in_string = !in_string;
        else if (!in_string && (character == '[' || character == '{'))
            max_depth = std::max(max_depth, ++depth);
        else if (!in_string && (character == ']' || character == '}') && depth > 0)
            --depth;
    }
    return max_depth;
}

std::optional<std::string> find_duplicate_key(const Value& value) {
    if (value.IsArray()) {
        for (const Value& item : value.GetArray())
            if (auto found = find_duplicate_key(item)) return found;
    }
    if (!value.IsObject()) return std::nullopt;
    std::set<std::string_view> seen;
    for (const auto& member : value.GetObject()) {
        if (!seen.insert(string_view_of(member.name)).second) return string_of(member.name);
        if (auto found = find_duplicate_key(member.value)) return found;
    }
    return std::nullopt;
}

// Returns the offset of the first byte that does not begin a valid character.
std::optional<std::size_t> find_invalid_utf8(std::string_view text) {
    rapidjson::MemoryStream stream(text.data(), text.size());
    while (stream.Tell() < text.size()) {
        const std::size_t begin = stream.Tell();
        unsigned code_point = 0;
        if (!rapidjson::UTF8<>::Decode(stream, &code_point)) return begin;
    }
    return std::nullopt;
}

// Returns the JSON pointer of the first key or string that is not UTF-8: of an invalid key, that of its
// object.
std::optional<std::string> find_invalid_field(const Value& value, const std::string& pointer) {
    if (value.IsString() && find_invalid_utf8(string_view_of(value))) return pointer;
    if (value.IsArray()) {
        for (rapidjson::SizeType index = 0; index < value.Size(); ++index)
            if (auto found = find_invalid_field(value[index], fmt::format("{}/{}", pointer, index)))
                return found;
    }
    if (!value.IsObject()) return std::nullopt;
    for (const auto& member : value.GetObject()) {
        const std::string_view key = string_view_of(member.name);
        if (find_invalid_utf8(key)) return pointer;
        if (auto found = find_invalid_field(member.value, fmt::format("{}/{}", pointer, key))) return found;
    }
    return std::nullopt;
}

// Returns the JSON pointer of what is not UTF-8, or nothing where the text cannot be read as JSON either.
std::optional<std::string> field_that_is_not_utf8(std::string_view text) {
    if (nesting_depth_of(text) > max_nesting_depth) return std::nullopt;
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
    if (document.HasParseError()) return std::nullopt;
    return find_invalid_field(document, "#");
}

} // namespace

Error invalid_configuration_error(std::string detail) {
    return {ErrorKind::invalid_configuration, std::move(detail)};
}

std::string string_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

std::string_view string_view_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

std::string serialize(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return {buffer.GetString(), buffer.GetSize()};
}

rapidjson::SchemaDocument compile_schema(const char* text) {
    rapidjson::Document document;
    document.Parse(text);
    return rapidjson::SchemaDocument(document);
}

std::optional<Error> read_json(std::string_view text, const rapidjson::SchemaDocument& schema,
                               rapidjson::Document& document) {
    if (nesting_depth_of(text) > max_nesting_depth)
        return invalid_configuration_error(fmt::format("nested more than {} deep", max_nesting_depth));
    document.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(),
                                                                                        text.size());
    if (document.HasParseError())
        return invalid_configuration_error(
            fmt::format("not JSON at byte {}: {}", document.GetErrorOffset(),
                        rapidjson::GetParseError_En(document.GetParseError())));
    rapidjson::SchemaValidator validator(schema);
    if (!document.Accept(validator)) {
        rapidjson::StringBuffer pointer;
        validator.GetInvalidDocumentPointer().StringifyUriFragment(pointer);
        return invalid_configuration_error(
            fmt::format("{} breaks \"{}\"", pointer.GetString(), validator.GetInvalidSchemaKeyword()));
    }
    if (const auto key = find_duplicate_key(document))
        return invalid_configuration_error(fmt::format("key \"{}\" stands twice", *key));
    return std::nullopt;
}

std::optional<Error> check_utf8(std::string_view text) {
    const auto byte = find_invalid_utf8(text);
    if (!byte) return std::nullopt;
    const auto field = field_that_is_not_utf8(text);
    return invalid_configuration_error(
        fmt::format("not UTF-8 at byte {}{}", *byte, field ? fmt::format(", in {}", *field) : ""));
}

} // namespace willowrill::configuration
