// State of a candidate's election: its epoch, the prepare replies, the planned record, and the members that
// have installed the state and accepted the record. Evaluates quorums; `Replica` decides when to send which
// message. Not thread-safe.
#pragma once

#include "system/replication/membership_plan.h"
#include "system/replication/messages.h"
#include "system/replication/timing.h"
#include "system/replication/types.h"

#include <optional>
#include <set>
#include <vector>

namespace willowrill::replication {

class Election {
  public:
    enum class Purpose { failover, membership_change };

    // The member that holds the newest usable state, and the position of that state.
    struct Source {
        MemberId member;
        Position position;
    };

    // ---- Prepare -----------------------------------------------------------------------------------------

    void begin(Epoch epoch, Purpose purpose);
    Epoch epoch() const { return epoch_; }
    Purpose purpose() const { return purpose_; }
    bool is_membership_change() const { return purpose_ == Purpose::membership_change; }

    // Discards the replies of the pre-vote, which must not count in the election itself.
    void clear_replies() { replies_.clear(); }
    void add_reply(const MemberId& from, const PrepareReply& reply) { replies_[from] = reply; }
    const PrepareReplies& replies() const { return replies_; }
    std::set<MemberId> granted_by() const;

    // The records with the highest epoch among the replies and this member's own register. The references are
    // invalidated by a change of either.
    const EpochRecord& highest_accepted(const WitnessRegister& own) const;
    const EpochRecord& highest_decided(const WitnessRegister& own) const;
    // Whether a majority of the witnesses of both the highest accepted and the highest decided record
    // granted.
    bool has_prepare_quorum(const WitnessRegister& own) const;
    // The member of this in-sync set that granted and holds the newest complete state. Empty if no granting
    // member is certain to hold every acknowledged state.
    std::optional<Source> newest_state_among(const std::vector<MemberId>& in_sync) const;

    // ---- Fetch, install and accept -----------------------------------------------------------------------

    // `groups`: sets of witnesses; a majority of each must accept the record.
    void plan(EpochRecord record, std::vector<std::vector<MemberId>> groups);
    const EpochRecord& planned() const { return planned_; }

    void set_fetch_source(const MemberId& member) { fetch_source_ = member; }
    const MemberId& fetch_source() const { return fetch_source_; }

    void begin_install() { installed_.clear(); }
    void add_installed(const MemberId& member) { installed_.insert(member); }
    bool is_installed_everywhere() const { return installed_.size() >= planned_.in_sync.size(); }

    void begin_accept(Time now);
    void add_accepted(const MemberId& member) { accepted_by_.insert(member); }
    // All members that are asked to accept the record.
    std::set<MemberId> accept_recipients() const;
    bool is_accepted() const;
    bool has_accepted(const MemberId& member) const { return accepted_by_.contains(member); }
    Time accept_sent_at() const { return accept_sent_at_; }

    // Passes every field that influences future behaviour to `visitor(fields...)`, for the model checker in
    // src/system/verification. Counters are passed as differences, because only these affect behaviour.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(epoch_, purpose_, replies_, planned_, accept_groups_, fetch_source_, installed_, accepted_by_,
                accept_sent_at_);
    }

  private:
    Epoch epoch_ = 0;
    Purpose purpose_ = Purpose::failover;
    PrepareReplies replies_;
    EpochRecord planned_;
    std::vector<std::vector<MemberId>> accept_groups_;
    MemberId fetch_source_;
    std::set<MemberId> installed_;
    std::set<MemberId> accepted_by_;
    Time accept_sent_at_{0};
};

} // namespace willowrill::replication
