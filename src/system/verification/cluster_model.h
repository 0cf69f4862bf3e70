// A core of a few members as one value that can be copied, stepped and hashed: the real replicas, with disks,
// links and clocks that are models, and an operator with a fixed list of orders. Every choice is a step from
// outside; nothing here is random.
//
// What a state is made of: the replicas with all that they hold, what their disks hold and are asked to
// write, the actions that a member has not carried out yet, the messages under way, the operator's questions,
// and what was seen so far, by which the promises are judged. Time stands still while anything is left to be
// done; then it goes on by one tick, at all members alike. Safety rests on no clock, so that one clock for
// all loses nothing but chances of who is first; those are steps of their own (a member that is frozen,
// a message that overtakes another).
//
// Left out: schedulers and their leases, lists, and the codecs; the queue of orders is a plain one.
#pragma once

#include "system/ownership/ownership.h"
#include "system/replication/replica.h"
#include "system/verification/state_hash.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::verification {

inline constexpr std::size_t member_count = 4; // three of the first epoch and a standby
using MemberIndex = std::uint8_t;

// One choice. Which ones there are is said by `ClusterModel::next` and `ClusterModel::disturbances`.
enum class StepKind : std::uint8_t {
    // What goes on by itself.
    carry_out,   // a member's next action
    finish_save, // a member's oldest save
    deliver,     // the oldest message from `member` to `other`
    tick,        // time goes on
    // Disturbances.
    lose,           // a message
    deliver_later,  // a copy of a message comes once more, `ticks` later
    overtake,       // a message is delivered before what would come first
    kill,           // the process ends; what the disk was asked for is written
    lose_power,     // the process ends; what the disk was asked for is not
    wipe,           // likewise, and the disk is empty afterwards
    refuse_save,    // the disk refuses the oldest save, which is not there afterwards
    refuse_written, // likewise, but it is there
    slow_disk,      // saves take until some ticks later
    cut,            // no message goes between the member and the others, for some ticks
    mute,           // no message of the member's arrives, for some ticks
    freeze,         // the member stands still for some ticks
};

struct Step {
    StepKind kind = StepKind::tick;
    MemberIndex member = 0, other = 0;
    std::uint8_t ticks = 0;
    bool operator==(const Step&) const = default;
};

// "b:1 loses power", for a trace.
std::string to_text(const Step& step);

// Deliberate breaks, each of which the search must find.
struct Breaks {
    bool forgets_registers = false;  // registers never reach the disk, but for the first
    bool hides_failures = false;     // a refused save is answered as if it had been done
    bool answers_for_others = false; // backups are taken to have stored what may never have reached them
    bool unconfirmed_reads = false;  // a member that takes itself for the primary answers at once
    bool forgets_orders = false;     // an order is applied without a look at whether it was
    bool always_current = false;     // a member always calls what it holds current
    bool reuses_tokens = false;      // each primary numbers fencing tokens from the beginning
};

class ClusterModel {
  public:
    explicit ClusterModel(Breaks breaks = {});

    // ---- Steps

    // What comes next where nothing disturbs it.
    Step next() const;
    // All disturbances that are possible now. `only_kinds`: empty for all.
    std::vector<Step> disturbances(const std::set<StepKind>& only_kinds) const;
    void apply(const Step& step);

    // ---- What was seen

    int ticks() const { return ticks_; }
    // The first promise that was broken, as a sentence; "" while all are kept.
    const std::string& violation() const { return violation_; }
    // To be asked at the end, a while after the last disturbance: "", or what should have happened and has
    // not.
    std::string missing_progress() const;
    StateHash hash() const;
    // The members' roles and what they hold, for a trace.
    std::string describe() const;

  private:
    struct Member {
        std::optional<replication::Replica> replica; // none while the process does not run
        replication::Loaded disk;
        std::deque<replication::Save> saves;    // asked for and not answered
        std::deque<replication::Action> outbox; // not carried out yet
        bool disk_failed = false;               // refuses all but what restores
        bool shutting_down = false;
        bool ended = false; // for good, after a shutdown
        std::uint32_t incarnation = 0;
        int restarts_at = 0, thaws_at = 0, heals_at = 0, speaks_at = 0, disk_quick_at = 0; // ticks; 0: now
        // What the operator has asked here and was not answered: by id of the question.
        std::map<std::uint64_t, std::set<int>> reads; // with the orders acknowledged when it was asked
        std::set<std::uint64_t> questions;
        replication::Position newest; // committed in this incarnation
        std::optional<ownership::RoleAssigner> roles;
        replication::Epoch roles_epoch = 0;
    };
    struct Envelope {
        std::uint64_t serial = 0;
        replication::Message message;
    };
    struct LateCopy {
        int at = 0; // ticks
        MemberIndex from = 0, to = 0;
        replication::Message message;
    };

    // ---- Processes and links
    replication::Options options_of(MemberIndex index) const;
    bool runs(MemberIndex index) const { return members_[index].replica.has_value(); }
    bool is_frozen(MemberIndex index) const { return members_[index].thaws_at > ticks_; }
    bool is_cut(MemberIndex index) const { return members_[index].heals_at > ticks_; }
    bool are_connected(MemberIndex one, MemberIndex other) const;
    void start(MemberIndex index);
    void stop(MemberIndex index, bool power_lost);
    void connect_all(MemberIndex index);
    void disconnect_all(MemberIndex index);
    void clear_links(MemberIndex index);
    void feed(MemberIndex index, const replication::Event& event);

    // ---- Steps
    void add_disturbances_of_messages(std::vector<Step>& out) const;
    void add_disturbances_of_member(MemberIndex index, std::vector<Step>& out) const;
    void carry_out(MemberIndex index);
    void send(MemberIndex from, const replication::Send& send);
    void forge_reply(MemberIndex to, const replication::Send& send);
    void finish_save(MemberIndex index, bool refused, bool written);
    void write(MemberIndex index, const replication::DiskRecord& record);
    void deliver(MemberIndex from, MemberIndex to);
    void tick();
    void end_what_is_over();

    // ---- The operator
    void act_as_operator();
    void ask(MemberIndex index, int order);
    void ask_to_read(MemberIndex index);
    void on_confirmed(MemberIndex index, std::uint64_t question);
    void on_committed(MemberIndex index, std::uint64_t question);
    void assign_roles(MemberIndex index);

    // ---- Judging
    void judge(MemberIndex index);
    void judge_read(MemberIndex index, const std::set<int>& acknowledged);
    void violate(const std::string& what);

    Breaks breaks_;
    Time now_;
    int ticks_ = 0;
    std::array<Member, member_count> members_;
    std::array<std::array<std::deque<Envelope>, member_count>, member_count> links_; // from, to
    std::vector<LateCopy> late_copies_;
    std::uint64_t serials_ = 0;
    int wiped_ = 0;

    // What was seen.
    std::string violation_;
    std::map<replication::Epoch, MemberIndex> primaries_;
    std::map<replication::Position, std::string> committed_;
    std::map<int, int> acknowledged_; // order to the tick at which it was
    std::set<int> read_back_;         // what the newest answer to a read held
    int read_back_at_ = 0;            // ticks
    std::map<discovery::FencingToken, std::string> token_owners_;
};

} // namespace willowrill::verification
