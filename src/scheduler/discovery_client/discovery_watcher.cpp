#include "scheduler/discovery_client/discovery_watcher.h"

#include "scheduler/load_estimates/back_off.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace willowrill::discovery_client {

using namespace std::chrono_literals;

// An HTTP connection that carries one request at a time. It is reused after a response if the server allows
// it.
class DiscoveryWatcher::Request final : public net::Connection::Owner {
  public:
    explicit Request(DiscoveryWatcher& watcher)
        : watcher_(watcher), timeout_timer_(watcher.loop_.timer_wheel(),
                                            [this] { watcher_.on_failure(*this, "no response in time"); }) {
        net::Fd fd = net::connect_to(watcher.discovery_);
        if (!fd.valid())
            return; // reported from the event loop, like any other failure, and not from within this call
        connection_ =
            std::make_shared<net::Connection>(watcher.loop_, *this, std::move(fd),
                                              net::Connection::State::opening, net::http::input_buffer_bytes);
    }

    void send(const std::string& target, net::Duration hold) {
        const net::Time now = watcher_.loop_.now();
        if (!connection_) return timeout_timer_.arm(now);
        parser_.restart();
        awaiting_response_ = true;
        response_deadline_ = now + hold + watcher_.timeouts_.response_timeout;
        connection_->write(
            net::http::write_request("GET", target, {{"Host", watcher_.discovery_.text()}}, ""));
        // The kernel retries a connection attempt at growing intervals, so that a new attempt is faster than
        // waiting.
        const bool opening = connection_->state() == net::Connection::State::opening;
        timeout_timer_.arm(opening ? now + watcher_.timeouts_.connect_timeout : response_deadline_);
    }
    bool can_be_reused() {
        return connection_ && !connection_->has_hung_up() && parser_.head().keeps_alive();
    }
    net::http::Parser& response() { return parser_; }
    void close() {
        timeout_timer_.disarm();
        awaiting_response_ = false;
        if (!connection_) return;
        connection_->close();
        watcher_.loop_.defer_destruction(std::move(connection_));
    }

  private:
    void on_open() override { timeout_timer_.arm(response_deadline_); }
    void on_input() override {
        connection_->consume(parser_.feed(connection_->input()));
        if (!awaiting_response_ || parser_.bad()) return watcher_.on_failure(*this, "not an HTTP response");
        if (parser_.done()) finish();
    }
    void on_closed() override {
        if (!awaiting_response_) return watcher_.remove_request(*this);
        parser_.end_of_input();
        if (parser_.done()) return finish();
        watcher_.on_failure(*this, connection_->state() == net::Connection::State::closed
                                       ? "the connection was lost"
                                       : "cannot connect");
    }
    void finish() {
        awaiting_response_ = false;
        timeout_timer_.disarm();
        watcher_.on_response(*this);
    }

    DiscoveryWatcher& watcher_;
    std::shared_ptr<net::Connection> connection_;
    net::http::Parser parser_{net::http::Parser::Kind::response};
    net::Timer timeout_timer_;
    net::Time response_deadline_{0};
    bool awaiting_response_ = false;
};

DiscoveryWatcher::DiscoveryWatcher(net::Loop& loop, net::Endpoint discovery, WatchTimeouts timeouts,
                                   std::uint64_t seed, WorkerRegistry& registry, UpdateCallback on_update)
    : loop_(loop), discovery_(discovery), timeouts_(timeouts), random_(seed), registry_(registry),
      on_update_(std::move(on_update)), stall_timer_(loop.timer_wheel(), [this] { on_stall(); }) {}

DiscoveryWatcher::~DiscoveryWatcher() { cancel_requests(); }

void DiscoveryWatcher::watch(bool active) {
    watching_ = active;
    if (active && requests_.empty()) send_request(add_request(), has_received_list_ ? choose_hold() : 0ns);
    if (!active) cancel_requests();
}

void DiscoveryWatcher::set_endpoint(const net::Endpoint& discovery) {
    discovery_ = discovery;
    cancel_requests();
    endpoint_changed_ = watching_ = true;
    send_request(add_request(), 0ns);
}

// Returns a random hold between three quarters of the maximum and the maximum. A change of the list completes
// the requests of all schedulers at the same moment; with equal holds, their next requests would stay
// synchronized.
net::Duration DiscoveryWatcher::choose_hold() {
    const double fraction = 0.75 + 0.25 * random_fraction();
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        fraction * static_cast<double>(
                       std::chrono::duration_cast<std::chrono::milliseconds>(timeouts_.max_hold).count())));
}

DiscoveryWatcher::Request& DiscoveryWatcher::add_request() {
    return *requests_.emplace_back(std::make_shared<Request>(*this));
}

void DiscoveryWatcher::send_request(Request& request, net::Duration hold) {
    std::string target = "/v1/endpoints";
    const bool wants_full_list = endpoint_changed_ || (registry_.empty() && registry_.version() == 0);
    if (wants_full_list) {
        hold = 0ns;
    } else {
        // The shortest hold that can be expressed is 1 ms.
        const auto hold_ms = std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(hold));
        target +=
            "?from=" + std::to_string(registry_.version()) + "&hold_ms=" + std::to_string(hold_ms.count());
    }
    request.send(target, hold);
    stall_timer_.arm(loop_.now() + (wants_full_list        ? timeouts_.full_list_stall_timeout
                                    : requests_.size() > 1 ? timeouts_.retry_interval
                                                           : hold + timeouts_.stall_timeout));
}

// No request has been answered in time. The subscription counts as broken even if its connection is still
// open, so another request is sent, without a hold.
void DiscoveryWatcher::on_stall() {
    if (requests_.size() >= max_requests) return stall_timer_.arm(loop_.now() + timeouts_.retry_interval);
    if (!std::exchange(is_stalled_, true)) {
        ++stall_count_;
        spdlog::warn(
            "inventory: discovery does not respond in time; another request is sent beside the pending one");
    }
    send_request(add_request(), 0ns);
}

void DiscoveryWatcher::remove_request(Request& request) {
    request.close();
    const auto position = std::ranges::find(requests_, &request, &std::shared_ptr<Request>::get);
    loop_.defer_destruction(std::move(*position));
    requests_.erase(position);
}

void DiscoveryWatcher::cancel_requests() {
    stall_timer_.disarm();
    while (!requests_.empty())
        remove_request(*requests_.back());
}

void DiscoveryWatcher::on_response(Request& request) {
    if (request.response().head().status != 200) return on_failure(request, "the status is not 200");
    auto update = registry_.apply_update(request.response().body());
    if (!update) return on_failure(request, "the response is not a valid list");
    has_received_list_ = true;
    endpoint_changed_ = is_stalled_ = false;
    consecutive_failures_ = 0;
    stall_timer_.disarm();
    while (requests_.size() > 1) // the other requests cannot return anything newer
        remove_request(requests_.front().get() == &request ? *requests_.back() : *requests_.front());
    if (!request.can_be_reused()) remove_request(request);
    // The next request follows immediately: during a pause, changes would go unnoticed.
    if (watching_) send_request(requests_.empty() ? add_request() : *requests_.front(), choose_hold());
    on_update_(std::move(*update));
}

// As long as another request is pending, it may still be answered. Only the last failure is reported, as a
// broken list, and the dispatcher then decides when to watch again.
void DiscoveryWatcher::on_failure(Request& request, const char* reason) {
    remove_request(request);
    // The back-off keeps many callers from prolonging an overload of discovery.
    if (!requests_.empty())
        return stall_timer_.arm(loop_.now() +
                                load_estimates::back_off_after(consecutive_failures_++, random_fraction()));
    stall_timer_.disarm();
    watching_ = is_stalled_ = false;
    spdlog::warn("inventory: a request to discovery failed: {}", reason);
    on_update_({willowrill::EndpointListUpdate::Kind::broken, {}});
}

} // namespace willowrill::discovery_client
