#include "lab/scale/hollow.h"

namespace willowrill::lab::scale {
namespace {

const char* no_environment(const char*) { return nullptr; }

constexpr std::size_t probe_connections = 64; // more than are ever out, with a kept one for each recent probe

} // namespace

std::string scheduler_config(std::size_t at, std::size_t schedulers, std::uint64_t seed,
                             const net::Endpoint& discovery) {
    return R"({"name":"n)" + std::to_string(at) + R"(","listen":"127.0.0.1:0","discovery":")" +
           discovery.text() + R"(","seed":")" + std::to_string(seed * 10000 + at) +
           R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":)" +
           std::to_string(schedulers) + R"(,"slot_no":)" + std::to_string(at) +
           R"(,"tick_ns":5000000,"zone":"z0","zones":["z0"],"kinds":["small"],"tenants":[],"discovery":"ask",
  "classes":[{"name":"job","effect":"read_like","aim_ns":2000000000,"hard_limit_ns":10000000000,"worth":1}],
  "family_info":{"class_kind":[-1],"class_stretch":[0],"tells_start":false,"progress_ns":0},
  "reporting":{"fields":["load_share","x0"],"via":"pull"},
  "limits":{"cancel":true,"probes":true,"second_copies":false,"retry_after":true,"max_attempts":4,
   "max_open":20000,"max_retry_after_ns":2000000000,"conn_idle_ns":5000000000,"connect_timeout_ns":250000000},
  "prices":{},
  "safety":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"stop_sending_within_ns":1000000000,
   "cold_ns":9000000000,"start_capacity":0.4,"fall_multiple":2.5,"fall_ns":1000000000}}})";
}

HollowScheduler::HollowScheduler(net::Loop& loop, const std::string& config)
    : loop_(loop), settings_(config::parse(config, no_environment)), list_(settings_.names),
      pool_(loop, list_, settings_.report_fields,
            {.connections = probe_connections,
             .idle = settings_.connection_idle,
             .connect_timeout = settings_.connect_timeout}),
      watch_(loop, settings_.discovery,
             inventory::watch_times(settings_.decisions.list_valid, settings_.decisions.drain_grace),
             settings_.decisions.seed, list_,
             [this](auto news) {
                 host_.list_news(std::move(news));
                 pool_.close_unlisted();
             }),
      host_(settings_.decisions, settings_.max_open, config::message_memory(settings_), pool_, watch_),
      next_batch_(loop.wheel(), [] {}) {
    pool_.set_host(host_);
    host_.batch(loop_.now()); // the module asks for the list
}

void HollowScheduler::on_round_end() {
    auto next = host_.next_batch();
    if (next && *next <= loop_.now()) {
        host_.batch(loop_.now());
        next = host_.next_batch();
    }
    if (next) next_batch_.arm(*next);
}

HollowWorkers::HollowWorkers(net::Loop& loop, std::size_t count) {
    for (std::size_t at = 0; at < count; ++at) {
        servers_.push_back(nullptr);
        servers_[at] = std::make_unique<Server>(
            loop,
            Server::Handler{[this, at](Server::Call call, const net::http::Head& head, const std::string&) {
                const std::string* id = head.find("x-request-id");
                const std::string body = id == nullptr ? R"({"util":0.3,"x0":3})"
                                                       : R"({"id":")" + *id +
                                                             R"(","state":"done","result":"r"})"
                                                             "\n";
                servers_[at]->answer(call, net::http::write_answer(200, {}, body));
            }});
    }
}

std::vector<net::Endpoint> HollowWorkers::addresses() const {
    std::vector<net::Endpoint> out;
    for (const auto& server : servers_)
        out.push_back(server->address());
    return out;
}

std::uint64_t HollowWorkers::messages() const {
    std::uint64_t out = 0;
    for (const auto& server : servers_)
        out += server->requests();
    return out;
}

std::uint64_t HollowWorkers::bytes() const {
    std::uint64_t out = 0;
    for (const auto& server : servers_)
        out += server->bytes();
    return out;
}

} // namespace willowrill::lab::scale
