#include "system/replication/election.h"

#include "system/replication/quorum.h"

#include <algorithm>
#include <utility>

namespace willowrill::replication {

void Election::begin(Epoch epoch, Purpose purpose) {
    epoch_ = epoch;
    purpose_ = purpose;
    replies_.clear();
    installed_.clear();
    accepted_by_.clear();
}

std::set<MemberId> Election::granted_by() const {
    std::set<MemberId> members;
    for (const auto& [id, reply] : replies_)
        members.insert(id);
    return members;
}

const EpochRecord& Election::highest_accepted(const WitnessRegister& own) const {
    const EpochRecord* highest = &own.accepted;
    for (const auto& [id, reply] : replies_)
        if (reply.witness_register.accepted.epoch > highest->epoch)
            highest = &reply.witness_register.accepted;
    return *highest;
}

const EpochRecord& Election::highest_decided(const WitnessRegister& own) const {
    const EpochRecord* highest = &own.decided;
    for (const auto& [id, reply] : replies_)
        if (reply.witness_register.decided.epoch > highest->epoch) highest = &reply.witness_register.decided;
    return *highest;
}

bool Election::has_prepare_quorum(const WitnessRegister& own) const {
    const std::set<MemberId> granted = granted_by();
    return has_quorum(highest_decided(own).witnesses, granted) &&
           has_quorum(highest_accepted(own).witnesses, granted);
}

std::optional<Election::Source> Election::newest_state_among(const std::vector<MemberId>& in_sync) const {
    std::optional<Source> newest;
    for (const MemberId& id : in_sync) {
        const auto reply = replies_.find(id);
        if (reply == replies_.end() || !reply->second.witness_register.complete) continue;
        const Position& position = reply->second.position;
        if (!newest || position >= newest->position) newest = Source{id, position};
    }
    return newest;
}

void Election::plan(EpochRecord record, std::vector<std::vector<MemberId>> groups) {
    planned_ = std::move(record);
    accept_groups_ = std::move(groups);
}

void Election::begin_accept(Time now) {
    accepted_by_.clear();
    accept_sent_at_ = now;
}

std::set<MemberId> Election::accept_recipients() const {
    std::set<MemberId> recipients;
    for (const std::vector<MemberId>& group : accept_groups_)
        recipients.insert(group.begin(), group.end());
    return recipients;
}

bool Election::is_accepted() const {
    return std::ranges::all_of(accept_groups_, [this](const std::vector<MemberId>& group) {
        return has_quorum(group, accepted_by_);
    });
}

} // namespace willowrill::replication
