#include "simulation/cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace willowrill::simulation {

using configuration::ControlState;
using configuration::Version;
using errors::ErrorKind;

// ---- Disk ------------------------------------------------------------------------------------------------

template <class T> bool Disk::store(std::optional<T>& place, const T& value, bool lost) {
    if (chance_() < crash_chance) {
        if (chance_() < 0.5 && !lost) place = value;
        throw Crash{};
    }
    if (!lost) place = value;
    return true;
}

bool Disk::save(const replication::WitnessRegister& value) {
    return store(register_, value, forgets_registers && register_.has_value());
}

bool Disk::save(const replication::ReplicatedState& value) { return store(state_, value, false); }

void Disk::wipe() {
    register_.reset();
    state_.reset();
}

namespace {

constexpr Time tick_period{50};
constexpr Time sync_time{4000};     // a member counts as lost for so long after it is back
constexpr Time order_timeout{1000}; // an operator moves on after that
constexpr Time settle_time{15000};  // after the last fault
constexpr Time longest_recovery{8000};

struct Member {
    MemberId id;
    std::unique_ptr<Disk> disk;
    std::unique_ptr<replication::Replica> replica;
    std::unique_ptr<control::OrderQueue> orders;
    std::deque<replication::Event> events;
    bool feeding = false;
    bool up = false;
    bool first_start = true;
    std::uint64_t life = 0;
    Time frozen_until{0};
    Time lost_until{0};
    replication::Position newest; // committed in this life
};

// What an operator asked for and was told.
struct Put {
    Version based_on = 0;
    Version version = 0;
    std::string body;
    bool acknowledged = false;
};

struct Scheduled {
    Time at{0};
    std::uint64_t serial = 0;
    std::function<void()> act;
    bool operator<(const Scheduled& other) const {
        return std::tie(other.at, other.serial) < std::tie(at, serial);
    }
};

std::string body_of(Version version, std::uint64_t author) {
    return fmt::format(R"({{"configVersion":{},"author":{},"routes":[],"services":[]}})", version, author);
}

class Cluster {
  public:
    explicit Cluster(const Plan& plan) : plan_(plan), random_(plan.seed) {
        for (std::size_t i = 0; i < plan.members; ++i) {
            Member& member = members_.emplace_back();
            member.id = fmt::format("10.{}.0.1:8000", i + 1);
            member.disk = std::make_unique<Disk>([this] { return chance(); });
            member.disk->forgets_registers = plan.break_forgets_registers;
            if (i < plan.seeds) seeds_.push_back(member.id);
        }
    }

    Outcome play() {
        for (std::size_t i = 0; i < members_.size(); ++i)
            after(Time(uniform(300)), [this, i] { start(i); });
        for (int author = 1; author <= 2; ++author)
            operate(Time(uniform(1000)), static_cast<std::uint64_t>(author));
        if (plan_.fault_gap.count() > 0) schedule_fault();
        run_until(plan_.length);
        if (plan_.final_fault) final_fault();
        faults_over_ = true;
        heal();
        const Time calm = now_;
        run_until(now_ + settle_time);
        if (last_ack_ > calm) outcome_.back_after = first_ack_after_ - calm;
        if (first_ack_after_ <= calm || outcome_.back_after > longest_recovery)
            violation("no order was acknowledged in time after the last fault");
        final_read();
        outcome_.epochs = epochs_.size();
        return outcome_;
    }

  private:
    // ---- Time and chance ---------------------------------------------------------------------------------

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::int64_t uniform(std::int64_t below) {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(random_);
    }

    void after(Time delay, std::function<void()> act) {
        queue_.push({now_ + delay, ++serial_, std::move(act)});
    }

    void run_until(Time end) {
        while (!queue_.empty() && queue_.top().at <= end) {
            const Scheduled next = queue_.top();
            queue_.pop();
            now_ = next.at;
            next.act();
        }
        now_ = end;
    }

    void violation(std::string what) {
        outcome_.violations.push_back(fmt::format("{} ms: {}", now_.count(), std::move(what)));
    }

    // ---- Processes ---------------------------------------------------------------------------------------

    void start(std::size_t i) {
        Member& member = members_[i];
        if (member.up) return;
        member.up = true;
        ++member.life;
        member.newest = {};
        replication::Options options;
        options.self = member.id;
        options.seeds = seeds_;
        options.initial_start = std::exchange(member.first_start, false);
        options.tolerated = plan_.tolerated;
        options.random_seed = random_();
        member.disk->crash_chance = 0; // a start that dies would only start again
        member.replica = std::make_unique<replication::Replica>(options, *member.disk);
        member.disk->crash_chance = faults_over_ ? 0 : plan_.crash_chance;
        member.orders = std::make_unique<control::OrderQueue>(
            [this, i](replication::Event event) { feed(i, std::move(event)); });
        for (std::size_t j = 0; j < members_.size(); ++j) {
            if (j == i || !members_[j].up) continue;
            connect(i, j);
            connect(j, i);
        }
        tick(i, member.life);
    }

    void connect(std::size_t from, std::size_t to) {
        deliver(from, Time(1 + uniform(60)), replication::PeerConnected{members_[to].id});
    }

    void stop(std::size_t i) {
        Member& member = members_[i];
        if (!member.up) return;
        member.up = false;
        ++member.life;
        member.events.clear();
        member.feeding = false;
        member.frozen_until = Time(0);
        // What it was asked and has not answered stays unanswered.
        dead_.push_back(std::move(member.orders));
        member.replica.reset();
        for (std::size_t j = 0; j < members_.size(); ++j)
            if (j != i && members_[j].up && !cut(i, j))
                deliver(j, Time(1 + uniform(40)), replication::PeerLost{member.id});
    }

    void tick(std::size_t i, std::uint64_t life) {
        Member& member = members_[i];
        if (!member.up || member.life != life) return;
        if (now_ >= member.frozen_until) feed(i, replication::Tick{});
        after(tick_period, [this, i, life] { tick(i, life); });
    }

    // Hands an event to a member later, if it then still lives; a frozen one gets it when it wakes.
    void deliver(std::size_t i, Time delay, replication::Event event) {
        const std::uint64_t life = members_[i].life;
        after(delay, [this, i, life, event = std::move(event)] {
            Member& member = members_[i];
            if (!member.up || member.life != life) return;
            if (now_ < member.frozen_until) return deliver(i, member.frozen_until - now_ + Time(1), event);
            feed(i, event);
        });
    }

    void feed(std::size_t i, replication::Event event) {
        Member& member = members_[i];
        if (!member.up) return;
        member.events.push_back(std::move(event));
        if (std::exchange(member.feeding, true)) return;
        const std::uint64_t life = member.life;
        try {
            while (member.up && member.life == life && !member.events.empty()) {
                const replication::Event next = std::move(member.events.front());
                member.events.pop_front();
                std::vector<replication::Action> actions;
                member.replica->step(now_, next, actions);
                for (const replication::Action& action : actions)
                    if (member.up && member.life == life) carry_out(i, action);
            }
        } catch (const Crash&) {
            ++outcome_.faults;
            stop(i);
            lose(i, Time(500));
            after(Time(500), [this, i] { start(i); });
            return;
        }
        if (member.life == life) member.feeding = false;
    }

    void carry_out(std::size_t i, const replication::Action& action) {
        Member& member = members_[i];
        if (const auto* send = std::get_if<replication::Send>(&action)) return transmit(i, *send);
        if (const auto* done = std::get_if<replication::Committed>(&action)) return member.orders->on(*done);
        if (const auto* undecided = std::get_if<replication::Undecided>(&action))
            return member.orders->on(*undecided);
        if (const auto* confirmed = std::get_if<replication::Confirmed>(&action))
            return member.orders->on(*confirmed);
        on_committed(i);
    }

    // Members agree on what stands at a position, and none goes back within its life.
    void on_committed(std::size_t i) {
        Member& member = members_[i];
        const replication::ReplicatedState& state = member.replica->committed();
        if (state.position < member.newest) violation(member.id + " went back");
        member.newest = state.position;
        const auto [known, fresh] = committed_.emplace(state.position, *state.content);
        if (!fresh && known->second != *state.content) violation("two states at one position");
        member.orders->on_state(configuration::decode(*state.content).value());
        epochs_.insert(member.replica->witness_register().decided.epoch);
    }

    // ---- Links -------------------------------------------------------------------------------------------

    bool cut(std::size_t from, std::size_t to) const { return cuts_.contains({from, to}); }

    std::size_t index_of(const MemberId& id) const {
        return static_cast<std::size_t>(std::ranges::find(members_, id, &Member::id) - members_.begin());
    }

    // In order for a pair, and lost where the link is cut.
    void transmit(std::size_t from, const replication::Send& send) {
        const std::size_t to = index_of(send.to);
        if (to >= members_.size() || !members_[to].up || cut(from, to)) return;
        if (const auto* request = std::get_if<replication::ReplicateRequest>(&send.message);
            request != nullptr && plan_.break_answers_for_others) {
            const replication::ReplicateReply forged{request->epoch, request->state.position, true,
                                                     request->epoch};
            deliver(from, Time(1), replication::Received{send.to, forged});
            if (chance() < 0.5) return;
        }
        Time& last = last_arrival_[{from, to}];
        const Time arrival = std::max(last, now_ + Time(20 + uniform(10)));
        last = arrival;
        deliver(to, arrival - now_, replication::Received{members_[from].id, send.message});
    }

    // ---- Faults ------------------------------------------------------------------------------------------

    void lose(std::size_t i, Time duration) { members_[i].lost_until = now_ + duration + sync_time; }

    std::size_t lost() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(members_, [&](const Member& m) { return now_ < m.lost_until; }));
    }

    void schedule_fault() {
        const auto mean = plan_.fault_gap.count();
        after(Time(mean / 4 + uniform(mean * 3 / 2)), [this] {
            if (faults_over_) return;
            if (lost() < plan_.tolerated) fault();
            schedule_fault();
        });
    }

    void fault() {
        ++outcome_.faults;
        const auto i = static_cast<std::size_t>(uniform(static_cast<std::int64_t>(members_.size())));
        const Time duration(200 + uniform(5000));
        switch (uniform(plan_.herds ? 6 : 5)) {
        case 0: // killed or without power
            stop(i);
            after(duration, [this, i] { start(i); });
            return lose(i, duration);
        case 1: // back with an empty disk
            stop(i);
            if (plan_.wipes) members_[i].disk->wipe();
            after(duration, [this, i] { start(i); });
            return lose(i, duration);
        case 2:
            members_[i].frozen_until = now_ + duration;
            // One that wakes may still take itself for the primary: somebody asks it at once.
            after(duration + Time(1), [this] { read(0); });
            return lose(i, duration);
        case 3:
            return cut_off(i, duration, true, true);
        case 4:
            return cut_off(i, duration, uniform(2) == 0, uniform(2) == 0);
        default:
            for (std::size_t j = 0; j < members_.size(); ++j) {
                stop(j);
                after(Time(uniform(900)), [this, j] { start(j); });
                lose(j, Time(900));
            }
        }
    }

    void cut_off(std::size_t i, Time duration, bool out, bool in) {
        for (std::size_t j = 0; j < members_.size(); ++j) {
            if (j == i) continue;
            if (out) cuts_.insert({i, j});
            if (in) cuts_.insert({j, i});
        }
        after(duration, [this, i] {
            std::erase_if(cuts_, [&](const auto& link) { return link.first == i || link.second == i; });
        });
        lose(i, duration);
    }

    // Everyone loses power, and as many as are tolerated their disks.
    void final_fault() {
        ++outcome_.faults;
        heal();
        std::vector<std::size_t> all(members_.size());
        for (std::size_t i = 0; i < all.size(); ++i)
            all[i] = i;
        std::ranges::shuffle(all, random_);
        // A disk is lost only where no other loss still counts.
        const std::size_t wiped = plan_.wipes && lost() == 0 ? plan_.tolerated : 0;
        for (std::size_t n = 0; n < all.size(); ++n) {
            const std::size_t i = all[n];
            stop(i);
            if (n < wiped) members_[i].disk->wipe();
            after(Time(uniform(1400)), [this, i] { start(i); });
        }
    }

    void heal() {
        cuts_.clear();
        for (std::size_t i = 0; i < members_.size(); ++i) {
            members_[i].frozen_until = std::min(members_[i].frozen_until, now_);
            if (members_[i].up && members_[i].disk) members_[i].disk->crash_chance = 0;
        }
    }

    // ---- Operators ---------------------------------------------------------------------------------------

    // One operator: puts a configuration on the newest version it knows of, or reads, again and again.
    void operate(Time delay, std::uint64_t author) {
        after(delay, [this, author] {
            if (chance() < 0.3)
                read(author);
            else
                put(author);
            operate(Time(150 + uniform(500)), author);
        });
    }

    std::optional<std::size_t> some_primary() {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < members_.size(); ++i)
            if (members_[i].up && now_ >= members_[i].frozen_until && members_[i].replica->is_primary())
                found.push_back(i);
        if (found.empty()) return std::nullopt;
        return found[static_cast<std::size_t>(uniform(static_cast<std::int64_t>(found.size())))];
    }

    void put(std::uint64_t author) {
        const auto i = some_primary();
        if (!i) return;
        // Now and then an order that had no clear answer is sent again, unchanged.
        std::shared_ptr<Put> pending = pending_[author];
        const bool again = pending != nullptr;
        if (!again) pending = std::make_shared<Put>();
        if (!again) {
            pending->based_on = newest_seen_;
            pending->version = newest_seen_ + 1 + static_cast<Version>(uniform(4));
            pending->body = body_of(pending->version, author * 1'000'000 + ++orders_);
            pending_[author] = pending;
            sent_[pending->version].insert(pending->body);
        }
        const Time asked = now_;
        members_[*i].orders->submit(configuration::PutConfiguration{pending->based_on, pending->body},
                                    [this, author, pending, asked](control::OrderResult result) {
                                        if (now_ - asked > order_timeout) return; // the operator has moved on
                                        if (result)
                                            acknowledged(author, *pending);
                                        else if (errors::answer_to(result.error().kind).status < 500)
                                            refused(author, *pending, result.error().kind);
                                    });
    }

    void acknowledged(std::uint64_t author, Put& order) {
        pending_[author] = nullptr;
        if (std::exchange(order.acknowledged, true)) return;
        ++outcome_.acknowledged;
        last_ack_ = now_;
        if (faults_over_ && first_ack_after_ == Time(0)) first_ack_after_ = now_;
        newest_seen_ = std::max(newest_seen_, order.version);
        newest_acknowledged_ = std::max(newest_acknowledged_, order.version);
        const auto [other, fresh] = acknowledged_on_.emplace(order.based_on, order.body);
        if (!fresh && other->second != order.body)
            violation(fmt::format("two changes on version {} were acknowledged", order.based_on));
        acknowledged_body_[order.version] = order.body;
    }

    void refused(std::uint64_t author, Put& order, ErrorKind kind) {
        ++outcome_.refused;
        if (order.acknowledged) violation("an order that was taken was refused");
        if (kind == ErrorKind::invalid_configuration) violation("a valid configuration was called invalid");
        refused_.insert(order.body);
        pending_[author] = nullptr;
        read(author); // to learn the current version
    }

    void read(std::uint64_t /*author*/) {
        const auto i = some_primary();
        if (!i) return;
        const Version at_least = newest_acknowledged_;
        const Time asked = now_;
        if (plan_.break_unconfirmed_reads) {
            const auto state = configuration::decode(*members_[*i].replica->committed().content);
            return check_read(state.value().configuration, at_least);
        }
        members_[*i].orders->read([this, at_least, asked](errors::Result<std::string> text) {
            if (text && now_ - asked <= order_timeout) check_read(text.value(), at_least);
        });
    }

    void check_read(const std::string& text, Version at_least) {
        ++outcome_.reads;
        Version version = 0;
        if (!text.empty()) {
            version = configuration::parse(text).value().version;
            if (!sent_[version].contains(text)) violation("a configuration that nobody sent was read");
            if (refused_.contains(text)) violation("a refused configuration is in force");
            const auto known = acknowledged_body_.find(version);
            if (known != acknowledged_body_.end() && known->second != text)
                violation(fmt::format("version {} is not what was acknowledged", version));
        }
        if (version < at_least)
            violation(fmt::format("version {} was read after {} was acknowledged", version, at_least));
        newest_seen_ = std::max(newest_seen_, version);
    }

    void final_read() {
        const std::size_t before = outcome_.reads;
        for (int tries = 0; tries < 20 && outcome_.reads == before; ++tries) {
            read(0);
            run_until(now_ + order_timeout);
        }
        if (outcome_.reads == before) violation("the configuration could not be read back");
    }

    Plan plan_;
    std::mt19937_64 random_;
    Time now_{0};
    std::uint64_t serial_ = 0;
    std::priority_queue<Scheduled> queue_;
    std::deque<Member> members_;
    std::vector<MemberId> seeds_;
    std::vector<std::unique_ptr<control::OrderQueue>> dead_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<std::pair<std::size_t, std::size_t>, Time> last_arrival_;
    bool faults_over_ = false;
    Time last_ack_{0}, first_ack_after_{0};

    std::uint64_t orders_ = 0;
    Version newest_seen_ = 0, newest_acknowledged_ = 0;
    std::map<std::uint64_t, std::shared_ptr<Put>> pending_; // by author
    std::map<Version, std::set<std::string>> sent_;
    std::map<Version, std::string> acknowledged_on_, acknowledged_body_;
    std::set<std::string> refused_;
    std::map<replication::Position, std::string> committed_;
    std::set<replication::Epoch> epochs_;
    Outcome outcome_;
};

} // namespace

Outcome run(const Plan& plan) { return Cluster(plan).play(); }

} // namespace willowrill::simulation
