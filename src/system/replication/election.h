// The election that a candidate runs: its epoch, the replies so far, the record it has planned, and who has
// installed the state and stored the record. Knows the arithmetic, not when to send what. One thread.
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

    // Where the newest state that counts is held.
    struct Source {
        MemberId member;
        Position position;
    };

    // ---- Prepare -----------------------------------------------------------------------------------------

    void begin(Epoch epoch, Purpose purpose);
    Epoch epoch() const { return epoch_; }
    Purpose purpose() const { return purpose_; }
    bool is_membership_change() const { return purpose_ == Purpose::membership_change; }

    // What was granted in the pre-vote counts for nothing in the election itself.
    void clear_replies() { replies_.clear(); }
    void add_reply(const MemberId& from, const PrepareReply& reply) { replies_[from] = reply; }
    const PrepareReplies& replies() const { return replies_; }
    std::set<MemberId> granted_by() const;

    // The highest records among the replies and this member's own register. Valid until the next change of
    // either.
    const EpochRecord& highest_accepted(const WitnessRegister& own) const;
    const EpochRecord& highest_decided(const WitnessRegister& own) const;
    // Whether more than half of the witnesses of both records have granted.
    bool has_prepare_quorum(const WitnessRegister& own) const;
    // The member of this in-sync set that granted and holds the newest complete state; nothing where nobody
    // who granted is sure to hold what was acknowledged.
    std::optional<Source> newest_state_among(const std::vector<MemberId>& in_sync) const;

    // ---- Fetch, install and accept -----------------------------------------------------------------------

    // `groups`: more than half of each must store the record.
    void plan(EpochRecord record, std::vector<std::vector<MemberId>> groups);
    const EpochRecord& planned() const { return planned_; }

    void fetch_from(const MemberId& member) { fetch_from_ = member; }
    const MemberId& fetches_from() const { return fetch_from_; }

    void begin_install() { installed_.clear(); }
    void add_installed(const MemberId& member) { installed_.insert(member); }
    bool is_installed() const { return installed_.size() >= planned_.in_sync.size(); }

    void begin_accept(Time now);
    void add_accepted(const MemberId& member) { accepted_by_.insert(member); }
    // All who are asked to store the record.
    std::set<MemberId> accept_recipients() const;
    bool is_accepted() const;
    bool accepted_by(const MemberId& member) const { return accepted_by_.contains(member); }
    Time accept_sent_at() const { return accept_sent_at_; }

    // Shows a visitor all that decides what happens next: `visitor(fields...)`. For searches through states
    // (src/system/verification); counters are shown as distances, as only these matter.
    template <class Visitor> void visit_state(Visitor& visitor) const {
        visitor(epoch_, purpose_, replies_, planned_, groups_, fetch_from_, installed_, accepted_by_,
                accept_sent_at_);
    }

  private:
    Epoch epoch_ = 0;
    Purpose purpose_ = Purpose::failover;
    PrepareReplies replies_;
    EpochRecord planned_;
    std::vector<std::vector<MemberId>> groups_;
    MemberId fetch_from_;
    std::set<MemberId> installed_;
    std::set<MemberId> accepted_by_;
    Time accept_sent_at_{0};
};

} // namespace willowrill::replication
