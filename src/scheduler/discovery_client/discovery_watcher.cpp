#include "scheduler/discovery_client/discovery_watcher.h"

#include "scheduler/load_estimates/back_off.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace willowrill::discovery_client {

using namespace std::chrono_literals;

// One call on a connection of its own. After its answer it stays for the next one.
class DiscoveryWatcher::Call final : public net::Connection::Owner {
  public:
    explicit Call(DiscoveryWatcher& watch)
        : watch_(watch),
          overdue_(watch.loop_.timer_wheel(), [this] { watch_.failed(*this, "no answer in time"); }) {
        net::Fd fd = net::connect_to(watch.discovery_);
        if (!fd.valid()) return; // told like any other failure, but not within the call
        connection_ =
            std::make_shared<net::Connection>(watch.loop_, *this, std::move(fd),
                                              net::Connection::State::opening, net::http::input_buffer_bytes);
    }

    void ask(const std::string& target, net::Duration hold) {
        const net::Time now = watch_.loop_.now();
        if (!connection_) return overdue_.arm(now);
        parser_.restart();
        waits_ = true;
        answer_by_ = now + hold + watch_.times_.response_timeout;
        connection_->write(net::http::write_request("GET", target, {{"Host", watch_.discovery_.text()}}, ""));
        // Out of reach, a connection would be tried for longer and longer by the system: try anew instead.
        const bool opening = connection_->state() == net::Connection::State::opening;
        overdue_.arm(opening ? now + watch_.times_.connect_timeout : answer_by_);
    }
    bool can_go_on() { return connection_ && !connection_->has_hung_up() && parser_.head().keeps_alive(); }
    net::http::Parser& answer() { return parser_; }
    void close() {
        overdue_.disarm();
        waits_ = false;
        if (!connection_) return;
        connection_->close();
        watch_.loop_.defer_destruction(std::move(connection_));
    }

  private:
    void on_open() override { overdue_.arm(answer_by_); }
    void on_input() override {
        connection_->consume(parser_.feed(connection_->input()));
        if (!waits_ || parser_.bad()) return watch_.failed(*this, "not an HTTP answer");
        if (parser_.done()) finish();
    }
    void on_closed() override {
        if (!waits_) return watch_.drop(*this);
        parser_.end_of_input();
        if (parser_.done()) return finish();
        watch_.failed(*this, connection_->state() == net::Connection::State::closed ? "the connection broke"
                                                                                    : "no connection");
    }
    void finish() {
        waits_ = false;
        overdue_.disarm();
        watch_.answered(*this);
    }

    DiscoveryWatcher& watch_;
    std::shared_ptr<net::Connection> connection_;
    net::http::Parser parser_{net::http::Parser::Kind::response};
    net::Timer overdue_;
    net::Time answer_by_{0};
    bool waits_ = false;
};

DiscoveryWatcher::DiscoveryWatcher(net::Loop& loop, net::Endpoint discovery, WatchTimeouts times,
                                   std::uint64_t seed, WorkerRegistry& list, News news)
    : loop_(loop), discovery_(discovery), times_(times), random_(seed), list_(list), news_(std::move(news)),
      silence_(loop.timer_wheel(), [this] { silent(); }) {}

DiscoveryWatcher::~DiscoveryWatcher() { hang_up(); }

void DiscoveryWatcher::watch(bool active) {
    watching_ = active;
    if (active && calls_.empty()) ask(add(), heard_ ? next_hold() : 0ns);
    if (!active) hang_up();
}

void DiscoveryWatcher::set_endpoint(const net::Endpoint& discovery) {
    discovery_ = discovery;
    hang_up();
    moved_ = watching_ = true;
    ask(add(), 0ns);
}

// Between three quarters of the longest and all of it: news reach all schedulers at one moment, so that their
// calls begin together and would all end together ever after.
net::Duration DiscoveryWatcher::next_hold() {
    const double part = 0.75 + 0.25 * chance();
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        part *
        static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(times_.max_hold).count())));
}

DiscoveryWatcher::Call& DiscoveryWatcher::add() {
    return *calls_.emplace_back(std::make_shared<Call>(*this));
}

void DiscoveryWatcher::ask(Call& call, net::Duration hold) {
    std::string target = "/v1/endpoints";
    const bool whole = moved_ || (list_.empty() && list_.version() == 0);
    if (whole) {
        hold = 0ns;
    } else {
        // At least the shortest there is.
        const auto waits = std::max(1ms, std::chrono::duration_cast<std::chrono::milliseconds>(hold));
        target += "?from=" + std::to_string(list_.version()) + "&hold_ms=" + std::to_string(waits.count());
    }
    call.ask(target, hold);
    silence_.arm(loop_.now() + (whole               ? times_.full_list_stall_timeout
                                : calls_.size() > 1 ? times_.retry_interval
                                                    : hold + times_.stall_timeout));
}

// No word from any call: the watch is broken, whether or not its connection stands. What is asked now is
// answered at once.
void DiscoveryWatcher::silent() {
    if (calls_.size() >= most_calls) return silence_.arm(loop_.now() + times_.retry_interval);
    if (!std::exchange(silent_, true)) {
        ++silences_;
        spdlog::warn("inventory: discovery is silent, and is asked beside the call that is out");
    }
    ask(add(), 0ns);
}

void DiscoveryWatcher::drop(Call& call) {
    call.close();
    const auto at = std::ranges::find(calls_, &call, &std::shared_ptr<Call>::get);
    loop_.defer_destruction(std::move(*at));
    calls_.erase(at);
}

void DiscoveryWatcher::hang_up() {
    silence_.disarm();
    while (!calls_.empty())
        drop(*calls_.back());
}

void DiscoveryWatcher::answered(Call& call) {
    if (call.answer().head().status != 200) return failed(call, "an answer other than 200");
    auto news = list_.apply_update(call.answer().body());
    if (!news) return failed(call, "an answer that is no list");
    heard_ = true;
    moved_ = silent_ = false;
    failures_ = 0;
    silence_.disarm();
    while (calls_.size() > 1) // what the others may still say is no newer
        drop(calls_.front().get() == &call ? *calls_.back() : *calls_.front());
    if (!call.can_go_on()) drop(call);
    // The next call goes out at once: a pause would end the watch.
    if (watching_) ask(calls_.empty() ? add() : *calls_.front(), next_hold());
    news_(std::move(*news));
}

// While another call is out, that one may still be answered. The module decides when to ask again, and is
// told just once for all of them.
void DiscoveryWatcher::failed(Call& call, const char* why) {
    drop(call);
    // Asked at once, an overloaded discovery would stay so for as long as its callers are many.
    if (!calls_.empty())
        return silence_.arm(loop_.now() + load_estimates::back_off_after(failures_++, chance()));
    silence_.disarm();
    watching_ = silent_ = false;
    spdlog::warn("inventory: a call to discovery failed: {}", why);
    news_({willowrill::EndpointListUpdate::Kind::broken, {}});
}

} // namespace willowrill::discovery_client
