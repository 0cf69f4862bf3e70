#include "system/replication/quorum.h"

#include <algorithm>

namespace willowrill::replication {

bool contains(const std::vector<MemberId>& group, const MemberId& member) {
    return std::ranges::find(group, member) != group.end();
}

bool takes_part(const EpochRecord& record, const MemberId& member) {
    return contains(record.witnesses, member) || contains(record.in_sync, member);
}

bool has_quorum(const std::vector<MemberId>& group, const std::set<MemberId>& members) {
    const auto present = static_cast<std::size_t>(
        std::ranges::count_if(group, [&](const MemberId& id) { return members.contains(id); }));
    return present > group.size() / 2;
}

} // namespace willowrill::replication
