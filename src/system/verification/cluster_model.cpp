#include "system/verification/cluster_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace willowrill::verification {
namespace {

using namespace replication;

const std::array<MemberId, member_count> ids{"a:1", "b:1", "c:1", "d:1"};
constexpr std::size_t first_members = 3;
constexpr std::size_t tolerated = 1;
constexpr const char* role_key = "zone";

constexpr Time tick_time{250};
constexpr Time start_time{100000};
// Beyond every timeout below: of two times further off than this, nobody can tell which is the older.
constexpr Time horizon{3100};
constexpr Time contact_validity{900};

constexpr int ticks_until_restart = 2;
constexpr int disturbance_ticks = 8; // of a cut, a freeze, a disk that is slow

// The operator's list: when each order is first sent. Order 3 is an evacuation, which is an order like any
// other to the replicas; it is here as the one that is sent while a member shuts down.
constexpr std::array<int, 3> order_ticks{4, 9, 18};
constexpr int shutdown_tick = 16;
constexpr MemberIndex shut_down_member = 2;
constexpr int max_read_age_ticks = 8; // at the end: the state was read so lately
constexpr int read_age_horizon = 32;  // ticks; older reads are alike to the hash

// Questions of the operator, by what they are for.
constexpr std::uint64_t read_question = 1;
constexpr std::uint64_t first_confirm_question = 10; // and the order
constexpr std::uint64_t first_propose_question = 20; // and the order

Timing model_timing() {
    Timing out;
    out.initial_growth = Time{1000};
    out.election_backoff_max = Time{2000};
    return out;
}

MemberIndex index_of(const MemberId& id) {
    return static_cast<MemberIndex>(std::ranges::find(ids, id) - ids.begin());
}

// The replicated state is the list of orders applied: "1,2,".
std::string with_order(const std::string& content, int order) {
    return content + std::to_string(order) + ",";
}

std::vector<int> orders_in(const std::string& content) {
    std::vector<int> out;
    for (const char c : content)
        if (c != ',') out.push_back(c - '0');
    return out;
}

bool contains_order(const std::string& content, int order) {
    return std::ranges::count(orders_in(content), order) > 0;
}

const char* name_of(StepKind kind) {
    static constexpr std::array<const char*, 16> names{"carries out its next action",
                                                       "has its oldest save done",
                                                       "is heard by",
                                                       "time goes on",
                                                       "is not heard by, once:",
                                                       "is heard again, later, by",
                                                       "is heard before others by",
                                                       "is killed",
                                                       "loses power",
                                                       "loses power and its disk",
                                                       "has a save refused",
                                                       "has a save refused that is there all the same",
                                                       "has a slow disk",
                                                       "is cut off",
                                                       "is heard by nobody",
                                                       "is frozen"};
    return names[static_cast<std::size_t>(kind)];
}

} // namespace

std::string to_text(const Step& step) {
    if (step.kind == StepKind::tick) return name_of(step.kind);
    std::string out = fmt::format("{} {}", ids[step.member], name_of(step.kind));
    const bool of_message = step.kind == StepKind::deliver || step.kind == StepKind::lose ||
                            step.kind == StepKind::deliver_later || step.kind == StepKind::overtake;
    if (of_message) out += " " + ids[step.other];
    return out;
}

ClusterModel::ClusterModel(Breaks breaks) : breaks_(breaks), now_(start_time) {
    for (MemberIndex index = 0; index < member_count; ++index)
        start(index);
}

// ---- Processes and links ---------------------------------------------------------------------------------

Options ClusterModel::options_of(MemberIndex index) const {
    Options out;
    out.self = ids[index];
    out.initial_start = ticks_ == 0 && index < first_members;
    out.seeds.assign(ids.begin(), ids.begin() + first_members);
    out.tolerated_losses = tolerated;
    out.timing = model_timing();
    out.random_seed = members_[index].incarnation;
    return out;
}

bool ClusterModel::are_connected(MemberIndex one, MemberIndex other) const {
    return one != other && runs(one) && runs(other) && !is_cut(one) && !is_cut(other);
}

void ClusterModel::start(MemberIndex index) {
    Member& member = members_[index];
    ++member.incarnation;
    member.restarts_at = 0;
    member.newest = {};
    member.replica.emplace(options_of(index));
    feed(index, member.disk);
    connect_all(index);
}

void ClusterModel::stop(MemberIndex index, bool power_lost) {
    Member& member = members_[index];
    if (!power_lost) {
        for (const Save& save : member.saves)
            if (!member.disk_failed) write(index, save.record);
        disconnect_all(index);
    }
    member.replica.reset();
    member.saves.clear();
    member.outbox.clear();
    member.disk_failed = false;
    member.reads.clear();
    member.questions.clear();
    member.roles.reset();
    member.thaws_at = 0;
    clear_links(index);
    if (!member.ended) member.restarts_at = ticks_ + ticks_until_restart;
}

void ClusterModel::connect_all(MemberIndex index) {
    for (MemberIndex other = 0; other < member_count; ++other) {
        if (!are_connected(index, other)) continue;
        feed(index, PeerConnected{ids[other]});
        feed(other, PeerConnected{ids[index]});
    }
}

void ClusterModel::clear_links(MemberIndex index) {
    for (MemberIndex other = 0; other < member_count; ++other) {
        links_[index][other].clear();
        links_[other][index].clear();
    }
}

void ClusterModel::disconnect_all(MemberIndex index) {
    clear_links(index);
    for (MemberIndex other = 0; other < member_count; ++other) {
        if (!are_connected(index, other)) continue;
        feed(other, PeerDisconnected{ids[index]});
        feed(index, PeerDisconnected{ids[other]});
    }
}

void ClusterModel::feed(MemberIndex index, const Event& event) {
    Member& member = members_[index];
    std::vector<Action> actions;
    member.replica->step(now_, event, actions);
    for (Action& action : actions)
        member.outbox.push_back(std::move(action));
    judge(index);
}

// ---- What comes next -------------------------------------------------------------------------------------

Step ClusterModel::next() const {
    for (MemberIndex index = 0; index < member_count; ++index)
        if (runs(index) && !is_frozen(index) && !members_[index].outbox.empty())
            return {StepKind::carry_out, index};
    for (MemberIndex index = 0; index < member_count; ++index) {
        const Member& member = members_[index];
        const bool is_slow = member.disk_quick_at > ticks_;
        if (runs(index) && !is_frozen(index) && !is_slow && !member.saves.empty())
            return {StepKind::finish_save, index};
    }
    std::optional<Step> oldest;
    std::uint64_t serial = 0;
    for (MemberIndex from = 0; from < member_count; ++from) {
        for (MemberIndex to = 0; to < member_count; ++to) {
            const auto& link = links_[from][to];
            if (link.empty() || is_frozen(to)) continue;
            if (oldest && link.front().serial > serial) continue;
            oldest = Step{StepKind::deliver, from, to};
            serial = link.front().serial;
        }
    }
    return oldest.value_or(Step{StepKind::tick});
}

std::vector<Step> ClusterModel::disturbances(const std::set<StepKind>& only_kinds) const {
    std::vector<Step> out;
    add_disturbances_of_messages(out);
    for (MemberIndex index = 0; index < member_count; ++index)
        if (runs(index)) add_disturbances_of_member(index, out);
    if (!only_kinds.empty())
        std::erase_if(out, [&](const Step& step) { return !only_kinds.contains(step.kind); });
    return out;
}

void ClusterModel::add_disturbances_of_messages(std::vector<Step>& out) const {
    const Step expected = next();
    for (MemberIndex from = 0; from < member_count; ++from) {
        for (MemberIndex to = 0; to < member_count; ++to) {
            if (links_[from][to].empty()) continue;
            out.push_back({StepKind::lose, from, to});
            out.push_back({StepKind::deliver_later, from, to, 1});
            out.push_back({StepKind::deliver_later, from, to, 6});
            if (expected != Step{StepKind::deliver, from, to} && !is_frozen(to))
                out.push_back({StepKind::overtake, from, to});
        }
    }
}

void ClusterModel::add_disturbances_of_member(MemberIndex index, std::vector<Step>& out) const {
    const Member& member = members_[index];
    out.push_back({StepKind::kill, index});
    out.push_back({StepKind::lose_power, index});
    if (wiped_ < static_cast<int>(tolerated)) out.push_back({StepKind::wipe, index});
    if (!member.saves.empty() && !is_frozen(index)) {
        out.push_back({StepKind::refuse_save, index});
        out.push_back({StepKind::refuse_written, index});
    }
    if (member.disk_quick_at <= ticks_) out.push_back({StepKind::slow_disk, index});
    if (!is_cut(index)) out.push_back({StepKind::cut, index});
    if (member.speaks_at <= ticks_) out.push_back({StepKind::mute, index});
    if (!is_frozen(index)) out.push_back({StepKind::freeze, index});
}

// ---- Steps -----------------------------------------------------------------------------------------------

void ClusterModel::apply(const Step& step) {
    Member& member = members_[step.member];
    auto& link = links_[step.member][step.other];
    switch (step.kind) {
    case StepKind::carry_out:
        return carry_out(step.member);
    case StepKind::finish_save:
        return finish_save(step.member, false, true);
    case StepKind::deliver:
    case StepKind::overtake:
        return deliver(step.member, step.other);
    case StepKind::tick:
        return tick();
    case StepKind::lose:
        return link.pop_front();
    case StepKind::deliver_later:
        late_copies_.push_back({ticks_ + step.ticks, step.member, step.other, link.front().message});
        return;
    case StepKind::kill:
        return stop(step.member, false);
    case StepKind::lose_power:
        return stop(step.member, true);
    case StepKind::wipe:
        stop(step.member, true);
        member.disk = {};
        ++wiped_;
        return;
    case StepKind::refuse_save:
        return finish_save(step.member, true, false);
    case StepKind::refuse_written:
        return finish_save(step.member, true, true);
    case StepKind::slow_disk:
        member.disk_quick_at = ticks_ + disturbance_ticks;
        return;
    case StepKind::cut:
        disconnect_all(step.member);
        member.heals_at = ticks_ + disturbance_ticks;
        return;
    case StepKind::mute:
        member.speaks_at = ticks_ + disturbance_ticks;
        return;
    case StepKind::freeze:
        member.thaws_at = ticks_ + disturbance_ticks;
        return;
    }
}

void ClusterModel::carry_out(MemberIndex index) {
    Member& member = members_[index];
    const Action action = std::move(member.outbox.front());
    member.outbox.pop_front();
    if (const auto* message = std::get_if<Send>(&action)) return send(index, *message);
    if (const auto* save = std::get_if<Save>(&action)) return member.saves.push_back(*save);
    if (const auto* committed = std::get_if<Committed>(&action)) return on_committed(index, committed->id);
    if (const auto* confirmed = std::get_if<LeadershipConfirmed>(&action))
        return on_confirmed(index, confirmed->id);
    if (const auto* unknown = std::get_if<OutcomeUnknown>(&action)) {
        member.questions.erase(unknown->id);
        member.reads.erase(unknown->id);
    }
}

void ClusterModel::send(MemberIndex from, const Send& send) {
    const MemberIndex to = index_of(send.to);
    if (breaks_.answers_for_others && std::holds_alternative<ReplicateRequest>(send.message))
        return forge_reply(from, send);
    if (!are_connected(from, to) || members_[from].speaks_at > ticks_) return;
    links_[from][to].push_back({++serials_, send.message});
}

// The request is lost, and answered all the same.
void ClusterModel::forge_reply(MemberIndex to, const Send& send) {
    const auto& request = std::get<ReplicateRequest>(send.message);
    const ReplicateReply reply{request.epoch, request.state.position, true, request.epoch};
    links_[index_of(send.to)][to].push_back({++serials_, reply});
}

void ClusterModel::finish_save(MemberIndex index, bool refused, bool written) {
    Member& member = members_[index];
    const Save save = std::move(member.saves.front());
    member.saves.pop_front();
    if (save.is_restoration) member.disk_failed = false;
    const bool fails = refused || member.disk_failed;
    if (!fails || (refused && written && !member.disk_failed)) write(index, save.record);
    if (!fails || breaks_.hides_failures) return feed(index, Saved{save.save_id});
    member.disk_failed = true;
    feed(index, SaveFailed{save.save_id});
}

void ClusterModel::write(MemberIndex index, const DiskRecord& record) {
    Loaded& disk = members_[index].disk;
    if (const auto* state = std::get_if<ReplicatedState>(&record)) disk.state = *state;
    const auto* found = std::get_if<WitnessRegister>(&record);
    const bool forgotten = breaks_.forgets_registers && disk.witness_register;
    if (found != nullptr && !forgotten) disk.witness_register = *found;
}

void ClusterModel::deliver(MemberIndex from, MemberIndex to) {
    auto& link = links_[from][to];
    const Message message = std::move(link.front().message);
    link.pop_front();
    feed(to, Received{ids[from], message});
}

void ClusterModel::tick() {
    now_ += tick_time;
    ++ticks_;
    end_what_is_over();
    for (MemberIndex index = 0; index < member_count; ++index) {
        if (!runs(index) || is_frozen(index)) continue;
        // Somebody asks a member that wakes before it has noticed that it stood still.
        if (members_[index].thaws_at == ticks_ && members_[index].replica->is_primary()) ask_to_read(index);
        feed(index, Tick{});
        if (members_[index].replica->is_primary()) assign_roles(index);
    }
    act_as_operator();
}

void ClusterModel::end_what_is_over() {
    std::vector<LateCopy> due;
    std::erase_if(late_copies_, [&](const LateCopy& copy) {
        if (copy.at == ticks_) due.push_back(copy);
        return copy.at <= ticks_;
    });
    for (const LateCopy& copy : due)
        if (runs(copy.to) && !is_frozen(copy.to)) feed(copy.to, Received{ids[copy.from], copy.message});
    for (MemberIndex index = 0; index < member_count; ++index) {
        Member& member = members_[index];
        if (member.heals_at == ticks_ && runs(index)) connect_all(index);
        if (member.restarts_at == ticks_ && !runs(index) && !member.ended) start(index);
        if (index == shut_down_member && ticks_ == shutdown_tick && !member.ended)
            member.shutting_down = true;
        if (!member.shutting_down || member.ended || !runs(index) || is_frozen(index)) continue;
        if (!member.replica->shutting_down()) feed(index, BeginShutdown{});
        if (ticks_ > shutdown_tick && member.replica->is_safe_to_shut_down(now_)) {
            member.ended = true;
            stop(index, false);
        }
    }
}

// ---- The operator ----------------------------------------------------------------------------------------

void ClusterModel::act_as_operator() {
    for (MemberIndex index = 0; index < member_count; ++index) {
        if (!runs(index) || is_frozen(index) || !members_[index].replica->is_primary()) continue;
        ask_to_read(index);
        for (int order = 1; order <= static_cast<int>(order_ticks.size()); ++order)
            if (ticks_ >= order_ticks[static_cast<std::size_t>(order) - 1] &&
                !acknowledged_.contains(order)) {
                ask(index, order);
                break; // one after the other
            }
    }
}

void ClusterModel::ask_to_read(MemberIndex index) {
    Member& member = members_[index];
    std::set<int> known;
    for (const auto& [order, at] : acknowledged_)
        known.insert(order);
    if (breaks_.unconfirmed_reads) return judge_read(index, known);
    if (!member.reads.try_emplace(read_question, known).second) return;
    feed(index, ConfirmLeadership{read_question});
}

// As the queue of orders does: a confirmation first, so that what is answered is no old state's.
void ClusterModel::ask(MemberIndex index, int order) {
    const std::uint64_t question = first_confirm_question + static_cast<std::uint64_t>(order);
    const std::uint64_t proposal = first_propose_question + static_cast<std::uint64_t>(order);
    Member& member = members_[index];
    if (member.questions.contains(proposal) || !member.questions.insert(question).second) return;
    feed(index, ConfirmLeadership{question});
}

void ClusterModel::on_confirmed(MemberIndex index, std::uint64_t question) {
    Member& member = members_[index];
    if (question == read_question) {
        const auto read = member.reads.find(question);
        if (read == member.reads.end()) return;
        const std::set<int> known = read->second;
        member.reads.erase(read);
        return judge_read(index, known);
    }
    if (member.questions.erase(question) == 0) return;
    const int order = static_cast<int>(question - first_confirm_question);
    const ReplicatedState& state = member.replica->committed();
    if (contains_order(*state.content, order) && !breaks_.forgets_orders) {
        acknowledged_.emplace(order, ticks_);
        return;
    }
    const std::uint64_t proposal = first_propose_question + static_cast<std::uint64_t>(order);
    member.questions.insert(proposal);
    feed(index, Propose{proposal, state.position, with_order(*state.content, order)});
}

void ClusterModel::on_committed(MemberIndex index, std::uint64_t question) {
    members_[index].questions.erase(question);
    acknowledged_.emplace(static_cast<int>(question - first_propose_question), ticks_);
}

// Every member that a primary reaches could own the role; whoever is assigned works under the token at once.
void ClusterModel::assign_roles(MemberIndex index) {
    Member& member = members_[index];
    const Epoch epoch = member.replica->witness_register().decided.epoch;
    if (!member.roles || member.roles_epoch != epoch) {
        constexpr Time owner_timeout{1600};
        member.roles.emplace(breaks_.reuses_tokens ? 0 : epoch, owner_timeout);
        member.roles_epoch = epoch;
    }
    std::vector<std::string> live{ids[index]};
    for (MemberIndex other = 0; other < member_count; ++other)
        if (are_connected(index, other)) live.push_back(ids[other]);
    for (const ownership::Assignment& role : member.roles->assign({role_key}, live, now_)) {
        member.roles->on_owner_activity(role.key, role.token, now_);
        const auto [known, fresh] = token_owners_.emplace(role.token, role.owner);
        if (!fresh && known->second != role.owner)
            violate(fmt::format("one fencing token for {} and {}", known->second, role.owner));
    }
}

// ---- Judging ---------------------------------------------------------------------------------------------

void ClusterModel::violate(const std::string& what) {
    if (violation_.empty()) violation_ = what;
}

void ClusterModel::judge(MemberIndex index) {
    Member& member = members_[index];
    const Replica& replica = *member.replica;
    const ReplicatedState& state = replica.committed();
    if (replica.is_primary()) {
        const Epoch epoch = replica.witness_register().decided.epoch;
        const auto [known, fresh] = primaries_.emplace(epoch, index);
        if (!fresh && known->second != index)
            violate(
                fmt::format("{} and {} are primaries of epoch {}", ids[known->second], ids[index], epoch));
    }
    if (state.position < member.newest) violate(ids[index] + " went back");
    member.newest = state.position;
    const auto [known, fresh] = committed_.emplace(state.position, *state.content);
    if (!fresh && known->second != *state.content) violate("two states at one position");
    const std::vector<int> orders = orders_in(*state.content);
    if (std::set<int>(orders.begin(), orders.end()).size() != orders.size())
        violate("an order was applied twice");
    if (!breaks_.always_current && !replica.is_current(now_)) return;
    for (const auto& [order, at] : acknowledged_) {
        const Time since = (ticks_ - at - 1) * tick_time;
        if (since > contact_validity && std::ranges::count(orders, order) == 0)
            violate(fmt::format("{} calls a state current that lacks order {}", ids[index], order));
    }
}

void ClusterModel::judge_read(MemberIndex index, const std::set<int>& acknowledged) {
    const std::vector<int> orders = orders_in(*members_[index].replica->committed().content);
    read_back_ = std::set<int>(orders.begin(), orders.end());
    read_back_at_ = ticks_;
    for (const int order : acknowledged)
        if (!read_back_.contains(order))
            violate(fmt::format("a read at {} lacks order {}, which was acknowledged", ids[index], order));
}

std::string ClusterModel::missing_progress() const {
    for (int order = 1; order <= static_cast<int>(order_ticks.size()); ++order)
        if (!acknowledged_.contains(order)) return fmt::format("order {} was not acknowledged", order);
    if (ticks_ - read_back_at_ > max_read_age_ticks) return "the state cannot be read";
    if (!members_[shut_down_member].ended)
        return fmt::format("{} shuts down and cannot end", ids[shut_down_member]);
    return "";
}

StateHash ClusterModel::hash() const {
    StateHasher hasher(now_, horizon);
    const auto from_now = [this](int tick) { return std::max(0, tick - ticks_); };
    // The operator's list goes by the count of ticks, and so does the end of the history: two states of
    // different ticks are never alike.
    hasher(ticks_, wiped_);
    for (MemberIndex index = 0; index < member_count; ++index) {
        const Member& member = members_[index];
        hasher(runs(index), member.disk.witness_register, member.disk.state, member.saves, member.outbox,
               member.disk_failed, member.shutting_down, member.ended, member.incarnation);
        hasher(from_now(member.restarts_at), from_now(member.thaws_at), from_now(member.heals_at),
               from_now(member.speaks_at), from_now(member.disk_quick_at));
        hasher(member.reads, member.questions, member.newest, member.roles_epoch);
        if (runs(index)) member.replica->visit_state(hasher, now_, horizon);
        if (member.roles) member.roles->visit_state(hasher);
    }
    const auto newest_heartbeat = [this](MemberIndex index) {
        return runs(index) ? members_[index].replica->newest_heartbeat() : 0;
    };
    const auto add_message = [&](MemberIndex from, MemberIndex to, const Message& message) {
        hasher(message);
        if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
            hasher(newest_heartbeat(from) - heartbeat->number);
        if (const auto* reply = std::get_if<HeartbeatReply>(&message))
            hasher(newest_heartbeat(to) - reply->number);
    };
    // Which message is older decides which comes first: their order, and not the numbers themselves.
    std::map<std::uint64_t, std::pair<MemberIndex, MemberIndex>> in_order;
    for (MemberIndex from = 0; from < member_count; ++from)
        for (MemberIndex to = 0; to < member_count; ++to) {
            hasher(links_[from][to].size());
            for (const Envelope& envelope : links_[from][to]) {
                add_message(from, to, envelope.message);
                in_order.emplace(envelope.serial, std::pair(from, to));
            }
        }
    for (const auto& [serial, link] : in_order)
        hasher(link);
    for (const LateCopy& copy : late_copies_) {
        hasher(from_now(copy.at), copy.from, copy.to);
        add_message(copy.from, copy.to, copy.message);
    }
    hasher(primaries_, committed_, read_back_, std::min(ticks_ - read_back_at_, read_age_horizon),
           acknowledged_.size());
    for (const auto& [order, at] : acknowledged_)
        hasher(order, std::min(ticks_ - at, disturbance_ticks));
    hasher(token_owners_.size());
    for (const auto& [token, owner] : token_owners_)
        hasher(token.epoch, token.number, owner);
    return hasher.result();
}

std::string ClusterModel::describe() const {
    std::string out;
    for (MemberIndex index = 0; index < member_count; ++index) {
        const Member& member = members_[index];
        out += index == 0 ? "" : "; ";
        if (!runs(index)) {
            out += ids[index] + (member.ended ? " ended" : " down");
            continue;
        }
        const Replica& replica = *member.replica;
        const Position& position = replica.committed().position;
        out += fmt::format("{} {} {}.{}={}", ids[index], replication::name_of(replica.role()), position.epoch,
                           position.sequence, *replica.committed().content);
    }
    return out;
}

} // namespace willowrill::verification
