#include "system/distribution/core_session.h"

#include <algorithm>
#include <utility>

namespace willowrill::distribution {
namespace {

constexpr SteadyTime renewal_period{400};
constexpr SteadyTime silence_timeout{1000};    // a member that sends nothing for longer than this is left
constexpr SteadyTime not_current_timeout{900}; // a member that is not current for longer than this is left
// Time for which the session does not move back to a nearer member that it has left. Proximity alone does not
// justify the risk of another failure.
constexpr SteadyTime min_back_off{5000};
constexpr SteadyTime max_back_off{40000};
// Delay before the next member is dialled after one has refused a session.
constexpr SteadyTime refusal_pause{500};

} // namespace

void CoreSession::step(SteadyTime now, const SessionEvent& event, std::vector<SessionAction>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    actions_ = nullptr;
}

void CoreSession::change_phase(Phase next) { phase_ = next; }

void CoreSession::on(const SessionTick&) {
    if (phase_ == Phase::connected &&
        (now_ - last_answer_ > silence_timeout || now_ - last_current_ > not_current_timeout)) {
        if (preferred_host_ == dialled_host_) preferred_host_.clear();
        back_off(dialled_host_);
        actions_->emplace_back(Disconnect{});
        change_phase(Phase::idle);
    }
    if (phase_ == Phase::idle && now_ >= dial_blocked_until_) dial_next();
    if (phase_ == Phase::connected && now_ - last_renewal_ >= renewal_period) renew();
}

// Hosts in the order in which they are dialled: the preferred member (the last current one, or a nearer one),
// the seeds of the settings, then the members that a core member has listed.
std::vector<std::string> CoreSession::candidate_hosts() const {
    std::vector<std::string> hosts;
    const auto add = [&](const std::string& host) {
        if (std::ranges::count(hosts, host) == 0) hosts.push_back(host);
    };
    if (!preferred_host_.empty()) add(preferred_host_);
    for (const std::string& host : seeds_())
        add(host);
    for (const auto& [host, member] : known_members_)
        add(host);
    return hosts;
}

void CoreSession::dial_next() {
    const auto hosts = candidate_hosts();
    if (hosts.empty()) return;
    dialled_host_ = hosts[next_candidate_ % hosts.size()];
    ++next_candidate_;
    change_phase(Phase::dialling);
    actions_->emplace_back(Dial{dialled_host_});
}

void CoreSession::on(const DialSucceeded&) {
    if (phase_ != Phase::dialling) return;
    change_phase(Phase::connected);
    last_answer_ = last_current_ = now_;
    renew();
}

void CoreSession::on(const DialFailed&) {
    if (phase_ != Phase::dialling) return;
    back_off(dialled_host_);
    change_phase(Phase::idle);
}

int CoreSession::distance(const messages::CoreMember& member) const {
    if (!location_.zone.empty() && member.zone == location_.zone) return 0;
    return !location_.region.empty() && member.region == location_.region ? 1 : 2;
}

void CoreSession::back_off(const std::string& host) {
    if (!back_offs_.contains(host) && back_offs_.size() >= messages::max_core_members) back_offs_.clear();
    BackOff& entry = back_offs_[host];
    entry.duration = std::clamp(2 * entry.duration, min_back_off, max_back_off);
    entry.until = now_ + entry.duration;
}

// Moves the session to a nearer member if there is one. With sessions to near members, updates cross zones
// and regions only once, between core members.
void CoreSession::move_to_nearer_member() {
    const auto dialled_member = known_members_.find(dialled_host_);
    int best_distance = dialled_member == known_members_.end() ? 2 : distance(dialled_member->second);
    std::string best_host;
    for (const auto& [host, member] : known_members_) {
        const auto back_off_entry = back_offs_.find(host);
        if (back_off_entry != back_offs_.end() && now_ < back_off_entry->second.until) continue;
        if (distance(member) >= best_distance) continue;
        best_distance = distance(member);
        best_host = host;
    }
    if (best_host.empty()) return;
    preferred_host_ = best_host;
    actions_->emplace_back(Disconnect{});
    change_phase(Phase::idle);
    dial_next();
}

void CoreSession::on(const ConnectionLost&) {
    if (phase_ == Phase::connected) change_phase(Phase::idle);
}

void CoreSession::on(const LeaseChanged&) {
    if (phase_ == Phase::connected) renew();
}

void CoreSession::renew() {
    last_renewal_ = now_;
    actions_->emplace_back(RenewLease{++renewal_number_});
}

void CoreSession::on(const MessageReceived& received) {
    if (phase_ != Phase::connected) return;
    if (const auto* refusal = std::get_if<messages::HelloRefusal>(&received.message))
        return on_refusal(*refusal);
    last_answer_ = now_;
    if (std::holds_alternative<messages::HelloReply>(received.message)) return;
    if (const auto* ack = std::get_if<messages::LeaseAck>(&received.message)) return on_lease_ack(*ack);
    actions_->emplace_back(DeliverUpdate{received.message});
}

void CoreSession::on_refusal(const messages::HelloRefusal& refusal) {
    refusal_detail_ = refusal.detail;
    dial_blocked_until_ = now_ + refusal_pause;
    if (preferred_host_ == dialled_host_) preferred_host_.clear();
    back_off(dialled_host_);
    actions_->emplace_back(Disconnect{});
    change_phase(Phase::idle);
}

// The list of a current member replaces the known members, so that removed members are dropped. The list of a
// member that is behind only adds members, which may be current.
void CoreSession::on_lease_ack(const messages::LeaseAck& ack) {
    refusal_detail_.reset();
    if (ack.current) known_members_.clear();
    for (const messages::CoreMember& member : ack.core) {
        const std::string host = member.id.substr(0, member.id.find(':'));
        if (known_members_.size() < messages::max_core_members) known_members_.try_emplace(host, member);
    }
    if (!ack.current) return;
    last_current_ = now_;
    preferred_host_ = dialled_host_;
    next_candidate_ = 0;
    move_to_nearer_member();
}

} // namespace willowrill::distribution
