#include "system/replication/recovery_confirmations.h"

namespace willowrill::replication {

bool RecoveryConfirmations::contains(const Request& request) const {
    const auto found = waiting_.find(request.member);
    return found != waiting_.end() && found->second.nonce == request.nonce;
}

void RecoveryConfirmations::add(const Request& request, std::uint64_t heartbeat) {
    waiting_[request.member] = {request.nonce, heartbeat};
}

std::vector<RecoveryConfirmations::Request>
RecoveryConfirmations::take_answered(const std::function<bool(std::uint64_t)>& answered) {
    std::vector<Request> taken;
    std::erase_if(waiting_, [&](const auto& entry) {
        const auto& [member, waiting] = entry;
        const bool take = answered(waiting.heartbeat);
        if (take) taken.push_back({member, waiting.nonce});
        return take;
    });
    return taken;
}

} // namespace willowrill::replication
