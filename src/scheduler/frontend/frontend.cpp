#include "scheduler/frontend/frontend.h"

#include "scheduler/frontend/arrival_times.h"
#include "scheduler/frontend/request.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <vector>

namespace willowrill::frontend {
namespace {

using namespace std::chrono_literals;
using net::http::write_response;

// A request must be whole so long after its first byte, and the first on a connection so long after it was
// accepted, whatever trickles in: half a request or silence would hold a descriptor for nothing.
constexpr auto read_time = 2500ms;
constexpr auto write_time = 10s; // for an answer
constexpr auto linger_time = 2s; // for the client to close after our last answer
constexpr auto idle_time = 300s; // a connection between requests
constexpr auto accept_pause = 100ms;
// A lame duck. The front notices within 0.1 s, and for 0.2 s more it brings new connections, with their first
// requests. Two seconds before its time is up, at 4 s, no job may be taken any more.
constexpr auto lame_idle = 500ms;   // from when on idle connections are closed
constexpr auto lame_jobs = 1800ms;  // until when jobs are taken
constexpr auto lame_pause = 50ms;   // between two looks
constexpr int accepts_a_round = 64; // a flood of connections must not keep the others waiting

std::string decimal_seconds(core::Duration span) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(span).count());
    return text.data();
}

} // namespace

// A client's connection. It carries one message at a time; what the client sends meanwhile waits unread.
class Frontend::ClientConnection final : public net::Connection::Owner,
                                         public core::Client,
                                         public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(Frontend& front, net::Fd fd)
        : front_(front), connection_(front.loop_, *this, std::move(fd), net::Connection::State::open,
                                     net::http::input_buffer_bytes),
          timer_(front.loop_.timer_wheel(), [this] { on_timer(); }) {
        idle_since_ = front_.loop_.now();
        timer_.arm(first_by_ = idle_since_ + read_time);
    }

    // Nothing of a request has come, as far as it was read.
    bool rests() const {
        return state_ == State::reading && !parser_.begun() && connection_.input().empty() &&
               connection_.all_sent();
    }
    // And none waits in the socket: to close on that would lose it.
    bool idle() const { return rests() && !connection_.has_hung_up(); }
    // Who gives way first: silent newcomers, and then whoever has been idle longest.
    auto standing() const { return std::pair(!new_, idle_since_); }
    bool is_new() const { return new_; }
    void close() {
        timer_.disarm();
        connection_.close();
    }
    // What came too late to be waited for. (A job that was taken before runs on, as long as it may.)
    // The lame duck's time is up: whoever is still sending a request is told to go elsewhere with it.
    void cut_off() {
        if (state_ != State::reading || !parser_.begun() || !connection_.all_sent()) return;
        ++front_.counters_.rejected;
        send_elsewhere(Then::close);
    }
    void cut_short() {
        if (state_ == State::waiting && arrived_ > front_.left_at_) front_.host_.abort_for_shutdown(job_);
    }

  private:
    enum class State { reading, waiting, leaving };
    // What follows an answer: the next request, the end of the connection once all that has come is answered,
    // or its end at once.
    enum class Then { go_on, close_when_read, close };

    void on_input() override {
        const std::size_t unread = connection_.input().size();
        arrivals_.record_unread(unread, front_.loop_.now(), unread >= net::http::input_buffer_bytes);
        if (state_ == State::reading) read();
    }

    void on_sent() override {
        if (state_ != State::reading) return;
        rest();
        if (front_.finishing_ && idle()) front_.drop(*this);
    }

    // The client has gone away, or our last answer has reached it.
    void on_closed() override {
        if (state_ == State::waiting) front_.host_.client_left(job_);
        front_.drop(*this);
    }

    void on_timer() {
        switch (state_) {
        case State::waiting: // a guard: the module ends every message before its time is up
            return front_.host_.fail_overdue(job_);
        case State::reading:
            if (!parser_.begun() && !connection_.input().empty()) return read();
            // What has just come is read in the next round.
            if (rests() && connection_.has_hung_up()) return timer_.arm(front_.loop_.now());
            ++front_.counters_.timed_out;
            if (parser_.begun() && connection_.all_sent()) return reject({408, "the request took too long"});
            [[fallthrough]];
        case State::leaving:
            return front_.drop(*this);
        }
    }

    void read() {
        while (state_ == State::reading && !connection_.input().empty()) {
            if (!parser_.begun()) {
                const net::Time now = front_.loop_.now();
                arrived_ = arrivals_.first_unread(now); // the client's time has begun to run
                timer_.arm(new_ ? first_by_ : now + read_time);
            }
            const bool had_head = parser_.head_done();
            const std::size_t used = parser_.feed(connection_.input());
            arrivals_.record_consumed(used);
            connection_.consume(used);
            if (parser_.bad()) return reject({parser_.error(), "not a request that can be read"});
            if (parser_.done()) {
                on_request();
            } else if (parser_.head_done() && !had_head &&
                       parser_.head().has_token("expect", "100-continue")) {
                connection_.write(write_response(100, {}, ""));
            }
        }
        if (front_.finishing_ && !new_ && idle()) front_.drop(*this); // it was no request
    }

    void on_request() {
        const net::http::Head& head = parser_.head();
        ++front_.counters_.requests;
        new_ = false;
        if (head.minor >= 1 && head.find("host") == nullptr) return reject({400, "Host is missing"});
        const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
        if (path == "/ready") {
            ++front_.counters_.ready_checks;
            if (head.method != "GET")
                return answer(405, {{"Allow", "GET"}}, "GET tells whether we are ready\n");
            const bool ready = !front_.draining_ && !front_.lame_since_ && front_.ready_();
            return answer(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
        }
        if (head.method != "POST") return answer(405, {{"Allow", "POST"}}, "a job comes by POST\n");
        core::Message message;
        Rejection rejection;
        if (!read_message(parser_, front_.settings_, arrived_, message, rejection)) return reject(rejection);
        const net::Time deadline = message.deadline;
        // It waited behind another for longer than its client does.
        if (deadline <= front_.loop_.now()) {
            front_.host_.turn_away(message.job_class, message.tenant);
            return on_refused(front_.host_.stay_away());
        }
        // After SIGTERM time is short. A job that would not be done goes elsewhere at once.
        const bool ending = front_.leaving_ &&
                            front_.loop_.now() + 2 * front_.host_.usual_time(message.job_class) > front_.end_;
        if (ending || front_.lame_for() > lame_jobs) {
            front_.host_.turn_away(message.job_class, message.tenant);
            return send_elsewhere();
        }
        if (front_.host_.holds(message.id)) return reject({409, "the X-Request-ID is in use"});
        state_ = State::waiting;
        if (!front_.host_.admit(std::move(message), *this, job_)) {
            ++front_.counters_.not_admitted;
            return on_refused(front_.host_.stay_away());
        }
        timer_.arm(deadline);
    }

    void on_served(std::string_view result) override { answer(200, {}, result); }

    void on_refused(core::Duration stay_away) override {
        refuse(stay_away, "try again later\n", Then::go_on);
    }

    void send_elsewhere(Then then = Then::close_when_read) {
        refuse(front_.host_.go_elsewhere(), "going away, try elsewhere\n", then);
    }

    void refuse(core::Duration stay_away, std::string_view why, Then then) {
        net::http::Fields fields;
        if (stay_away > 0ns) fields.emplace_back("Retry-After", decimal_seconds(stay_away));
        answer(503, std::move(fields), why, then);
    }

    void on_failed() override { answer(502, {}, "failed\n"); }

    // What could not be read leaves it open where the next request begins.
    void reject(const Rejection& rejection) {
        ++front_.counters_.rejected;
        answer(rejection.status, {}, rejection.reason + "\n", Then::close);
    }

    void answer(int status, net::http::Fields fields, std::string_view body, Then then = Then::go_on) {
        // Going away, we answer what has come before we end the connection: what was read and is dropped
        // would be lost to its client.
        const bool goes = then == Then::close_when_read || front_.finishing_ || front_.lame_since_;
        const bool last = then == Then::close || !parser_.head().keeps_alive() || (goes && !more_waits());
        if (last) fields.emplace_back("Connection", "close");
        if (!last && parser_.head().minor == 0) fields.emplace_back("Connection", "keep-alive");
        state_ = last ? State::leaving : State::reading;
        connection_.write(write_response(status, fields, body));
        if (last) {
            timer_.arm(front_.loop_.now() + (connection_.all_sent() ? linger_time : write_time));
            return connection_.close_when_sent();
        }
        parser_.restart();
        rest();
        // A request may be in the buffer already. It is read when the stack that led here is gone.
        if (!connection_.input().empty()) timer_.arm(front_.loop_.now());
    }

    // Bytes of a further request are here. (A client that never stops sending is not waited for.)
    bool more_waits() const {
        const bool patient = !front_.leaving_ || front_.loop_.now() < front_.end_ + linger_time;
        return patient && (!connection_.input().empty() || connection_.has_hung_up());
    }

    void rest() {
        idle_since_ = front_.loop_.now();
        timer_.arm(idle_since_ + (connection_.all_sent() ? idle_time : write_time));
    }

    Frontend& front_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::request};
    net::Timer timer_;
    ArrivalTimes arrivals_;
    State state_ = State::reading;
    core::JobId job_ = 0;
    net::Time arrived_{0}, idle_since_{0}, first_by_{0};
    bool new_ = true; // no whole request has come yet
};

Frontend::Frontend(net::Loop& loop, const config::Settings& settings, core::Host& host,
                   std::size_t most_connections, std::function<bool()> ready, net::Fd listener)
    : loop_(loop), settings_(settings), host_(host), most_connections_(most_connections),
      ready_(std::move(ready)),
      listener_(listener.valid() ? std::move(listener) : net::listen_on(settings.listen, true)),
      pause_(loop.timer_wheel(), [this] { listen(true); }),
      send_away_(loop.timer_wheel(), [this] { send_away(); }) {}

Frontend::~Frontend() { listen(false); }

void Frontend::listen(bool on) {
    if (!listener_.valid()) return;
    on&& accepting_ ? loop_.watch(listener_.get(), POLLIN, *this) : loop_.unwatch(listener_.get());
}

// Out of descriptors, a connection that waits at the listener would wake poll for ever: look away for a
// while, and let go of a client that wants nothing now.
void Frontend::on_ready(short) {
    for (int accepted = 0; accepted < accepts_a_round;) {
        // Room is made for a connection that is there: one too many, and no idle one is given up for nothing.
        if (clients_.size() > most_connections_ && !close_one_idle()) return look_away();
        net::Fd fd = net::accept_from(listener_);
        if (fd.valid()) {
            ++accepted;
            ++counters_.accepted;
            if (clients_.size() >= most_connections_) close_one_idle();
            const auto client = std::make_shared<ClientConnection>(*this, std::move(fd));
            clients_.emplace(client.get(), client);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return;
        spdlog::warn("north: cannot accept: errno {}", errno);
        close_one_idle();
        return look_away();
    }
}

void Frontend::look_away() {
    listen(false);
    pause_.arm(loop_.now() + accept_pause);
}

bool Frontend::close_one_idle() {
    std::vector<ClientConnection*> resting;
    for (const auto& [client, owner] : clients_) {
        if (client->rests()) resting.push_back(client);
    }
    std::ranges::sort(resting, {}, [](const ClientConnection* client) { return client->standing(); });
    const auto found = std::ranges::find_if(resting, &ClientConnection::idle);
    if (found == resting.end()) return false;
    ++counters_.evicted;
    drop(**found);
    return true;
}

void Frontend::drop(ClientConnection& client) {
    const auto found = clients_.find(&client);
    if (found == clients_.end()) return;
    client.close();
    loop_.defer_destruction(std::move(found->second));
    clients_.erase(found);
}

void Frontend::set_accepting(bool on) {
    accepting_ = on;
    listen(on);
}

void Frontend::drain() { draining_ = true; }

void Frontend::set_lame_duck(bool on) {
    if (on == lame_since_.has_value()) return;
    spdlog::info("north: {} connections {}", clients_.size(), on ? "are sent away" : "may stay");
    lame_since_ = on ? std::optional(loop_.now()) : std::nullopt;
    on ? send_away_.arm(loop_.now() + lame_idle) : send_away_.disarm();
}

net::Duration Frontend::lame_for() const {
    return lame_since_ ? loop_.now() - *lame_since_ : net::Duration(-1);
}

void Frontend::send_away() {
    each_client([this](ClientConnection& client) {
        if (client.idle()) return drop(client);
        if (lame_for() > lame_jobs) client.cut_off();
    });
    send_away_.arm(loop_.now() + lame_pause);
}

// The action may drop it.
template <class Action> void Frontend::each_client(Action action) {
    std::vector<ClientConnection*> clients;
    clients.reserve(clients_.size());
    for (const auto& [client, owner] : clients_)
        clients.push_back(client);
    for (ClientConnection* client : clients)
        action(*client);
}

void Frontend::begin_shutdown(net::Time end) {
    draining_ = true;
    // What waits there has been accepted by this machine.
    for (auto before = counters_.accepted; listener_.valid() && accepting_; before = counters_.accepted) {
        on_ready(POLLIN);
        if (counters_.accepted == before) break;
    }
    stop_accepting(end);
}

void Frontend::stop_accepting(net::Time end) {
    leaving_ = true;
    left_at_ = loop_.now();
    end_ = end;
    pause_.disarm();
    listen(false);
    listener_.reset();
}

// A connection that is new stays for its first request, which may be on its way.
void Frontend::hand_over(net::Time end) {
    draining_ = finishing_ = true;
    stop_accepting(end);
    each_client([this](ClientConnection& client) {
        if (client.idle() && !client.is_new()) drop(client);
    });
}

void Frontend::finish_shutdown() {
    finishing_ = true;
    each_client([this](ClientConnection& client) { client.idle() ? drop(client) : client.cut_short(); });
}

} // namespace willowrill::frontend
