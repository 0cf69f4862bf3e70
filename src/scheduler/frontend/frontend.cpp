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

// Time for a complete request, counted from its first byte, or from accepting the connection for the first
// one. Bytes that trickle in do not extend it, so that slow or silent clients cannot hold descriptors.
constexpr auto request_timeout = 2500ms;
constexpr auto response_timeout = 10s; // to send a response
constexpr auto linger_timeout = 2s;    // for the client to close after the last response
constexpr auto idle_timeout = 300s;    // between requests
constexpr auto accept_pause = 100ms;
// Lame duck mode. The load balancer notices it within 0.1 s and may open connections, with their first
// requests, for another 0.2 s. The mode lasts 4 s, and no job may be accepted in the last 2 s.
constexpr auto lame_duck_close_idle_after = 500ms;   // closes idle connections from then on
constexpr auto lame_duck_refuse_jobs_after = 1800ms; // refuses jobs from then on
constexpr auto lame_duck_check_period = 50ms;        // between two passes over the connections
constexpr int max_accepts_per_event = 64;            // many new connections must not starve existing ones

std::string decimal_seconds(core::Duration span) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(span).count());
    return text.data();
}

} // namespace

// A client's connection. It handles one request at a time; further ones wait in the input buffer.
class Frontend::ClientConnection final : public net::Connection::Owner,
                                         public core::Client,
                                         public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(Frontend& front, net::Fd fd)
        : front_(front), connection_(front.loop_, *this, std::move(fd), net::Connection::State::open,
                                     net::http::input_buffer_bytes),
          timer_(front.loop_.timer_wheel(), [this] { on_timer(); }) {
        idle_since_ = front_.loop_.now();
        timer_.arm(first_request_deadline_ = idle_since_ + request_timeout);
    }

    // No part of a request has been received, as far as the socket was read.
    bool has_no_request() const {
        return state_ == State::reading && !parser_.begun() && connection_.input().empty() &&
               connection_.all_sent();
    }
    // Also no bytes wait in the socket: closing the connection would lose a request.
    bool is_idle() const { return has_no_request() && !connection_.has_hung_up(); }
    // Order of eviction: connections that never sent a request first, then those that have been idle longest.
    auto eviction_rank() const { return std::pair(!is_new_, idle_since_); }
    bool is_new() const { return is_new_; }
    void close() {
        timer_.disarm();
        connection_.close();
    }
    // Lame duck mode is about to end: refuses a request that is still being received.
    void refuse_partial_request() {
        if (state_ != State::reading || !parser_.begun() || !connection_.all_sent()) return;
        ++front_.counters_.rejected;
        refuse_for_shutdown(AfterResponse::close);
    }
    // Aborts a job that arrived after the shutdown began. Earlier jobs run until their deadline.
    void abort_if_late() {
        if (state_ == State::waiting && request_arrived_at_ > front_.shutdown_began_at_)
            front_.host_.abort_for_shutdown(job_);
    }

  private:
    enum class State { reading, waiting, closing };
    // What follows a response: the next request, the end of the connection once all received requests are
    // answered, or its immediate end.
    enum class AfterResponse { keep_open, close_when_read, close };

    void on_input() override {
        const std::size_t unread = connection_.input().size();
        arrival_times_.record_unread(unread, front_.loop_.now(), unread >= net::http::input_buffer_bytes);
        if (state_ == State::reading) read_requests();
    }

    void on_sent() override {
        if (state_ != State::reading) return;
        become_idle();
        if (front_.closing_when_idle_ && is_idle()) front_.remove(*this);
    }

    // The client has closed the connection, possibly after the last response.
    void on_closed() override {
        if (state_ == State::waiting) front_.host_.client_left(job_);
        front_.remove(*this);
    }

    void on_timer() {
        switch (state_) {
        case State::waiting: // safety net: the module ends every message before its deadline
            return front_.host_.fail_overdue(job_);
        case State::reading:
            if (!parser_.begun() && !connection_.input().empty()) return read_requests();
            // Bytes that have just arrived are read in the next iteration.
            if (has_no_request() && connection_.has_hung_up()) return timer_.arm(front_.loop_.now());
            ++front_.counters_.timed_out;
            if (parser_.begun() && connection_.all_sent()) return reject({408, "the request took too long"});
            [[fallthrough]];
        case State::closing:
            return front_.remove(*this);
        }
    }

    void read_requests() {
        while (state_ == State::reading && !connection_.input().empty()) {
            if (!parser_.begun()) {
                const net::Time now = front_.loop_.now();
                request_arrived_at_ =
                    arrival_times_.first_unread(now); // the client's timeout counts from here
                timer_.arm(is_new_ ? first_request_deadline_ : now + request_timeout);
            }
            const bool had_head = parser_.head_done();
            const std::size_t consumed_bytes = parser_.feed(connection_.input());
            arrival_times_.record_consumed(consumed_bytes);
            connection_.consume(consumed_bytes);
            if (parser_.bad()) return reject({parser_.error(), "not a request that can be read"});
            if (parser_.done()) {
                on_request();
            } else if (parser_.head_done() && !had_head &&
                       parser_.head().has_token("expect", "100-continue")) {
                connection_.write(write_response(100, {}, ""));
            }
        }
        if (front_.closing_when_idle_ && !is_new_ && is_idle())
            front_.remove(*this); // the input was not a request
    }

    void on_request() {
        const net::http::Head& head = parser_.head();
        ++front_.counters_.requests;
        is_new_ = false;
        if (head.minor >= 1 && head.find("host") == nullptr) return reject({400, "Host is missing"});
        const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
        if (path == "/ready") {
            ++front_.counters_.ready_checks;
            if (head.method != "GET")
                return respond(405, {{"Allow", "GET"}}, "GET tells whether we are ready\n");
            const bool ready = !front_.draining_ && !front_.lame_duck_since_ && front_.is_ready_();
            return respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
        }
        if (head.method != "POST") return respond(405, {{"Allow", "POST"}}, "a job comes by POST\n");
        core::Message message;
        Rejection rejection;
        if (!read_message(parser_, front_.settings_, request_arrived_at_, message, rejection))
            return reject(rejection);
        const net::Time deadline = message.deadline;
        // It waited behind another request until its deadline.
        if (deadline <= front_.loop_.now()) {
            front_.host_.record_rejection(message.job_class, message.tenant);
            return on_refused(front_.host_.retry_after());
        }
        // During shutdown, a job that is unlikely to finish in time is refused, so that its client can retry
        // elsewhere immediately.
        const bool cannot_finish =
            front_.shutting_down_ &&
            front_.loop_.now() + 2 * front_.host_.typical_attempt_time(message.job_class) >
                front_.shutdown_deadline_;
        if (cannot_finish || front_.lame_duck_time() > lame_duck_refuse_jobs_after) {
            front_.host_.record_rejection(message.job_class, message.tenant);
            return refuse_for_shutdown();
        }
        if (front_.host_.holds(message.id)) return reject({409, "the X-Request-ID is in use"});
        state_ = State::waiting;
        if (!front_.host_.admit(std::move(message), *this, job_)) {
            ++front_.counters_.not_admitted;
            return on_refused(front_.host_.retry_after());
        }
        timer_.arm(deadline);
    }

    void on_served(std::string_view result) override { respond(200, {}, result); }

    void on_refused(core::Duration retry_after) override {
        refuse(retry_after, "try again later\n", AfterResponse::keep_open);
    }

    void refuse_for_shutdown(AfterResponse after = AfterResponse::close_when_read) {
        refuse(front_.host_.retry_elsewhere_after(), "going away, try elsewhere\n", after);
    }

    void refuse(core::Duration retry_after, std::string_view body, AfterResponse after) {
        net::http::Fields fields;
        if (retry_after > 0ns) fields.emplace_back("Retry-After", decimal_seconds(retry_after));
        respond(503, std::move(fields), body, after);
    }

    void on_failed() override { respond(502, {}, "failed\n"); }

    // Closes the connection, as after a malformed request the start of the next one is unknown.
    void reject(const Rejection& rejection) {
        ++front_.counters_.rejected;
        respond(rejection.status, {}, rejection.reason + "\n", AfterResponse::close);
    }

    void respond(int status, net::http::Fields fields, std::string_view body,
                 AfterResponse after = AfterResponse::keep_open) {
        // A closing connection still answers the requests that have arrived: their clients would lose those
        // that were read and dropped.
        const bool is_closing =
            after == AfterResponse::close_when_read || front_.closing_when_idle_ || front_.lame_duck_since_;
        const bool is_last = after == AfterResponse::close || !parser_.head().keeps_alive() ||
                             (is_closing && !has_more_input());
        if (is_last) fields.emplace_back("Connection", "close");
        if (!is_last && parser_.head().minor == 0) fields.emplace_back("Connection", "keep-alive");
        state_ = is_last ? State::closing : State::reading;
        connection_.write(write_response(status, fields, body, parser_.head().method));
        if (is_last) {
            timer_.arm(front_.loop_.now() + (connection_.all_sent() ? linger_timeout : response_timeout));
            return connection_.close_when_sent();
        }
        parser_.restart();
        become_idle();
        // A further request may be in the buffer. The timer reads it in a later iteration, to avoid
        // recursion.
        if (!connection_.input().empty()) timer_.arm(front_.loop_.now());
    }

    // Whether bytes of a further request have arrived. After the shutdown deadline, a client that never stops
    // sending is not waited for.
    bool has_more_input() const {
        const bool may_wait =
            !front_.shutting_down_ || front_.loop_.now() < front_.shutdown_deadline_ + linger_timeout;
        return may_wait && (!connection_.input().empty() || connection_.has_hung_up());
    }

    void become_idle() {
        idle_since_ = front_.loop_.now();
        timer_.arm(idle_since_ + (connection_.all_sent() ? idle_timeout : response_timeout));
    }

    Frontend& front_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::request};
    net::Timer timer_;
    ArrivalTimes arrival_times_;
    State state_ = State::reading;
    core::JobId job_ = 0;
    net::Time request_arrived_at_{0}, idle_since_{0}, first_request_deadline_{0};
    bool is_new_ = true; // no complete request has been received yet
};

Frontend::Frontend(net::Loop& loop, const config::Settings& settings, core::Host& host,
                   std::size_t max_connections, std::function<bool()> ready, net::Fd listener)
    : loop_(loop), settings_(settings), host_(host), max_connections_(max_connections),
      is_ready_(std::move(ready)),
      listener_(listener.valid() ? std::move(listener) : net::listen_on(settings.listen, true)),
      accept_pause_timer_(loop.timer_wheel(), [this] { watch_listener(true); }),
      lame_duck_timer_(loop.timer_wheel(), [this] { close_lame_duck_clients(); }) {}

Frontend::~Frontend() { watch_listener(false); }

void Frontend::watch_listener(bool on) {
    if (!listener_.valid()) return;
    on&& accepting_ ? loop_.watch(listener_.get(), POLLIN, *this) : loop_.unwatch(listener_.get());
}

// When descriptors run out, a pending connection would make poll return forever: accepting pauses for a
// while, and an idle connection is closed.
void Frontend::on_ready(short) {
    for (int accepted = 0; accepted < max_accepts_per_event;) {
        // The limit may be exceeded by one, so that no idle connection is closed before another one is
        // accepted.
        if (clients_.size() > max_connections_ && !close_one_idle()) return pause_accepting();
        net::Fd fd = net::accept_from(listener_);
        if (fd.valid()) {
            ++accepted;
            ++counters_.accepted;
            if (clients_.size() >= max_connections_) close_one_idle();
            const auto client = std::make_shared<ClientConnection>(*this, std::move(fd));
            clients_.emplace(client.get(), client);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return;
        spdlog::warn("frontend: cannot accept a connection: errno {}", errno);
        close_one_idle();
        return pause_accepting();
    }
}

void Frontend::pause_accepting() {
    watch_listener(false);
    accept_pause_timer_.arm(loop_.now() + accept_pause);
}

bool Frontend::close_one_idle() {
    std::vector<ClientConnection*> candidates;
    for (const auto& [client, owner] : clients_) {
        if (client->has_no_request()) candidates.push_back(client);
    }
    std::ranges::sort(candidates, {}, [](const ClientConnection* client) { return client->eviction_rank(); });
    const auto found = std::ranges::find_if(candidates, &ClientConnection::is_idle);
    if (found == candidates.end()) return false;
    ++counters_.evicted;
    remove(**found);
    return true;
}

void Frontend::remove(ClientConnection& client) {
    const auto found = clients_.find(&client);
    if (found == clients_.end()) return;
    client.close();
    loop_.defer_destruction(std::move(found->second));
    clients_.erase(found);
}

void Frontend::set_accepting(bool on) {
    accepting_ = on;
    watch_listener(on);
}

void Frontend::drain() { draining_ = true; }

void Frontend::set_lame_duck(bool on) {
    if (on == lame_duck_since_.has_value()) return;
    spdlog::info("frontend: {} connections {}", clients_.size(),
                 on ? "are being closed, lame duck mode on" : "are kept, lame duck mode off");
    lame_duck_since_ = on ? std::optional(loop_.now()) : std::nullopt;
    on ? lame_duck_timer_.arm(loop_.now() + lame_duck_close_idle_after) : lame_duck_timer_.disarm();
}

net::Duration Frontend::lame_duck_time() const {
    return lame_duck_since_ ? loop_.now() - *lame_duck_since_ : net::Duration(-1);
}

void Frontend::close_lame_duck_clients() {
    for_each_client([this](ClientConnection& client) {
        if (client.is_idle()) return remove(client);
        if (lame_duck_time() > lame_duck_refuse_jobs_after) client.refuse_partial_request();
    });
    lame_duck_timer_.arm(loop_.now() + lame_duck_check_period);
}

// The action may remove the client it is called with.
template <class Action> void Frontend::for_each_client(Action action) {
    std::vector<ClientConnection*> clients;
    clients.reserve(clients_.size());
    for (const auto& [client, owner] : clients_)
        clients.push_back(client);
    for (ClientConnection* client : clients)
        action(*client);
}

void Frontend::begin_shutdown(net::Time deadline) {
    draining_ = true;
    // Connections in the listen queue are established already and would be reset.
    for (auto previously_accepted = counters_.accepted; listener_.valid() && accepting_;
         previously_accepted = counters_.accepted) {
        on_ready(POLLIN);
        if (counters_.accepted == previously_accepted) break;
    }
    stop_accepting(deadline);
}

void Frontend::stop_accepting(net::Time deadline) {
    shutting_down_ = true;
    shutdown_began_at_ = loop_.now();
    shutdown_deadline_ = deadline;
    accept_pause_timer_.disarm();
    watch_listener(false);
    listener_.reset();
}

// New connections stay open for their first request, which may be on its way.
void Frontend::hand_over(net::Time deadline) {
    draining_ = closing_when_idle_ = true;
    stop_accepting(deadline);
    for_each_client([this](ClientConnection& client) {
        if (client.is_idle() && !client.is_new()) remove(client);
    });
}

void Frontend::finish_shutdown() {
    closing_when_idle_ = true;
    for_each_client(
        [this](ClientConnection& client) { client.is_idle() ? remove(client) : client.abort_if_late(); });
}

} // namespace willowrill::frontend
