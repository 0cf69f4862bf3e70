#include "distribution/core_session.h"

#include <algorithm>
#include <utility>

namespace willowrill::distribution {
namespace {

constexpr SteadyTime renewal_period{400};
constexpr SteadyTime silence{1000}; // a member that answers nothing for so long is left
constexpr SteadyTime behind{900};   // one that is not current for so long, too

} // namespace

void CoreSession::step(SteadyTime now, const SessionEvent& event, std::vector<SessionAction>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    actions_ = nullptr;
}

void CoreSession::change_phase(Phase next) { phase_ = next; }

void CoreSession::on(const SessionTick&) {
    if (phase_ == Phase::connected && (now_ - answered_ > silence || now_ - current_ > behind)) {
        if (preferred_ == host_) preferred_.clear();
        actions_->emplace_back(Disconnect{});
        change_phase(Phase::idle);
    }
    if (phase_ == Phase::idle) dial_next();
    if (phase_ == Phase::connected && now_ - renewed_ >= renewal_period) renew();
}

// First the member that was current last, then the seeds of the settings, then what a member has named.
std::vector<std::string> CoreSession::candidates() const {
    std::vector<std::string> out;
    const auto add = [&](const std::string& host) {
        if (std::ranges::count(out, host) == 0) out.push_back(host);
    };
    if (!preferred_.empty()) add(preferred_);
    for (const std::string& host : seeds_())
        add(host);
    for (const std::string& host : known_)
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
    if (phase_ == Phase::dialling) change_phase(Phase::idle);
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
    answered_ = now_;
    if (received.message.at("type") == "beat") return on_beat(received.message);
    actions_->emplace_back(Pushed{received.message});
}

// A current member's list replaces what is known, so that members that are gone are forgotten; one that is
// behind may still name others that are not.
void CoreSession::on_beat(const nlohmann::json& beat) {
    auto hosts = beat.at("core").get<std::vector<std::string>>();
    const bool is_current = beat.at("current").get<bool>();
    if (is_current) known_.clear();
    for (const std::string& endpoint : hosts) {
        const std::string host = endpoint.substr(0, endpoint.find(':'));
        if (known_.size() < most_core_members && std::ranges::count(known_, host) == 0)
            known_.push_back(host);
    }
    if (!is_current) return;
    current_ = now_;
    preferred_ = host_;
    next_candidate_ = 0;
}

} // namespace willowrill::distribution
