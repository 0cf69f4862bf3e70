#include "system/distribution/core_session.h"

#include <algorithm>
#include <utility>

namespace willowrill::distribution {
namespace {

constexpr SteadyTime renewal_period{400};
constexpr SteadyTime silence_timeout{1000}; // a member that answers nothing for so long is left
constexpr SteadyTime behind_timeout{900};   // one that is not current for so long, too
// A near member that was left is not moved to again for so long; only to be near is worth no risk.
constexpr SteadyTime min_back_off{5000};
constexpr SteadyTime max_back_off{40000};
// After a member has refused a session, the next one is dialled only after so long.
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
        (now_ - answered_ > silence_timeout || now_ - current_ > behind_timeout)) {
        if (preferred_ == host_) preferred_.clear();
        back_off(host_);
        actions_->emplace_back(Disconnect{});
        change_phase(Phase::idle);
    }
    if (phase_ == Phase::idle && now_ >= refused_until_) dial_next();
    if (phase_ == Phase::connected && now_ - renewed_ >= renewal_period) renew();
}

// First the member that was current last, or a nearer one, then the seeds of the settings, then what a member
// has named.
std::vector<std::string> CoreSession::candidates() const {
    std::vector<std::string> out;
    const auto add = [&](const std::string& host) {
        if (std::ranges::count(out, host) == 0) out.push_back(host);
    };
    if (!preferred_.empty()) add(preferred_);
    for (const std::string& host : seeds_())
        add(host);
    for (const auto& [host, member] : known_)
        add(host);
    return out;
}

void CoreSession::dial_next() {
    const auto hosts = candidates();
    if (hosts.empty()) return;
    host_ = hosts[next_candidate_ % hosts.size()];
    ++next_candidate_;
    change_phase(Phase::dialling);
    actions_->emplace_back(Dial{host_});
}

void CoreSession::on(const DialSucceeded&) {
    if (phase_ != Phase::dialling) return;
    change_phase(Phase::connected);
    answered_ = current_ = now_;
    renew();
}

void CoreSession::on(const DialFailed&) {
    if (phase_ != Phase::dialling) return;
    back_off(host_);
    change_phase(Phase::idle);
}

int CoreSession::distance(const messages::CoreMember& member) const {
    if (!location_.zone.empty() && member.zone == location_.zone) return 0;
    return !location_.region.empty() && member.region == location_.region ? 1 : 2;
}

void CoreSession::back_off(const std::string& host) {
    if (!backed_off_.contains(host) && backed_off_.size() >= messages::max_core_members) backed_off_.clear();
    BackOff& entry = backed_off_[host];
    entry.pause = std::clamp(2 * entry.pause, min_back_off, max_back_off);
    entry.until = now_ + entry.pause;
}

// What the core pushes crosses zones and regions once, between core members, if sessions are near.
void CoreSession::move_nearer() {
    const auto here = known_.find(host_);
    int best_distance = here == known_.end() ? 2 : distance(here->second);
    std::string best;
    for (const auto& [host, member] : known_) {
        const auto entry = backed_off_.find(host);
        if (entry != backed_off_.end() && now_ < entry->second.until) continue;
        if (distance(member) >= best_distance) continue;
        best_distance = distance(member);
        best = host;
    }
    if (best.empty()) return;
    preferred_ = best;
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
    renewed_ = now_;
    actions_->emplace_back(RenewLease{++renewal_});
}

void CoreSession::on(const MessageReceived& received) {
    if (phase_ != Phase::connected) return;
    if (const auto* refusal = std::get_if<messages::HelloRefusal>(&received.message))
        return on_refusal(*refusal);
    answered_ = now_;
    if (std::holds_alternative<messages::HelloReply>(received.message)) return;
    if (const auto* ack = std::get_if<messages::LeaseAck>(&received.message)) return on_lease_ack(*ack);
    actions_->emplace_back(DeliverUpdate{received.message});
}

void CoreSession::on_refusal(const messages::HelloRefusal& refusal) {
    refusal_ = refusal.detail;
    refused_until_ = now_ + refusal_pause;
    if (preferred_ == host_) preferred_.clear();
    back_off(host_);
    actions_->emplace_back(Disconnect{});
    change_phase(Phase::idle);
}

// A current member's list replaces what is known, so that members that are gone are forgotten; one that is
// behind may still name others that are not.
void CoreSession::on_lease_ack(const messages::LeaseAck& ack) {
    refusal_.reset();
    if (ack.current) known_.clear();
    for (const messages::CoreMember& member : ack.core) {
        const std::string host = member.id.substr(0, member.id.find(':'));
        if (known_.size() < messages::max_core_members) known_.try_emplace(host, member);
    }
    if (!ack.current) return;
    current_ = now_;
    preferred_ = host_;
    next_candidate_ = 0;
    move_nearer();
}

} // namespace willowrill::distribution
