#include "system/replication/membership_plan.h"

#include "system/replication/quorum.h"

#include <algorithm>

namespace willowrill::replication {

std::size_t succession_rank(const MemberId& self, const WitnessRegister& known) {
    const std::vector<MemberId>& order = known.decided.in_sync;
    const auto own = std::ranges::find(order, self);
    if (own == order.end() || !known.complete) return order.size() + 1;
    const auto last = std::ranges::find(order, known.decided.primary);
    const auto size = static_cast<std::ptrdiff_t>(order.size());
    const std::ptrdiff_t from = last == order.end() ? 0 : last - order.begin();
    return static_cast<std::size_t>(((own - order.begin()) - from + size) % size);
}

std::vector<MemberId> next_witnesses(std::vector<MemberId> current, std::vector<MemberId> candidates,
                                     const std::function<bool(const MemberId&)>& may_replace,
                                     std::size_t full_count) {
    for (MemberId& id : current) {
        if (candidates.empty()) break;
        if (!may_replace(id)) continue;
        id = candidates.back();
        candidates.pop_back();
    }
    // Adds two at a time: an even number of witnesses needs a larger quorum and tolerates no further loss.
    while (candidates.size() >= 2 && current.size() + 2 <= full_count) {
        current.insert(current.end(), candidates.end() - 2, candidates.end());
        candidates.resize(candidates.size() - 2);
    }
    std::ranges::sort(current);
    return current;
}

std::vector<MemberId> next_in_sync(const MemberId& self, const std::vector<MemberId>& witnesses,
                                   const PrepareReplies& replies, std::size_t min_count) {
    std::vector<MemberId> next, shutting_down;
    for (const MemberId& id : witnesses) {
        const auto reply = replies.find(id);
        if (reply == replies.end()) continue;
        (reply->second.shutting_down ? shutting_down : next).push_back(id);
    }
    if (!contains(next, self) && !contains(shutting_down, self)) next.push_back(self);
    while (next.size() < min_count && !shutting_down.empty()) {
        next.push_back(shutting_down.back());
        shutting_down.pop_back();
    }
    return next;
}

} // namespace willowrill::replication
