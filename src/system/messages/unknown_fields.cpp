#include "system/messages/unknown_fields.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace willowrill::messages {
namespace {

using Fields = std::set<std::string_view>;

// What any message may have.
const Fields common_fields{"type", "needs", "optional"};

// By type, as codec.cpp spells them.
const std::map<std::string_view, Fields> fields_by_type{
    {"hello", {"kind", "version", "max_version", "features", "member"}},
    {"hello-reply", {"version", "max_version", "features"}},
    {"hello-refused", {"version", "max_version", "detail"}},
    {"replication", {"message"}},
    {"replication-delta", {"message", "base", "digest", "delta"}},
    {"state-wanted", {}},
    {"core", {"members"}},
    {"leases", {"life", "number", "leases"}},
    {"leases-change", {"life", "number", "leases", "gone"}},
    {"leases-alive", {"life", "number", "silent"}},
    {"leases-wanted", {}},
    {"assign", {"assignments"}},
    {"zone", {"list"}},
    {"zone-unchanged", {"zone", "token"}},
    {"lease", {"lease", "holds", "lacks"}},
    {"beat", {"renewal", "current", "core"}},
    {"state", {"position", "version", "configuration", "evacuated"}},
    {"state-change", {"base", "position", "version", "patch", "evacuated"}},
    {"members", {"number", "members"}},
    {"members-change", {"number", "changed", "gone"}},
};

} // namespace

std::size_t count_unknown_fields(const nlohmann::json& document) {
    if (!document.is_object()) return 0;
    const auto type = document.find("type");
    if (type == document.end() || !type->is_string()) return 0;
    const auto known = fields_by_type.find(type->get_ref<const std::string&>());
    if (known == fields_by_type.end()) return 0;
    std::size_t out = 0;
    for (const auto& [name, value] : document.items())
        if (!known->second.contains(name) && !common_fields.contains(name)) ++out;
    return out;
}

} // namespace willowrill::messages
