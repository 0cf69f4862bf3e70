#include "data/core_session.h"

#include "membership/codec.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {
namespace {

using namespace std::chrono_literals;

constexpr auto tick_period = 100ms;
constexpr auto renewal_period = 400ms;
constexpr auto silence = 1000ms; // a member that answers nothing for so long is left
constexpr auto behind = 900ms;   // one that is not current for so long, too
constexpr auto dial_timeout = 500ms;

} // namespace

CoreSession::CoreSession(asio::io_context& loop, std::uint16_t core_port, Callbacks callbacks)
    : loop_(loop), core_port_(core_port), callbacks_(std::move(callbacks)), timer_(loop) {}

void CoreSession::start() { tick(); }

void CoreSession::renew_now() {
    if (!connection_) return;
    renewed_ = Clock::now();
    membership::Lease lease = callbacks_.lease();
    lease.renewal = ++renewal_;
    connection_->send({{"type", "lease"}, {"lease", lease}});
}

void CoreSession::tick() {
    const Clock::time_point now = Clock::now();
    if (connection_ && (now - answered_ > silence || now - current_ > behind)) drop();
    if (!connection_ && !dialling_) dial_next();
    if (connection_ && now - renewed_ >= renewal_period) renew_now();
    timer_.expires_after(tick_period);
    timer_.async_wait([this](ErrorCode error) {
        if (!error) tick();
    });
}

// Nearest first: addresses of one zone are alike, so the longest common prefix with the preferred one leads;
// the seeds of the settings come before what was learnt.
std::vector<std::string> CoreSession::candidates() const {
    std::vector<std::string> out;
    const auto add = [&](const std::string& host) {
        if (std::ranges::count(out, host) == 0) out.push_back(host);
    };
    if (!preferred_.empty()) add(preferred_);
    for (const settings::Endpoint& seed : callbacks_.seeds())
        add(seed.host);
    for (const std::string& host : known_)
        add(host);
    return out;
}

void CoreSession::dial_next() {
    const auto hosts = candidates();
    if (hosts.empty()) return;
    const std::string host = hosts[next_candidate_ % hosts.size()];
    ++next_candidate_;
    dialling_ = true;
    transport::dial(loop_, host, core_port_, dial_timeout,
                    [this, host](const transport::FrameConnectionPtr& connection) {
                        dialling_ = false;
                        if (connection) on_connected(connection, host);
                    });
}

void CoreSession::on_connected(const transport::FrameConnectionPtr& connection, const std::string& host) {
    connection_ = connection;
    host_ = host;
    answered_ = current_ = Clock::now();
    connection->start([this](const nlohmann::json& message) { on_message(message); },
                      [this, raw = connection.get()] {
                          if (connection_.get() == raw) connection_ = nullptr;
                      });
    connection->send({{"type", "hello"}, {"version", transport::protocol_version}, {"kind", "scheduler"}});
    renew_now();
}

void CoreSession::on_message(const nlohmann::json& message) {
    const Clock::time_point now = Clock::now();
    answered_ = now;
    if (message.at("type") != "beat") return callbacks_.on_push(message);
    for (const nlohmann::json& id : message.at("core")) {
        const auto endpoint = settings::parse_endpoint(id.get<std::string>());
        if (endpoint && known_.size() < most_core_members) known_.insert(endpoint.value().host);
    }
    if (!message.at("current").get<bool>()) return;
    current_ = now;
    preferred_ = host_;
    next_candidate_ = 0;
}

void CoreSession::drop() {
    const auto connection = std::exchange(connection_, nullptr);
    connection->close();
    if (preferred_ == host_) preferred_.clear();
}

} // namespace willowrill::data
