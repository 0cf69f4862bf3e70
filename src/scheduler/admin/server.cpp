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

// Callers wait one second for their answer. A connection without a complete request after this time is
// closed.
constexpr auto request_timeout = 1500ms;
constexpr auto linger_timeout = 500ms; // after the answer, for the caller to close the connection
constexpr int max_accepts_per_event = 32;

} // namespace

class Server::Session final : public net::Connection::Owner {
  public:
    Session(Server& server, net::Fd fd)
        : server_(server), connection_(server.loop_, *this, std::move(fd), net::Connection::State::open,
                                       net::http::input_buffer_bytes),
          timer_(server.loop_.timer_wheel(), [this] { on_timer(); }) {
        timer_.arm(server.loop_.now() + request_timeout);
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
        ++server_.counters_.requests;
        parser_.done() ? on_request() : answer(parser_.error(), "not a request that can be read\n");
    }
    void on_closed() override { server_.close_session(*this); }
    void on_timer() {
        if (!answered_) ++server_.counters_.timed_out;
        server_.close_session(*this);
    }

    void on_request() {
        const net::http::Head& head = parser_.head();
        if (head.minor >= 1 && head.find("host") == nullptr) return answer(400, "Host is missing\n");
        const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
        const auto resource = server_.service_.resource(path);
        const bool is_read = resource || path == "/_ready" || path == "/_vars";
        const bool enable = path == "/_lameduck/on";
        if (!is_read && !enable && path != "/_lameduck/off") return answer(404, "no such call\n");
        const std::string method = is_read ? "GET" : "POST";
        if (head.method != method)
            return answer(405, "this call goes by " + method + "\n", {{"Allow", method}});
        if (path == "/_ready") {
            const bool ready = server_.service_.is_ready();
            return answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
        }
        if (resource) {
            if (resource->text.empty()) return answer(404, "this is off; the operators' file turns it on\n");
            return answer(200, resource->text, {{"Content-Type", std::string(resource->type)}});
        }
        if (path == "/_vars") {
            return answer(200,
                          to_prometheus_text(server_.service_.metrics()) + server_.service_.extra_metrics(),
                          {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}});
        }
        spdlog::info("mgmt: lame duck {}", enable ? "on" : "off");
        server_.service_.set_lame_duck(enable);
        answer(200, enable ? "sending clients away\n" : "serving again\n");
    }

    void answer(int status, std::string_view body, Fields fields = {}) {
        answered_ = true;
        if (status >= 400 && status != 503) ++server_.counters_.rejected;
        fields.emplace_back("Connection", "close");
        connection_.write(net::http::write_response(status, fields, body, parser_.head().method));
        timer_.arm(server_.loop_.now() + linger_timeout);
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

// Silent callers must not lock out others: at the limit, a new connection evicts the oldest answered one, or
// the oldest one if none is answered.
void Server::on_ready(short) {
    for (int accepted = 0; accepted < max_accepts_per_event; ++accepted) {
        net::Fd fd = net::accept_from(listener_);
        if (!fd.valid()) return;
        if (sessions_.size() >= max_connections) {
            const auto answered =
                std::ranges::find_if(sessions_, [](const auto& session) { return session->answered(); });
            ++counters_.evicted;
            close_session(answered != sessions_.end() ? **answered : *sessions_.front());
        }
        sessions_.push_back(std::make_shared<Session>(*this, std::move(fd)));
    }
}

void Server::close_session(Session& session) {
    const auto found = std::ranges::find(sessions_, &session, &std::shared_ptr<Session>::get);
    if (found == sessions_.end()) return;
    session.close();
    loop_.defer_destruction(std::move(*found));
    sessions_.erase(found);
}

} // namespace willowrill::admin
