#include "system/simulation/cluster.h"

#include "system/simulation/scheduler.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace willowrill::simulation {
namespace {

constexpr Time sync_time{4000};    // a core that was whole for so long has repaired itself
constexpr Time contact_time{4000}; // machines are in touch so long after the last fault began or ended
constexpr Time settle_time{15000}; // after the last fault
constexpr Time longest_recovery{8000};
constexpr Time first_fault{3000}; // nothing fails while the core starts for the first time
constexpr Time check_period{200};
constexpr Time restart_delay{500};
constexpr NodeId first_scheduler_node = 1000;
constexpr std::size_t most_members = 24; // that ever run, replacements included

class Cluster {
  public:
    explicit Cluster(const Plan& plan)
        : plan_(plan), queue_(plan.seed), network_(queue_),
          history_(queue_), world_{queue_,
                                   network_,
                                   history_,
                                   plan.tolerated,
                                   {},
                                   [this](const MemberId& id) { return find(id); },
                                   plan.replays,
                                   plan.break_answers_for_others,
                                   plan.break_always_current,
                                   plan.break_no_turns,
                                   plan.trace},
          operators_(world_, members_, habits(plan)) {
        for (std::size_t i = 0; i < plan.members; ++i) {
            add_member(true);
            if (i < plan.seeds) world_.seeds.push_back(members_.back().id());
        }
        for (std::size_t i = 0; i < plan.schedulers; ++i)
            schedulers_.emplace_back(world_, first_scheduler_node + i, fmt::format("scheduler-{}", i));
        members_.front().fails_as_primary = plan.fails_as_primary;
    }

    Outcome play() {
        for (Member& member : members_)
            queue_.after(Time(queue_.uniform(300)), [&member] { member.start(); });
        for (Scheduler& scheduler : schedulers_)
            queue_.after(Time(queue_.uniform(300)), [&scheduler] { scheduler.start(); });
        operators_.start();
        watch();
        if (plan_.fault_gap.count() > 0) queue_.after(first_fault, [this] { schedule_fault(); });
        queue_.run_until(plan_.length);
        if (plan_.final_fault) final_fault();
        faults_over_ = true;
        heal();
        const Time calm = queue_.now();
        queue_.run_until(calm + settle_time);
        const Time first = history_.first_acknowledgement_after(calm);
        if (first < Time{0} || first - calm > longest_recovery)
            history_.violation("no order was acknowledged in time after the last fault");
        else
            history_.outcome().back_after = first - calm;
        final_read();
        return history_.close();
    }

  private:
    static Operators::Habits habits(const Plan& plan) {
        Operators::Habits out = plan.operators;
        out.unconfirmed_reads = plan.break_unconfirmed_reads;
        return out;
    }

    Member* find(const MemberId& id) {
        const auto found = std::ranges::find(members_, id, &Member::id);
        return found == members_.end() ? nullptr : &*found;
    }

    Member& add_member(bool initial_start) {
        const std::size_t number = members_.size();
        Member& member =
            members_.emplace_back(world_, number, fmt::format("10.{}.0.1:8000", number + 1), initial_start);
        member.disk().forgets_registers = plan_.break_forgets_registers;
        member.disk().hides_failures = plan_.break_hides_failures;
        member.break_remembers = plan_.break_forgets_orders;
        return member;
    }

    std::vector<Member*> present() {
        std::vector<Member*> out;
        for (Member& member : members_)
            if (!member.removed) out.push_back(&member);
        return out;
    }

    Member& some_member() {
        const auto all = present();
        return *all[queue_.index(all.size())];
    }

    // ---- What is watched ---------------------------------------------------------------------------------

    bool disk_is_well(Member& member) const {
        const Disk& disk = member.disk();
        return queue_.now() >= disk.stalled_until && queue_.now() >= disk.refusing_until;
    }

    bool healthy(Member& member) const { return member.answers() && disk_is_well(member); }

    // Healthy members that reach enough others to decide, whatever else is wrong.
    std::vector<Member*> deciding() {
        const auto all = present();
        std::vector<Member*> out;
        for (Member* member : all) {
            if (!healthy(*member)) continue;
            const auto reached = std::ranges::count_if(all, [&](Member* other) {
                return other != member && healthy(*other) && network_.reaches(member->node(), other->node());
            });
            if (static_cast<std::size_t>(reached) + 1 >= all.size() - plan_.tolerated) out.push_back(member);
        }
        return out;
    }

    bool whole() {
        const auto all = present();
        if (all.size() != plan_.members) return false;
        return std::ranges::all_of(all, [&](Member* one) {
            return healthy(*one) && std::ranges::all_of(all, [&](Member* other) {
                       return other == one || network_.reaches(one->node(), other->node());
                   });
        });
    }

    void watch() {
        if (!whole()) whole_since_ = Time{-1};
        if (whole() && whole_since_ < Time{0}) whole_since_ = queue_.now();
        if (whole_since_ >= Time{0} && queue_.now() - whole_since_ >= sync_time) {
            if (plan_.trace && disks_lost_ > 0)
                fmt::print(stderr, "{} disks made good\n", queue_.now().count());
            disks_lost_ = 0;
        }
        check_schedulers();
        queue_.after(check_period, [this] { watch(); });
    }

    // What is in force at schedulers in touch while the core is stable.
    void check_schedulers() {
        if (queue_.now() - last_event_ < contact_time) return;
        const auto core = deciding();
        // A disk that was lost counts as a loss until it is made good.
        if (core.size() + plan_.tolerated < present().size() + disks_lost_) return;
        for (Scheduler& scheduler : schedulers_) {
            if (!scheduler.up() || queue_.now() - scheduler.started() < contact_time) continue;
            const bool in_touch = std::ranges::all_of(
                core, [&](Member* member) { return network_.reaches(scheduler.node(), member->node()); });
            if (in_touch) history_.in_force(scheduler.name(), scheduler.version(), scheduler.evacuated());
        }
    }

    // ---- Faults ------------------------------------------------------------------------------------------

    void note_event() { last_event_ = queue_.now(); }

    // Runs the end of a fault, which is an event of its own.
    void end_after(Time duration, std::function<void()> end) {
        queue_.after(duration, [this, end = std::move(end)] {
            note_event();
            end();
        });
    }

    bool may_lose_disk() {
        if (!plan_.wipes || disks_lost_ >= plan_.tolerated) return false;
        ++disks_lost_;
        whole_since_ = Time{-1};
        return true;
    }

    void schedule_fault() {
        const auto mean = plan_.fault_gap.count();
        // Now and then a second one comes during the repair of the first.
        const Time gap = queue_.chance() < 0.25 ? Time(queue_.uniform(1500))
                                                : Time(mean / 4 + queue_.uniform(mean * 3 / 2));
        queue_.after(gap, [this] {
            if (faults_over_) return;
            ++history_.outcome().faults;
            note_event();
            fault();
            schedule_fault();
        });
    }

    Time some_duration() {
        const auto longest = plan_.longest_fault.count();
        return Time(200 + queue_.uniform(queue_.chance() < 0.1 ? 4 * longest : longest));
    }

    void fault() {
        using Fault = void (Cluster::*)(Time);
        static constexpr Fault always[] = {
            &Cluster::kill_one,     &Cluster::lose_power_of_one, &Cluster::freeze_one,
            &Cluster::cut_off_one,  &Cluster::cut_off_one,       &Cluster::cut_one_way,
            &Cluster::split_halves, &Cluster::reset_one,         &Cluster::restart_scheduler,
            &Cluster::roll_one,     &Cluster::turn_over_seeds,   &Cluster::cut_scheduler,
            &Cluster::wipe_one,     &Cluster::lose_one_ring};
        static constexpr Fault of_disks[] = {&Cluster::refuse_saves, &Cluster::refuse_saves,
                                             &Cluster::stall_disk, &Cluster::slow_disk};
        static constexpr Fault of_herds[] = {&Cluster::kill_all, &Cluster::lose_all_power,
                                             &Cluster::kill_some};
        static constexpr Fault of_replacement[] = {&Cluster::replace_planned, &Cluster::replace_unplanned};
        std::vector<Fault> all(std::begin(always), std::end(always));
        if (plan_.disk_faults) all.insert(all.end(), std::begin(of_disks), std::end(of_disks));
        if (plan_.herds) all.insert(all.end(), std::begin(of_herds), std::end(of_herds));
        if (plan_.replacements) all.insert(all.end(), std::begin(of_replacement), std::end(of_replacement));
        const std::size_t chosen = queue_.index(all.size());
        const Time duration = some_duration();
        if (plan_.trace)
            fmt::print(stderr, "{} fault {} for {}\n", queue_.now().count(), chosen, duration.count());
        (this->*all[chosen])(duration);
    }

    void stop_for(Member& member, Time duration, bool power_lost) {
        whole_since_ = Time{-1};
        member.stop(power_lost);
        end_after(duration, [&member] { member.start(); });
    }

    void kill_one(Time duration) { stop_for(some_member(), std::min(duration, restart_delay), false); }
    void lose_power_of_one(Time duration) { stop_for(some_member(), duration, true); }

    void wipe_one(Time duration) {
        Member& member = some_member();
        stop_for(member, duration, true);
        if (may_lose_disk()) member.disk().wipe();
    }

    void lose_one_ring(Time duration) {
        Member& member = some_member();
        stop_for(member, std::min(duration, restart_delay), true);
        if (!may_lose_disk()) return;
        if (queue_.chance() < 0.5)
            member.disk().lose_registers();
        else
            member.disk().lose_states();
    }

    void freeze_one(Time duration) {
        // One that wakes may still take itself for the primary: somebody asks it before it has read anything.
        end_after(duration + Time{1}, [this] { operators_.read_at_some_primary(); });
        some_member().freeze(duration);
    }

    void cut_pair(NodeId one, NodeId other, bool out, bool in) {
        if (out) network_.cut(one, other);
        if (in) network_.cut(other, one);
    }

    void cut_off(Member& member, Time duration, bool out, bool in, bool from_schedulers) {
        for (Member* other : present())
            if (other != &member) cut_pair(member.node(), other->node(), out, in);
        if (from_schedulers)
            for (const Scheduler& scheduler : schedulers_)
                cut_pair(member.node(), scheduler.node(), out, in);
        end_after(duration, [this, node = member.node()] { heal_node(node); });
    }

    void heal_node(NodeId node) {
        for (const Member& other : members_) {
            network_.heal(node, other.node());
            network_.heal(other.node(), node);
        }
        for (const Scheduler& scheduler : schedulers_) {
            network_.heal(node, scheduler.node());
            network_.heal(scheduler.node(), node);
        }
    }

    // With restarts inside the cut now and then, on both sides.
    void cut_off_one(Time duration) {
        Member& member = some_member();
        cut_off(member, duration, true, true, queue_.chance() < 0.3);
        if (queue_.chance() < 0.3)
            queue_.after(duration / 2, [this, &member] { stop_for(member, restart_delay, false); });
        if (queue_.chance() < 0.2) queue_.after(duration / 2, [this] { kill_one(restart_delay); });
        if (queue_.chance() < 0.2)
            end_after(duration + Time{50}, [this, &member] {
                for (Member* other : present())
                    if (other != &member) stop_for(*other, restart_delay, false);
            });
    }

    void cut_one_way(Time duration) {
        const bool out = queue_.chance() < 0.5;
        cut_off(some_member(), duration, out, !out, false);
    }

    void split_halves(Time duration) {
        auto all = present();
        for (std::size_t i = 0; i < all.size(); ++i)
            std::swap(all[i], all[queue_.index(all.size())]);
        const std::size_t half = all.size() / 2;
        for (std::size_t i = 0; i < half; ++i)
            for (std::size_t j = half; j < all.size(); ++j)
                cut_pair(all[i]->node(), all[j]->node(), true, true);
        end_after(duration, [this] { network_.heal_all(); });
    }

    void reset_one(Time) { network_.reset_connections(some_member().node()); }

    void restart_scheduler(Time duration) {
        Scheduler& scheduler = schedulers_[queue_.index(schedulers_.size())];
        scheduler.stop();
        end_after(std::min(duration, restart_delay), [&scheduler] { scheduler.start(); });
    }

    void cut_scheduler(Time duration) {
        const Scheduler& scheduler = schedulers_[queue_.index(schedulers_.size())];
        for (Member* member : present())
            if (queue_.chance() < 0.6) cut_pair(scheduler.node(), member->node(), true, true);
        end_after(duration, [this, node = scheduler.node()] { heal_node(node); });
    }

    void roll_one(Time) {
        Member& member = some_member();
        member.leave([this, &member] { end_after(restart_delay, [&member] { member.start(); }); });
    }

    void turn_over_seeds(Time) {
        auto all = present();
        world_.seeds.clear();
        while (!all.empty() && world_.seeds.size() < plan_.seeds) {
            const std::size_t i = queue_.index(all.size());
            world_.seeds.push_back(all[i]->id());
            all.erase(all.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void replace_planned(Time) {
        if (members_.size() >= most_members || present().size() > plan_.members || !may_lose_disk()) return;
        Member& old = some_member();
        add_member(false).start();
        end_after(Time{1000}, [this, &old] {
            if (!old.up()) return void(old.removed = true);
            old.leave([this, &old] {
                note_event();
                whole_since_ = Time{-1};
                old.removed = true;
            });
        });
    }

    void replace_unplanned(Time) {
        if (members_.size() >= most_members || present().size() > plan_.members || !may_lose_disk()) return;
        Member& old = some_member();
        old.stop(true);
        old.removed = true;
        end_after(Time{1000}, [this] { add_member(false).start(); });
    }

    void refuse_saves(Time duration) {
        Disk& disk = some_member().disk();
        disk.refusing_until = queue_.now() + duration;
        end_after(duration, [] {});
        if (queue_.chance() < 0.5) kill_one(duration);
    }

    void stall_disk(Time duration) {
        some_member().disk().stalled_until = queue_.now() + duration;
        end_after(duration, [] {});
    }

    void slow_disk(Time duration) {
        Disk& disk = some_member().disk();
        disk.sync_time = Time{150};
        end_after(duration, [&disk] { disk.sync_time = Time{5}; });
    }

    void kill_all(Time) {
        for (Member* member : present())
            stop_for(*member, Time(1 + queue_.uniform(900)), false);
    }

    void kill_some(Time) {
        for (Member* member : present())
            if (queue_.chance() < 0.6) stop_for(*member, Time(1 + queue_.uniform(900)), false);
    }

    void lose_all_power(Time duration) {
        for (Member* member : present())
            stop_for(*member, duration, true);
    }

    // Everyone loses power, and as many as are tolerated their disks.
    void final_fault() {
        ++history_.outcome().faults;
        note_event();
        heal();
        auto all = present();
        for (std::size_t i = 0; i < all.size(); ++i)
            std::swap(all[i], all[queue_.index(all.size())]);
        for (Member* member : all) {
            stop_for(*member, Time(1 + queue_.uniform(1400)), true);
            if (may_lose_disk()) member->disk().wipe();
        }
    }

    void heal() {
        note_event();
        network_.heal_all();
        for (Member* member : present()) {
            member->thaw();
            Disk& disk = member->disk();
            disk.refusing_until = disk.stalled_until = Time{0};
            disk.sync_time = Time{5};
            queue_.after(Time(1500), [member] { member->start(); });
        }
        for (Scheduler& scheduler : schedulers_)
            scheduler.start();
    }

    void final_read() {
        const std::size_t before = history_.reads();
        constexpr int tries = 20;
        constexpr Time pause{1000};
        for (int i = 0; i < tries && history_.reads() == before; ++i) {
            operators_.read_anywhere();
            queue_.run_until(queue_.now() + pause);
        }
        if (history_.reads() == before) history_.violation("the configuration could not be read back");
    }

    Plan plan_;
    EventQueue queue_;
    Network network_;
    History history_;
    World world_;
    std::deque<Member> members_;
    std::deque<Scheduler> schedulers_;
    Operators operators_;
    bool faults_over_ = false;
    Time last_event_{0};
    Time whole_since_{-1};
    std::size_t disks_lost_ = 0; // and not made good yet
};

} // namespace

Outcome run(const Plan& plan) { return Cluster(plan).play(); }

} // namespace willowrill::simulation
