#include "scheduler/admin/server.h"

#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace willowrill::admin {
namespace {

using namespace std::chrono_literals;
using net::http::Fields;

// A caller waits a second for its answer. One that says nothing for as long gets none any more.
constexpr auto call_time = 1500ms;
constexpr auto linger_time = 500ms; // for the caller to close after its answer
constexpr int accepts_a_round = 32;

} // namespace

class Server::Call final : public net::Connection::Owner {
  public:
    Call(Server& server, net::Fd fd)
        : server_(server), connection_(server.loop_, *this, std::move(fd), net::Connection::State::open,
                                       net::http::input_buffer_bytes),
          timer_(server.loop_.timer_wheel(), [this] { on_timer(); }) {
        timer_.arm(server.loop_.now() + call_time);
    }

    void close() {
        timer_.disarm();
        connection_.close();
    }
    bool answered() const { return answered_; }

  private:
    void on_input() override {
        if (answered_) return;
        connection_.consume(parser_.feed(connection_.input()));
        if (!parser_.bad() && !parser_.done()) return;
        ++server_.counters_.calls;
        parser_.done() ? on_call() : answer(parser_.error(), "not a request that can be read\n");
    }
    void on_closed() override { server_.drop(*this); }
    void on_timer() {
        if (!answered_) ++server_.counters_.silent;
        server_.drop(*this);
    }

    void on_call() {
        const net::http::Head& head = parser_.head();
        if (head.minor >= 1 && head.find("host") == nullptr) return answer(400, "Host is missing\n");
        const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
        const auto report = server_.service_.report(path);
        const bool reads = report || path == "/_ready" || path == "/_vars";
        const bool on = path == "/_lameduck/on";
        if (!reads && !on && path != "/_lameduck/off") return answer(404, "no such call\n");
        const std::string method = reads ? "GET" : "POST";
        if (head.method != method)
            return answer(405, "this call goes by " + method + "\n", {{"Allow", method}});
        if (path == "/_ready") {
            const bool yes = server_.service_.can_serve();
            return answer(yes ? 200 : 503, yes ? "ready\n" : "not ready\n");
        }
        if (report) {
            if (report->text.empty()) return answer(404, "this is off; the operators' file turns it on\n");
            return answer(200, report->text, {{"Content-Type", std::string(report->type)}});
        }
        if (path == "/_vars") {
            return answer(200, to_text(server_.service_.figures()) + server_.service_.further_figures(),
                          {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}});
        }
        spdlog::info("mgmt: lame duck {}", on ? "on" : "off");
        server_.service_.lame_duck(on);
        answer(200, on ? "sending clients away\n" : "serving again\n");
    }

    void answer(int status, std::string_view body, Fields fields = {}) {
        answered_ = true;
        if (status >= 400 && status != 503) ++server_.counters_.bad;
        fields.emplace_back("Connection", "close");
        connection_.write(net::http::write_response(status, fields, body));
        timer_.arm(server_.loop_.now() + linger_time);
        connection_.close_when_sent();
    }

    Server& server_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::request};
    net::Timer timer_;
    bool answered_ = false;
};

Server::Server(net::Loop& loop, const net::Endpoint& address, Service& service)
    : loop_(loop), service_(service), listener_(net::listen_on(address)) {
    loop_.watch(listener_.get(), POLLIN, *this);
}

Server::~Server() { loop_.unwatch(listener_.get()); }

// Callers that say nothing must not keep the others out: the oldest gives way to a new one, those that have
// their answer first.
void Server::on_ready(short) {
    for (int accepted = 0; accepted < accepts_a_round; ++accepted) {
        net::Fd fd = net::accept_from(listener_);
        if (!fd.valid()) return;
        if (calls_.size() >= most_callers) {
            const auto answered =
                std::ranges::find_if(calls_, [](const auto& call) { return call->answered(); });
            ++counters_.evicted;
            drop(answered != calls_.end() ? **answered : *calls_.front());
        }
        calls_.push_back(std::make_shared<Call>(*this, std::move(fd)));
    }
}

void Server::drop(Call& call) {
    const auto found = std::ranges::find(calls_, &call, &std::shared_ptr<Call>::get);
    if (found == calls_.end()) return;
    call.close();
    loop_.defer_destruction(std::move(*found));
    calls_.erase(found);
}

} // namespace willowrill::admin
