#include "system/replication/leadership_confirmations.h"

namespace willowrill::replication {

template <class Condition>
std::vector<LeadershipConfirmations::Id> LeadershipConfirmations::take_if(Condition condition) {
    std::vector<Id> taken;
    std::erase_if(waiting_, [&](const auto& entry) {
        const bool take = condition(entry.second);
        if (take) taken.push_back(entry.first);
        return take;
    });
    return taken;
}

void LeadershipConfirmations::wait_for(std::uint64_t heartbeat) {
    for (auto& [id, confirmation] : waiting_)
        confirmation.heartbeat = heartbeat;
}

std::vector<LeadershipConfirmations::Id>
LeadershipConfirmations::take_answered(const std::function<bool(std::uint64_t)>& answered) {
    return take_if([&](const Confirmation& waiting) { return answered(waiting.heartbeat); });
}

std::vector<LeadershipConfirmations::Id> LeadershipConfirmations::take_expired(Time now, Time timeout) {
    return take_if([&](const Confirmation& waiting) { return now - waiting.since > timeout; });
}

std::vector<LeadershipConfirmations::Id> LeadershipConfirmations::take_all() {
    return take_if([](const Confirmation&) { return true; });
}

} // namespace willowrill::replication
