#include "system/configuration/patch.h"

#include "system/configuration/json_text.h"
#include "system/configuration/schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace willowrill::configuration {
namespace {

using errors::Error;
using errors::Result;
using rapidjson::Document;
using rapidjson::Value;

constexpr const char* version_key = "configVersion";
constexpr const char* name_key = "name";
constexpr std::array<const char*, 2> list_keys{"routes", "services"};

const rapidjson::SchemaDocument& patch_schema() {
    static const rapidjson::SchemaDocument compiled = compile_schema(patch_schema_text);
    return compiled;
}

const rapidjson::SchemaDocument& any_object_schema() {
    static const rapidjson::SchemaDocument compiled = compile_schema(R"({"type":"object"})");
    return compiled;
}

// What a patch does to one list.
struct ListChange {
    std::map<std::string_view, const Value*> upserts; // by name
    std::vector<const Value*> upsert_order;
    std::set<std::string_view> removals;
};
using ListChanges = std::map<std::string_view, ListChange>; // by the list's key

std::optional<Error> read_upserts(const Value& lists, ListChanges& changes) {
    for (const auto& [key, items] : lists.GetObject()) {
        ListChange& change = changes[view_of(key)];
        for (const Value& item : items.GetArray()) {
            const std::string_view name = view_of(item[name_key]);
            if (!change.upserts.emplace(name, &item).second)
                return invalid(fmt::format("upsert/{}: \"{}\" stands twice", view_of(key), name));
            change.upsert_order.push_back(&item);
        }
    }
    return std::nullopt;
}

std::optional<Error> read_removals(const Value& lists, ListChanges& changes) {
    for (const auto& [key, names] : lists.GetObject()) {
        ListChange& change = changes[view_of(key)];
        for (const Value& name : names.GetArray()) {
            if (!change.removals.insert(view_of(name)).second)
                return invalid(fmt::format("remove/{}: \"{}\" stands twice", view_of(key), view_of(name)));
            if (change.upserts.contains(view_of(name)))
                return invalid(
                    fmt::format("{}: \"{}\" is both upserted and removed", view_of(key), view_of(name)));
        }
    }
    return std::nullopt;
}

std::string_view name_of(const Value& item) {
    if (!item.IsObject()) return {};
    const auto name = item.FindMember(name_key);
    return name == item.MemberEnd() || !name->value.IsString() ? std::string_view() : view_of(name->value);
}

// Makes the list what the change asks for: replaced items keep their places, new ones come last.
std::optional<Error> change_list(std::string_view key, Value& list, const ListChange& change,
                                 Document::AllocatorType& allocator) {
    std::set<std::string_view> met;
    Value out(rapidjson::kArrayType);
    for (Value& item : list.GetArray()) {
        const std::string_view name = name_of(item);
        const auto upsert = change.upserts.find(name);
        const bool altered =
            !name.empty() && (upsert != change.upserts.end() || change.removals.contains(name));
        if (altered && !met.insert(name).second)
            return invalid(fmt::format("{}: the current configuration has \"{}\" twice", key, name));
        if (!altered)
            out.PushBack(item, allocator); // moves it
        else if (upsert != change.upserts.end())
            out.PushBack(Value(*upsert->second, allocator), allocator);
    }
    for (const Value* item : change.upsert_order)
        if (!met.contains(name_of(*item))) out.PushBack(Value(*item, allocator), allocator);
    list = out;
    return std::nullopt;
}

// The items of a list by name. Nothing where a name is missing or stands twice.
std::optional<std::map<std::string_view, const Value*>> by_name(const Value& list) {
    std::map<std::string_view, const Value*> out;
    for (const Value& item : list.GetArray()) {
        const std::string_view name = name_of(item);
        if (name.empty() || !out.emplace(name, &item).second) return std::nullopt;
    }
    return out;
}

// Adds to the patch what makes the one list of the other. False where that cannot be said.
bool add_difference(const char* key, const Value& before, const Value& after, Document& patch) {
    const auto old_items = by_name(before), new_items = by_name(after);
    if (!old_items || !new_items) return false;
    auto& allocator = patch.GetAllocator();
    Value upserts(rapidjson::kArrayType), removals(rapidjson::kArrayType);
    for (const auto& [name, item] : *new_items) {
        const auto old_item = old_items->find(name);
        if (old_item == old_items->end() || *old_item->second != *item)
            upserts.PushBack(Value(*item, allocator), allocator);
    }
    for (const auto& [name, item] : *old_items)
        if (!new_items->contains(name))
            removals.PushBack(Value(name.data(), static_cast<unsigned>(name.size()), allocator), allocator);
    if (!upserts.Empty()) patch["upsert"].AddMember(rapidjson::StringRef(key), upserts, allocator);
    if (!removals.Empty()) patch["remove"].AddMember(rapidjson::StringRef(key), removals, allocator);
    return true;
}

// Whether all members but those that a patch can alter are the same.
bool rest_is_same(const Document& before, const Document& after) {
    const auto is_altered = [](const Value& key) {
        return view_of(key) == version_key || std::ranges::count(list_keys, view_of(key)) > 0;
    };
    for (const auto& [key, value] : before.GetObject()) {
        if (is_altered(key)) continue;
        const auto other = after.FindMember(key);
        if (other == after.MemberEnd() || other->value != value) return false;
    }
    return before.MemberCount() == after.MemberCount();
}

} // namespace

std::optional<std::string> difference(std::string_view before, std::string_view after) {
    Document old_document, new_document, patch(rapidjson::kObjectType);
    if (read_json(before, any_object_schema(), old_document)) return std::nullopt;
    if (read_json(after, any_object_schema(), new_document)) return std::nullopt;
    if (!rest_is_same(old_document, new_document)) return std::nullopt;
    auto& allocator = patch.GetAllocator();
    patch.AddMember(rapidjson::StringRef(version_key), Value(new_document[version_key], allocator),
                    allocator);
    patch.AddMember("upsert", Value(rapidjson::kObjectType), allocator);
    patch.AddMember("remove", Value(rapidjson::kObjectType), allocator);
    for (const char* key : list_keys)
        if (!add_difference(key, old_document[key], new_document[key], patch)) return std::nullopt;
    return json_of(patch);
}

Result<std::string> apply_patch(std::string_view base, std::string_view patch) {
    Document whole, changes_text;
    if (const auto error = read_json(base, any_object_schema(), whole)) return *error;
    if (const auto error = read_json(patch, patch_schema(), changes_text)) return *error;

    ListChanges changes;
    if (changes_text.HasMember("upsert"))
        if (const auto error = read_upserts(changes_text["upsert"], changes)) return *error;
    if (changes_text.HasMember("remove"))
        if (const auto error = read_removals(changes_text["remove"], changes)) return *error;
    for (const auto& [key, change] : changes) {
        const auto list =
            whole.FindMember(Value(rapidjson::StringRef(key.data(), static_cast<unsigned>(key.size()))));
        if (list == whole.MemberEnd() || !list->value.IsArray())
            return invalid(fmt::format("\"{}\" is no list of the configuration", key));
        if (const auto error = change_list(key, list->value, change, whole.GetAllocator())) return *error;
    }
    whole.RemoveMember(version_key);
    Value version(changes_text[version_key], whole.GetAllocator());
    whole.AddMember(rapidjson::StringRef(version_key), version, whole.GetAllocator());
    return json_of(whole);
}

} // namespace willowrill::configuration
