#include "system/configuration/json_text.h"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
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

// How deep the brackets outside of strings go. Right for every JSON text; of others it does not matter.
std::size_t nesting_of(std::string_view text) {
    std::size_t depth = 0, deepest = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (in_string && c == '\\')
            ++at;
        else if (c == '"')
            in_string = !in_string;
        else if (!in_string && (c == '[' || c == '{'))
            deepest = std::max(deepest, ++depth);
        else if (!in_string && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return deepest;
}

std::optional<std::string> duplicate_key(const Value& value) {
    if (value.IsArray()) {
        for (const Value& item : value.GetArray())
            if (auto found = duplicate_key(item)) return found;
    }
    if (!value.IsObject()) return std::nullopt;
    std::set<std::string_view> seen;
    for (const auto& member : value.GetObject()) {
        if (!seen.insert(view_of(member.name)).second) return text_of(member.name);
        if (auto found = duplicate_key(member.value)) return found;
    }
    return std::nullopt;
}

} // namespace

Error invalid(std::string detail) { return {ErrorKind::invalid_configuration, std::move(detail)}; }

std::string text_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

std::string_view view_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

std::string json_of(const Value& value) {
    rapidjson::StringBuffer out;
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    value.Accept(writer);
    return {out.GetString(), out.GetSize()};
}

rapidjson::SchemaDocument compile_schema(const char* text) {
    rapidjson::Document document;
    document.Parse(text);
    return rapidjson::SchemaDocument(document);
}

std::optional<Error> read_json(std::string_view text, const rapidjson::SchemaDocument& schema,
                               rapidjson::Document& document) {
    if (nesting_of(text) > deepest_nesting)
        return invalid(fmt::format("nested more than {} deep", deepest_nesting));
    document.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(),
                                                                                        text.size());
    if (document.HasParseError())
        return invalid(fmt::format("not JSON at byte {}: {}", document.GetErrorOffset(),
                                   rapidjson::GetParseError_En(document.GetParseError())));
    rapidjson::SchemaValidator validator(schema);
    if (!document.Accept(validator)) {
        rapidjson::StringBuffer place;
        validator.GetInvalidDocumentPointer().StringifyUriFragment(place);
        return invalid(
            fmt::format("{} breaks \"{}\"", place.GetString(), validator.GetInvalidSchemaKeyword()));
    }
    if (const auto key = duplicate_key(document))
        return invalid(fmt::format("key \"{}\" stands twice", *key));
    return std::nullopt;
}

} // namespace willowrill::configuration
