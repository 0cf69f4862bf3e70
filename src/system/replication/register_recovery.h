// How a witness whose register was lost finds out what it may have promised: it asks the others for theirs.
// Before it has done so it takes no part in votes. One thread.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace willowrill::replication {

class RegisterRecovery {
  public:
    // `nonce`: tells replies to this process from those to an earlier one.
    void begin(std::uint64_t nonce) { nonce_ = nonce; }

    // The request to send to all others, where it is time to ask (again).
    std::optional<RecoveryRequest> request_if_due(Time now);
    // Somebody connected: asks again at the next opportunity.
    void request_soon() { requested_at_.reset(); }

    // Takes in a reply. Returns a register that promises all that the lost one may have promised, once so
    // many witnesses have answered that one of them stood in every majority that this member may have been
    // counted in. Its state does not count as complete.
    std::optional<WitnessRegister> on_reply(const MemberId& self, const MemberId& from,
                                            const RecoveryReply& reply);

    // Shows a visitor all that decides what happens next: `visitor(fields...)`. For searches through states
    // (src/system/verification); counters are shown as distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(nonce_, registers_, requested_at_);
    }

  private:
    WitnessRegister highest_known() const;

    std::uint64_t nonce_ = 0;
    std::map<MemberId, WitnessRegister> registers_; // of those that can vote
    std::optional<Time> requested_at_;
};

} // namespace willowrill::replication
