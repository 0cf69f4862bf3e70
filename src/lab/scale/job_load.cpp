#include "lab/scale/job_load.h"

#include "net/connection.h"
#include "net/http.h"

namespace willowrill::lab::scale {

class JobLoad::Client final : public net::Connection::Owner {
  public:
    Client(net::Loop& loop, const net::Endpoint& to, std::size_t number, net::Duration pause)
        : loop_(loop), number_(number), pause_(pause),
          connection_(loop, *this, net::connect_to(to), net::Connection::State::opening,
                      net::http::read_ahead),
          timer_(loop.wheel(), [this] { ask(); }) {
        ask();
    }
    std::uint64_t served() const { return served_; }

  private:
    void ask() {
        due_ = std::max(due_ + pause_, loop_.now());
        connection_.write(net::http::write_request(
            "POST", "/api",
            {{"Host", "scheduler"},
             {"X-Request-ID", std::to_string(number_) + "-" + std::to_string(++asked_)},
             {"X-Priority-Class", "job"}},
            "work"));
    }
    void on_input() override {
        connection_.consume(parser_.feed(connection_.input()));
        if (!parser_.done()) return;
        served_ += parser_.head().status == 200 ? 1 : 0;
        parser_.restart();
        timer_.arm(due_);
    }
    void on_closed() override { timer_.disarm(); }

    net::Loop& loop_;
    std::size_t number_;
    net::Duration pause_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::answer};
    net::Timer timer_;
    net::Time due_{0};
    std::uint64_t asked_ = 0, served_ = 0;
};

JobLoad::JobLoad(net::Loop& loop, const std::vector<net::Endpoint>& schedulers, double jobs_per_second) {
    const auto pause = std::chrono::duration_cast<net::Duration>(
        std::chrono::duration<double>(1 / std::max(0.001, jobs_per_second)));
    for (const net::Endpoint& scheduler : schedulers)
        clients_.push_back(std::make_unique<Client>(loop, scheduler, clients_.size(), pause));
}

JobLoad::~JobLoad() = default;

std::uint64_t JobLoad::served() const {
    std::uint64_t out = 0;
    for (const auto& client : clients_)
        out += client->served();
    return out;
}

} // namespace willowrill::lab::scale
