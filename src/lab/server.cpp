#include "lab/server.h"

#include <utility>

namespace willowrill::lab {

class Server::Caller final : public net::Connection::Owner {
  public:
    Caller(Server& server, net::Fd fd)
        : server_(server), connection_(server.loop_, *this, std::move(fd), net::Connection::State::open,
                                       net::http::input_buffer_bytes) {}
    void answer(std::string bytes) {
        call_ = 0;
        connection_.write(std::move(bytes));
        parser_.restart();
        if (!reading_) on_input(); // what came meanwhile
    }

  private:
    void on_input() override {
        reading_ = true;
        read();
        reading_ = false;
    }
    void read() {
        while (call_ == 0 && !connection_.input().empty()) {
            const std::size_t used = parser_.feed(connection_.input());
            server_.bytes_ += used;
            connection_.consume(used);
            if (parser_.bad()) return gone();
            if (!parser_.done()) return;
            call_ = ++server_.last_;
            server_.waiting_[call_] = this;
            server_.handler_.on_request(call_, parser_.head(), parser_.body());
        }
    }
    void on_closed() override { gone(); }
    void gone() {
        connection_.close();
        for (auto at = server_.callers_.begin(); at != server_.callers_.end(); ++at) {
            if (at->get() != this) continue;
            server_.loop_.defer_destruction(std::move(*at));
            server_.callers_.erase(at);
            break;
        }
        if (const Call call = std::exchange(call_, 0); call != 0) {
            server_.waiting_.erase(call);
            if (server_.handler_.on_gone) server_.handler_.on_gone(call);
        }
    }

    Server& server_;
    Call call_ = 0; // that waits
    bool reading_ = false;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::request};
};

Server::Server(net::Loop& loop, Handler handler)
    : loop_(loop), handler_(std::move(handler)),
      listener_(net::listen_on(*net::Endpoint::parse("127.0.0.1:0"))) {
    loop_.watch(listener_.get(), POLLIN, *this);
}

Server::~Server() { loop_.unwatch(listener_.get()); }

void Server::answer(Call call, std::string bytes) {
    const auto found = waiting_.find(call);
    if (found == waiting_.end()) return;
    Caller* const caller = found->second;
    bytes_ += bytes.size();
    waiting_.erase(found);
    caller->answer(std::move(bytes));
}

void Server::on_ready(short) {
    for (net::Fd fd = net::accept_from(listener_); fd.valid(); fd = net::accept_from(listener_))
        callers_.push_back(std::make_shared<Caller>(*this, std::move(fd)));
}

} // namespace willowrill::lab
