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

// The changes that a patch makes to one list.
struct ListChange {
    std::map<std::string_view, const Value*> upserts; // by name
    std::vector<const Value*> upsert_order;
    std::set<std::string_view> removals;
};
using ListChanges = std::map<std::string_view, ListChange>; // by key of the list

std::optional<Error> read_upserts(const Value& lists, ListChanges& changes) {
    for (const auto& [key, items] : lists.GetObject()) {
        ListChange& change = changes[string_view_of(key)];
        for (const Value& item : items.GetArray()) {
            const std::string_view name = string_view_of(item[name_key]);
            if (!change.upserts.emplace(name, &item).second)
                return invalid_configuration_error(
                    fmt::format("upsert/{}: \"{}\" stands twice", string_view_of(key), name));
            change.upsert_order.push_back(&item);
        }
    }
    return std::nullopt;
}

std::optional<Error> read_removals(const Value& lists, ListChanges& changes) {
    for (const auto& [key, names] : lists.GetObject()) {
        ListChange& change = changes[string_view_of(key)];
        for (const Value& name : names.GetArray()) {
            if (!change.removals.insert(string_view_of(name)).second)
                return invalid_configuration_error(
                    fmt::format("remove/{}: \"{}\" stands twice", string_view_of(key), string_view_of(name)));
            if (change.upserts.contains(string_view_of(name)))
                return invalid_configuration_error(fmt::format("{}: \"{}\" is both upserted and removed",
                                                               string_view_of(key), string_view_of(name)));
        }
    }
    return std::nullopt;
}

std::string_view name_of(const Value& item) {
    if (!item.IsObject()) return {};
    const auto name = item.FindMember(name_key);
    return name == item.MemberEnd() || !name->value.IsString() ? std::string_view()
                                                               : string_view_of(name->value);
}

// Applies the change to the list. Replaced items keep their position, new items are appended.
std::optional<Error> apply_list_change(std::string_view key, Value& list, const ListChange& change,
                                       Document::AllocatorType& allocator) {
    std::set<std::string_view> found_names;
    Value patched_items(rapidjson::kArrayType);
    for (Value& item : list.GetArray()) {
        const std::string_view name = name_of(item);
        const auto upsert = change.upserts.find(name);
        const bool is_changed =
            !name.empty() && (upsert != change.upserts.end() || change.removals.contains(name));
        if (is_changed && !found_names.insert(name).second)
            return invalid_configuration_error(
                fmt::format("{}: the current configuration has \"{}\" twice", key, name));
        if (!is_changed)
            patched_items.PushBack(item, allocator); // moves the item
        else if (upsert != change.upserts.end())
            patched_items.PushBack(Value(*upsert->second, allocator), allocator);
    }
    for (const Value* item : change.upsert_order)
        if (!found_names.contains(name_of(*item))) patched_items.PushBack(Value(*item, allocator), allocator);
    list = patched_items;
    return std::nullopt;
}

// Indexes the items of a list by name. Returns nothing if a name is missing or occurs twice.
std::optional<std::map<std::string_view, const Value*>> index_by_name(const Value& list) {
    std::map<std::string_view, const Value*> items_by_name;
    for (const Value& item : list.GetArray()) {
        const std::string_view name = name_of(item);
        if (name.empty() || !items_by_name.emplace(name, &item).second) return std::nullopt;
    }
    return items_by_name;
}

// Adds the changes that turn list `before` into `after` to the patch. Returns false if a patch cannot express
// them.
bool add_difference(const char* key, const Value& before, const Value& after, Document& patch) {
    const auto old_items = index_by_name(before), new_items = index_by_name(after);
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

// Whether all members other than those that a patch can change are equal.
bool unpatchable_members_equal(const Document& before, const Document& after) {
    const auto is_patchable = [](const Value& key) {
        return string_view_of(key) == version_key || std::ranges::count(list_keys, string_view_of(key)) > 0;
    };
    for (const auto& [key, value] : before.GetObject()) {
        if (is_patchable(key)) continue;
        const auto after_member = after.FindMember(key);
        if (after_member == after.MemberEnd() || after_member->value != value) return false;
    }
    return before.MemberCount() == after.MemberCount();
}

} // namespace

std::optional<std::string> difference(std::string_view before, std::string_view after) {
    Document old_document, new_document, patch(rapidjson::kObjectType);
    if (read_json(before, any_object_schema(), old_document)) return std::nullopt;
    if (read_json(after, any_object_schema(), new_document)) return std::nullopt;
    if (!unpatchable_members_equal(old_document, new_document)) return std::nullopt;
    auto& allocator = patch.GetAllocator();
    patch.AddMember(rapidjson::StringRef(version_key), Value(new_document[version_key], allocator),
                    allocator);
    patch.AddMember("upsert", Value(rapidjson::kObjectType), allocator);
    patch.AddMember("remove", Value(rapidjson::kObjectType), allocator);
    for (const char* key : list_keys)
        if (!add_difference(key, old_document[key], new_document[key], patch)) return std::nullopt;
    return serialize(patch);
}

Result<std::string> apply_patch(std::string_view base, std::string_view patch) {
    Document document, patch_document;
    if (const auto error = read_json(base, any_object_schema(), document)) return *error;
    if (const auto error = read_json(patch, patch_schema(), patch_document)) return *error;

    ListChanges changes;
    if (patch_document.HasMember("upsert"))
        if (const auto error = read_upserts(patch_document["upsert"], changes)) return *error;
    if (patch_document.HasMember("remove"))
        if (const auto error = read_removals(patch_document["remove"], changes)) return *error;
    for (const auto& [key, change] : changes) {
        const auto list =
            document.FindMember(Value(rapidjson::StringRef(key.data(), static_cast<unsigned>(key.size()))));
        if (list == document.MemberEnd() || !list->value.IsArray())
            return invalid_configuration_error(fmt::format("\"{}\" is no list of the configuration", key));
        if (const auto error = apply_list_change(key, list->value, change, document.GetAllocator()))
            return *error;
    }
    document.RemoveMember(version_key);
    Value version(patch_document[version_key], document.GetAllocator());
    document.AddMember(rapidjson::StringRef(version_key), version, document.GetAllocator());
    return serialize(document);
}

} // namespace willowrill::configuration
