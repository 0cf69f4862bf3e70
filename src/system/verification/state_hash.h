// A hash of a state that does not depend on when it was reached: times are taken relative to now, and those
// further off than every timeout are alike. 128 bits by xxHash. Pure; one thread.
#pragma once

#include "system/replication/actions.h"
#include "system/replication/deferred_action.h"
#include "system/replication/messages.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <compare>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace willowrill::verification {

using replication::Time;

struct StateHash {
    std::uint64_t low = 0, high = 0;
    auto operator<=>(const StateHash&) const = default;
};

class StateHasher {
  public:
    // `horizon`: times at least so far from `now` differ no more.
    StateHasher(Time now, Time horizon) : now_(now), horizon_(horizon) {}

    template <class... Values> void operator()(const Values&... values) { (add(values), ...); }

    StateHash result() const;

  private:
    template <class Value>
        requires(std::integral<Value> || std::is_enum_v<Value>)
    void add(Value value) {
        const auto wide = static_cast<std::uint64_t>(value);
        bytes_.append(reinterpret_cast<const char*>(&wide), sizeof wide);
    }
    void add(Time at);
    void add(const std::string& text) {
        add(text.size());
        bytes_ += text;
    }
    void add(const std::shared_ptr<const std::string>& text) { add(*text); }
    template <class Value> void add(const std::optional<Value>& value) {
        add(value.has_value());
        if (value) add(*value);
    }
    template <class First, class Second> void add(const std::pair<First, Second>& pair) {
        (*this)(pair.first, pair.second);
    }
    template <class Range>
        requires requires(const Range& range) { range.begin(), range.end(), range.size(); }
    void add(const Range& range) {
        add(range.size());
        for (const auto& one : range)
            add(one);
    }
    template <class... Alternatives> void add(const std::variant<Alternatives...>& value) {
        add(value.index());
        std::visit([this](const auto& one) { this->add(one); }, value);
    }

    void add(const replication::Position& value) { (*this)(value.epoch, value.sequence); }
    void add(const replication::EpochRecord& value) {
        (*this)(value.epoch, value.primary, value.in_sync, value.witnesses);
    }
    void add(const replication::WitnessRegister& value) {
        (*this)(value.promised, value.accepted, value.decided, value.complete);
    }
    void add(const replication::ReplicatedState& value) { (*this)(value.position, value.content); }
    void add(const replication::Send& value) { (*this)(value.to, value.message); }
    void add(const replication::Save& value) { (*this)(value.record, value.is_restoration); }
    void add(const replication::Committed& value) { add(value.id); }
    void add(const replication::OutcomeUnknown& value) { add(value.id); }
    void add(const replication::LeadershipConfirmed& value) { add(value.id); }
    void add(const replication::StateChanged&) {}
    void add(const replication::SendPrepareRequests& value) { add(value.epoch); }
    void add(const replication::StartInstall& value) { add(value.epoch); }
    void add(const replication::SendAcceptRequests& value) { add(value.epoch); }
    void add(const replication::CountOwnCopy& value) { add(value.position); }
    void add(const replication::FinishRestoration&) {}

    void add(const replication::PrepareRequest& value) { (*this)(value.epoch, value.pre_vote); }
    void add(const replication::PrepareReply& value) {
        (*this)(value.epoch, value.pre_vote, value.granted, value.shutting_down, value.witness_register,
                value.position);
    }
    void add(const replication::FetchRequest& value) { add(value.epoch); }
    void add(const replication::FetchReply& value) { (*this)(value.epoch, value.state); }
    void add(const replication::InstallRequest& value) { (*this)(value.epoch, value.state); }
    void add(const replication::InstallReply& value) { (*this)(value.epoch, value.stored, value.promised); }
    void add(const replication::AcceptRequest& value) { add(value.record); }
    void add(const replication::AcceptReply& value) { (*this)(value.epoch, value.stored, value.promised); }
    void add(const replication::ReplicateRequest& value) { (*this)(value.epoch, value.state); }
    void add(const replication::ReplicateReply& value) {
        (*this)(value.epoch, value.position, value.stored, value.promised);
    }
    // The number is added by who knows which one is the newest (`ClusterModel`).
    void add(const replication::Heartbeat& value) {
        (*this)(value.record, value.committed, value.in_contact, Time(value.echo));
    }
    void add(const replication::HeartbeatReply& value) {
        (*this)(value.epoch, value.promised, value.newest_committed, value.voting, value.complete,
                value.shutting_down, Time(value.sent_at));
    }
    void add(const replication::CommitNotification& value) { (*this)(value.epoch, value.state); }
    void add(const replication::RecoveryRequest& value) { add(value.nonce); }
    void add(const replication::RecoveryReply& value) {
        (*this)(value.nonce, value.voting, value.witness_register, value.leadership_confirmed);
    }
    void add(const replication::LeadershipTransfer& value) { add(value.epoch); }

    Time now_, horizon_;
    std::string bytes_;
};

} // namespace willowrill::verification
