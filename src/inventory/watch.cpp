#include "inventory/watch.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace willowrill::inventory {
namespace {

using namespace std::chrono_literals;

// A watch that finds nothing new is answered after its hold. What changes meanwhile counts as told two
// seconds after that at the latest, so a call without an answer is given up before then.
constexpr auto late = 1500ms;
constexpr auto most_hold = 60000ms;    // the protocol's
constexpr auto default_hold = 20000ms; // where no setting says how long a list is valid

// Discovery may vanish without a word, and its answers are the only sign of life: the hold is short enough to
// notice by the time the list has become invalid.
std::chrono::milliseconds hold_for(net::Duration list_valid) {
    if (list_valid <= 0ns) return default_hold;
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(list_valid), 1000ms, most_hold);
}

} // namespace

Watch::Watch(net::Loop& loop, net::Endpoint discovery, net::Duration list_valid, List& list, News news)
    : loop_(loop), discovery_(discovery), hold_(hold_for(list_valid)), list_(list), news_(std::move(news)),
      overdue_(loop.wheel(), [this] { broken("no answer in time"); }) {}

void Watch::watch(bool active) {
    watching_ = active;
    if (active && !calling_) call();
    if (!active && calling_) hang_up();
}

void Watch::move(const net::Endpoint& discovery) {
    discovery_ = discovery;
    hang_up();
    moved_ = watching_ = true;
    call();
}

void Watch::hang_up() {
    overdue_.disarm();
    calling_ = false;
    if (!connection_) return;
    connection_->close();
    loop_.bury(std::move(connection_));
}

void Watch::call() {
    calling_ = true;
    if (connection_ && connection_->has_hung_up()) {
        connection_->close();
        loop_.bury(std::move(connection_));
    }
    if (!connection_) {
        net::Fd fd = net::connect_to(discovery_);
        if (!fd.valid())
            return overdue_.arm(loop_.now()); // told like any other failure, but not within the call
        connection_ = std::make_shared<net::Connection>(
            loop_, *this, std::move(fd), net::Connection::State::opening, net::http::read_ahead);
    }
    parser_.restart();
    std::string target = "/v1/endpoints";
    const bool whole = moved_ || list_.empty();
    if (!whole)
        target += "?from=" + std::to_string(list_.version()) + "&hold_ms=" + std::to_string(hold_.count());
    connection_->write(net::http::write_request("GET", target, {{"Host", discovery_.text()}}, ""));
    answer_by_ = loop_.now() + late + (whole ? 0ms : hold_);
    // Out of reach, a connection would be tried for longer and longer by the system: try anew instead.
    const bool opening = connection_->state() == net::Connection::State::opening;
    overdue_.arm(opening ? loop_.now() + late : answer_by_);
}

void Watch::on_open() { overdue_.arm(answer_by_); }

void Watch::on_input() {
    connection_->consume(parser_.feed(connection_->input()));
    if (!calling_ || parser_.bad()) return broken("not an HTTP answer");
    if (parser_.done()) answered();
}

void Watch::on_closed() {
    if (!calling_) return loop_.bury(std::move(connection_));
    parser_.end_of_input();
    if (parser_.done()) return answered();
    broken(connection_->state() == net::Connection::State::closed ? "the connection broke" : "no connection");
}

void Watch::answered() {
    if (parser_.head().status != 200) return broken("an answer other than 200");
    auto news = list_.read(parser_.body());
    if (!news) return broken("an answer that is no list");
    overdue_.disarm();
    calling_ = moved_ = false;
    if (!parser_.head().keeps_alive()) hang_up();
    // The next call goes out at once: a pause would end the watch.
    if (watching_) call();
    news_(std::move(*news));
}

// The module decides when to ask again, and is told just once for a call.
void Watch::broken(const char* why) {
    spdlog::warn("inventory: a call to discovery failed: {}", why);
    hang_up();
    watching_ = false;
    news_({willowrill::ListNews::Kind::broken, {}});
}

} // namespace willowrill::inventory
