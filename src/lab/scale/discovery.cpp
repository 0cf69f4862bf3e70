#include "lab/scale/discovery.h"

#include <algorithm>
#include <chrono>

namespace willowrill::lab::scale {
namespace {

using net::http::write_answer;

std::uint64_t parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoull(target.substr(at + name.size() + 1));
}

} // namespace

Discovery::Caller::Caller(Discovery& discovery, std::size_t at)
    : server(discovery.loop_,
             {[&discovery, at](Server::Call call, const net::http::Head& head, const std::string&) {
                  discovery.on_request(at, call, head);
              },
              [&discovery, at](Server::Call call) { std::erase(discovery.callers_[at]->waiting, call); }}) {}

Discovery::Discovery(net::Loop& loop, std::size_t schedulers, std::size_t real,
                     std::vector<net::Endpoint> for_real, std::vector<net::Endpoint> for_hollow)
    : loop_(loop), real_(real), for_real_(std::move(for_real)), for_hollow_(std::move(for_hollow)),
      drains_(for_real_.size()) {
    for (std::size_t at = 0; at < schedulers; ++at) {
        callers_.push_back(std::make_unique<Caller>(*this, at));
        holds_.push_back(std::make_unique<net::Timer>(loop_.wheel(), [this, at] {
            for (const Server::Call call : std::exchange(callers_[at]->waiting, {}))
                tell(at, call, version_); // nothing is newer
        }));
    }
}

std::string Discovery::entry(std::size_t at, std::size_t worker) const {
    const net::Endpoint& address = at < real_ ? for_real_[worker] : for_hollow_[worker];
    return "{\"id\":\"w" + std::to_string(worker) + "\",\"addr\":\"" + address.text() +
           "\",\"zone\":\"z0\",\"kind\":\"small\",\"cell\":0,\"state\":\"" +
           (drains_[worker] ? "draining" : "up") + "\",\"weight\":1.0,\"started_ms\":0}";
}

std::string Discovery::list(std::size_t at) const {
    std::string out = "{\"version\":" + std::to_string(version_) + ",\"full\":true,\"servers\":[";
    for (std::size_t worker = 0; worker < drains_.size(); ++worker)
        out += (worker > 0 ? "," : "") + entry(at, worker);
    return out + "]}";
}

void Discovery::tell(std::size_t at, Server::Call call, std::uint64_t has) {
    Server& server = callers_[at]->server;
    if (has == 0) return server.answer(call, write_answer(200, {}, list(at)));
    std::string changes;
    std::vector<std::size_t> workers(changed_.begin() + static_cast<std::ptrdiff_t>(has - 1), changed_.end());
    std::ranges::sort(workers);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    for (const std::size_t worker : workers)
        changes += (changes.empty() ? "" : ",") + entry(at, worker);
    server.answer(call, write_answer(200, {},
                                     "{\"version\":" + std::to_string(version_) +
                                         ",\"full\":false,\"servers\":[" + changes + "]}"));
}

void Discovery::on_request(std::size_t at, Server::Call call, const net::http::Head& head) {
    Caller& caller = *callers_[at];
    if (out_) return caller.server.answer(call, write_answer(503, {}, ""));
    const std::uint64_t has = std::min(parameter(head.target, "from"), version_);
    caller.holds = std::max(caller.holds, has);
    if (has < version_) return tell(at, call, has);
    caller.waiting.push_back(call);
    holds_[at]->arm(loop_.now() + std::chrono::milliseconds(parameter(head.target, "hold_ms")));
}

void Discovery::toggle(std::size_t worker) {
    drains_[worker] = !drains_[worker];
    changed_.push_back(worker);
    const std::uint64_t before = version_++;
    for (std::size_t at = 0; at < callers_.size(); ++at)
        for (const Server::Call call : std::exchange(callers_[at]->waiting, {}))
            tell(at, call, before);
}

void Discovery::set_out(bool out) {
    out_ = out;
    for (const auto& caller : callers_)
        for (const Server::Call call : std::exchange(caller->waiting, {}))
            caller->server.answer(call, write_answer(503, {}, ""));
}

std::size_t Discovery::holding_current() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(callers_, [this](const auto& one) { return one->holds == version_; }));
}

Traffic Discovery::traffic(std::size_t from, std::size_t to) const {
    Traffic out;
    for (std::size_t at = from; at < to; ++at) {
        out.messages += callers_[at]->server.requests();
        out.bytes += callers_[at]->server.bytes();
    }
    return out;
}

} // namespace willowrill::lab::scale
