#include "system/replication/register_recovery.h"

#include "system/replication/quorum.h"

#include <algorithm>

namespace willowrill::replication {
namespace {

constexpr Time request_interval{200};

} // namespace

std::optional<RecoveryRequest> RegisterRecovery::request_if_due(Time now) {
    if (requested_at_ && now - *requested_at_ < request_interval) return std::nullopt;
    requested_at_ = now;
    return RecoveryRequest{nonce_};
}

std::optional<WitnessRegister> RegisterRecovery::on_reply(const MemberId& self, const MemberId& from,
                                                          const RecoveryReply& reply) {
    if (reply.nonce != nonce_) return std::nullopt;
    if (reply.voting)
        registers_[from] = reply.witness_register;
    else
        registers_.erase(from);
    const WitnessRegister recovered = highest_known();
    const bool is_covered = covers_own_majorities(self, recovered.accepted.witnesses) ||
                            (reply.voting && reply.leadership_confirmed && is_in_no_record(self));
    if (!is_covered) return std::nullopt;
    registers_.clear();
    return recovered;
}

// Whether the witnesses that answered intersect every majority of the group.
bool RegisterRecovery::covers_own_majorities(const MemberId& self, const std::vector<MemberId>& group) const {
    const std::size_t majority = group.size() / 2 + 1;
    const auto answered = static_cast<std::size_t>(std::ranges::count_if(
        group, [&](const MemberId& id) { return id != self && registers_.contains(id); }));
    return !group.empty() && answered >= group.size() - majority + 1;
}

bool RegisterRecovery::is_in_no_record(const MemberId& self) const {
    return std::ranges::none_of(registers_, [&](const auto& entry) {
        const WitnessRegister& known = entry.second;
        return takes_part(known.accepted, self) || takes_part(known.decided, self);
    });
}

WitnessRegister RegisterRecovery::highest_known() const {
    WitnessRegister recovered;
    for (const auto& [id, known] : registers_) {
        recovered.promised = std::max(recovered.promised, known.promised);
        if (known.accepted.epoch > recovered.accepted.epoch) recovered.accepted = known.accepted;
        if (known.decided.epoch > recovered.decided.epoch) recovered.decided = known.decided;
    }
    recovered.complete = false;
    return recovered;
}

} // namespace willowrill::replication
