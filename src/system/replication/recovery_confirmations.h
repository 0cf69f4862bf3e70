// Members without a register that wait for this primary to confirm that it still leads. Each request waits
// until a quorum has answered a round of heartbeats that was sent after it. Not thread-safe.
#pragma once

#include "system/replication/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace willowrill::replication {

class RecoveryConfirmations {
  public:
    struct Request {
        MemberId member;
        std::uint64_t nonce = 0; // of its `RecoveryRequest`
    };

    // Whether this request waits already.
    bool contains(const Request& request) const;
    // Replaces an earlier request of the same member. `heartbeat`: the round that a quorum must answer.
    void add(const Request& request, std::uint64_t heartbeat);
    // Removes and returns the requests whose round was answered by a quorum, as decided by `answered`.
    std::vector<Request> take_answered(const std::function<bool(std::uint64_t heartbeat)>& answered);
    void clear() { waiting_.clear(); }

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    // `newest_heartbeat`: the number of the newest round.
    template <class Visitor> void visit_state(Visitor& visitor, std::uint64_t newest_heartbeat) const {
        visitor(waiting_.size());
        for (const auto& [member, waiting] : waiting_)
            visitor(member, waiting.nonce, newest_heartbeat - waiting.heartbeat);
    }

  private:
    struct Waiting {
        std::uint64_t nonce = 0;
        std::uint64_t heartbeat = 0;
    };

    std::map<MemberId, Waiting> waiting_;
};

} // namespace willowrill::replication
