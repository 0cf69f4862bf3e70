#include "system/replication/heartbeat_log.h"

#include <algorithm>

namespace willowrill::replication {
namespace {

constexpr std::size_t max_rounds = 256;

} // namespace

void HeartbeatLog::add(Time now) {
    rounds_.push_back({++number_, now});
    if (rounds_.size() > max_rounds) rounds_.pop_front();
}

std::optional<Time> HeartbeatLog::sent_at(std::uint64_t number) const {
    const auto round = std::ranges::find(rounds_, number, &Round::number);
    return round == rounds_.end() ? std::nullopt : std::optional(round->sent_at);
}

bool HeartbeatLog::is_due(Time now, Time period) const {
    return rounds_.empty() || now - rounds_.back().sent_at >= period;
}

} // namespace willowrill::replication
