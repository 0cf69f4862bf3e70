// Recovers a lost register by asking the other members for theirs. Until then the member does not vote,
// because it does not know what it has promised. Not thread-safe.
//
// Invariant: a member votes again only when nothing that it may have forgotten can decide an election. Either
// of these ensures it:
//   - The witnesses that answered intersect every majority that this member may have been part of, so that
//   one
//     of them knows each promise of such a majority.
//   - The primary of a decided record that does not name this member has confirmed, after this process
//     started, that it still leads. Every later election needs a majority of that record's witnesses, and
//     what this member may have promised before counts in none of them. A member that is new depends on no
//     witness but those that the primary needs anyway.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace willowrill::replication {

class RegisterRecovery {
  public:
    // `nonce`: distinguishes replies to this process from replies to an earlier one.
    void begin(std::uint64_t nonce) { nonce_ = nonce; }

    // Returns the request to send to all other members, if the request interval has passed.
    std::optional<RecoveryRequest> request_if_due(Time now);
    // Makes the next `request_if_due` return a request, because a new peer has connected.
    void request_soon() { requested_at_.reset(); }

    // Handles a reply. Returns a register with which this member may vote, once the invariant above allows
    // it. The returned register marks the state as incomplete.
    std::optional<WitnessRegister> on_reply(const MemberId& self, const MemberId& from,
                                            const RecoveryReply& reply);

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(nonce_, registers_, requested_at_);
    }

  private:
    WitnessRegister highest_known() const;
    bool covers_own_majorities(const MemberId& self, const std::vector<MemberId>& group) const;
    bool is_in_no_record(const MemberId& self) const;

    std::uint64_t nonce_ = 0;
    std::map<MemberId, WitnessRegister> registers_; // of the members that can vote
    std::optional<Time> requested_at_;
};

} // namespace willowrill::replication
