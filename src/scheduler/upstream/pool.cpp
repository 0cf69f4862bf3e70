#include "scheduler/upstream/pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace willowrill::upstream {
namespace {

using namespace std::chrono_literals;
using willowrill::Outcome;

// A worker closes a connection when it has been idle for the time in the settings. Its clock starts before
// ours and a request may be under way when it closes, so we let go at this share of the time.
constexpr double idle_share = 0.8;
// A worker that closes after its answer, or answers twice, does so a moment later: a request written before
// we hear it is lost, or gets the other one's answer.
constexpr auto settling = 15ms;
// One kept connection may break at its next request because its worker died. More within a short time show
// workers that break what they keep, and a request sent there may count as having run.
constexpr double distrust_half_s = 60, most_distrust = 1.5, some_distrust = 0.5;
constexpr auto answer_end = 1s; // how long the end of an answer may lag behind its verdict

std::uint64_t key_of(core::JobId job, core::Index attempt) { return (std::uint64_t{job} << 32U) | attempt; }

} // namespace

// One connection to a worker and the attempt on it, if any.
class Pool::Channel final : public net::Connection::Owner, public std::enable_shared_from_this<Channel> {
  public:
    Channel(Pool& pool, core::WorkerId worker, const net::Endpoint& address, net::Fd fd)
        : worker(worker), address(address), pool_(pool), reader_(pool.fields_),
          connection_(pool.loop_, *this, std::move(fd), net::Connection::State::opening,
                      net::http::input_buffer_bytes),
          timer_(pool.loop_.timer_wheel(), [this] { on_timer(); }) {}

    // The message must stay until the attempt has ended: while the connection comes up, the request waits
    // here.
    void carry(core::JobId job, core::Index attempt, core::Time give_up, core::Time begin_by,
               const core::Message& message) {
        job_ = job;
        attempt_ = attempt;
        give_up_ = give_up;
        message_ = &message;
        state_ = State::asked;
        reader_.begin(message.id);
        if (!opening()) return send_request();
        const net::Time up_by = pool_.loop_.now() + pool_.limits_.connect_timeout;
        timer_.arm(std::min({give_up, up_by, begin_by}));
    }

    // Asks for the worker's load. An answer that takes longer than a connection may to come up is no news.
    void probe() {
        asked_at_ = pool_.loop_.now();
        state_ = State::probing;
        timer_.arm(asked_at_ + pool_.limits_.connect_timeout);
        connection_.write(net::http::write_request("GET", "/status/load", {{"Host", address.text()}}, ""));
    }

    void rest() {
        state_ = State::idle;
        reused_ = true;
        rested_at_ = pool_.loop_.now();
        const auto idle = std::chrono::duration<double, std::nano>(pool_.limits_.idle) * idle_share;
        timer_.arm(pool_.loop_.now() + std::chrono::duration_cast<net::Duration>(idle));
    }

    void close() {
        timer_.disarm();
        connection_.close();
    }
    bool sent() const { return connection_.all_sent(); } // the request, to its last byte
    bool usable() const { return state_ == State::idle && !connection_.has_hung_up(); }
    bool settled() const { return pool_.loop_.now() - rested_at_ >= settling; }
    bool opening() const { return connection_.state() == net::Connection::State::opening; }
    std::uint64_t key() const { return key_of(job_, attempt_); }

    const core::WorkerId worker;
    const net::Endpoint address;

  private:
    enum class State { asked, probing, ending, idle };

    // The request's last byte decides: before it the job cannot have begun.
    Outcome broken() const { return connection_.all_sent() ? Outcome::reset : Outcome::connect_failed; }

    // Written only now that it can go out: what it tells of the time left is true when the worker reads it.
    void send_request() {
        const core::Message& message = *std::exchange(message_, nullptr);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(give_up_ - pool_.loop_.now());
        net::http::Fields fields{{"Host", address.text()},
                                 {"X-Request-ID", message.id},
                                 {"X-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, left.count()))}};
        if (!message.idempotency_key.empty()) fields.emplace_back("Idempotency-Key", message.idempotency_key);
        timer_.arm(give_up_);
        connection_.write(net::http::write_request(message.method, message.target, fields, message.body));
        if (connection_.all_sent()) ++pool_.counters_.written;
    }

    void on_open() override {
        if (state_ == State::asked) return send_request();
        timer_.arm(pool_.loop_.now() + pool_.limits_.connect_timeout);
    }
    void on_sent() override {
        if (state_ == State::asked) ++pool_.counters_.written;
    }

    void on_input() override {
        connection_.consume(parser_.feed(connection_.input()));
        switch (state_) {
        case State::idle: // nobody asked for anything
            ++pool_.counters_.closed_by_worker;
            return pool_.drop(*this);
        case State::ending:
            return end_answer();
        case State::probing:
            return read_probe();
        case State::asked:
            return read_answer();
        }
    }

    void read_probe() {
        if (parser_.bad()) return end_probe(Outcome::error, pool_.counters_.probe_malformed);
        if (!parser_.done()) return;
        const auto report = reader_.read_probe(parser_);
        const bool willing = parser_.head().status == 200;
        ++(report    ? pool_.counters_.probe_reports
           : willing ? pool_.counters_.probe_malformed
                     : pool_.counters_.probe_error_statuses);
        const auto self = shared_from_this();
        pool_.asking_.erase(worker);
        state_ = State::ending;
        pool_.closing_.emplace(this, self);
        end_answer();
        tell_probed(willing ? Outcome::served : Outcome::error, report);
    }

    void tell_probed(Outcome outcome, const std::optional<willowrill::Report>& report = {}) {
        pool_.host_->probed(worker, outcome, pool_.loop_.now() - asked_at_, report);
    }

    void read_answer() {
        std::vector<ProgressNote> notes;
        const bool early = !connection_.all_sent();
        auto verdict = reader_.read(parser_, notes);
        for (const ProgressNote& note : notes) {
            note.started ? pool_.host_->attempt_started(job_, attempt_)
                         : pool_.host_->attempt_progress(job_, attempt_, note.share);
        }
        if (!verdict) return;
        // An answer before the end of the request leaves the connection in no state to carry another.
        state_ = State::ending;
        const auto self = shared_from_this();
        pool_.busy_.erase(key());
        pool_.closing_.emplace(this, self);
        timer_.arm(pool_.loop_.now() + answer_end);
        if (early || verdict->outcome == Outcome::reset) {
            pool_.drop(*this);
        } else {
            end_answer();
        }
        pool_.host_->attempt_ended(job_, attempt_, verdict->outcome, pool_.loop_.now(), verdict->report,
                                   verdict->result);
    }

    // The connection is free when its answer is read to the end.
    void end_answer() {
        parser_.body().clear();
        if (parser_.bad() ||
            (parser_.done() && !(parser_.head().keeps_alive() && connection_.input().empty())))
            return pool_.drop(*this);
        if (!parser_.done()) return;
        const auto self = shared_from_this();
        parser_.restart();
        pool_.closing_.erase(this);
        pool_.idle_.push_back(self);
        rest();
    }

    void on_closed() override {
        if (state_ == State::idle) ++pool_.counters_.closed_by_worker;
        if (state_ == State::asked) {
            const bool answer_begun = parser_.begun();
            parser_.end_of_input();
            std::vector<ProgressNote> notes;
            const bool whole = parser_.done(), answered = whole || answer_begun;
            const Outcome outcome = broken();
            if (outcome == Outcome::connect_failed) ++pool_.counters_.failed_unsent;
            auto verdict = whole ? reader_.read(parser_, notes) : std::nullopt;
            if (reused_ && !answered) pool_.reuse_failed();
            if (!verdict) verdict = Verdict{outcome};
            return finish(*verdict);
        }
        if (state_ == State::probing) // a kept connection may have been closed for having been idle
            return end_probe(reused_ ? Outcome::error : Outcome::reset,
                             pool_.counters_.probe_connections_lost);
        pool_.drop(*this);
    }

    void on_timer() {
        if (state_ == State::probing) return end_probe(Outcome::timed_out, pool_.counters_.probe_timeouts);
        if (state_ == State::asked) {
            const bool unsent = !connection_.all_sent();
            if (unsent) ++pool_.counters_.failed_unsent;
            return finish({unsent ? Outcome::connect_failed : Outcome::timed_out});
        }
        if (state_ == State::idle) ++pool_.counters_.idle_timeouts;
        pool_.drop(*this);
    }

  public:
    void end_probe(Outcome outcome, std::uint64_t& counter) {
        ++counter;
        pool_.drop(*this);
        tell_probed(outcome);
    }

    void finish(const Verdict& verdict) {
        const core::JobId job = job_;
        const core::Index attempt = attempt_;
        pool_.drop(*this);
        pool_.host_->attempt_ended(job, attempt, verdict.outcome, pool_.loop_.now(), verdict.report,
                                   verdict.result);
    }

  private:
    Pool& pool_;
    ResponseReader reader_;
    net::Connection connection_;
    net::http::Parser parser_{net::http::Parser::Kind::response};
    net::Timer timer_;
    State state_ = State::idle;
    core::JobId job_ = 0;
    core::Index attempt_ = 0;
    core::Time give_up_{0};
    const core::Message* message_ = nullptr; // while its request waits for the connection
    net::Time rested_at_{0}, asked_at_{0};
    bool reused_ = false; // has carried an attempt before
};

Pool::Pool(net::Loop& loop, const discovery_client::List& list, const std::vector<config::ReportName>& fields,
           PoolLimits limits)
    : loop_(loop), list_(list), fields_(fields), limits_(limits) {}
Pool::~Pool() = default;

// Takes a channel out of whichever table holds it and closes it; it lives on to the end of the round.
void Pool::drop(Channel& channel) {
    const auto self = channel.shared_from_this();
    channel.close();
    std::erase(idle_, self);
    closing_.erase(&channel);
    if (const auto found = asking_.find(channel.worker); found != asking_.end() && found->second == self)
        asking_.erase(found);
    if (const auto found = busy_.find(channel.key()); found != busy_.end() && found->second == self)
        busy_.erase(found);
    --size_;
    loop_.defer_destruction(self);
}

// The one used last is the one least likely to be closed at the other end.
std::shared_ptr<Pool::Channel> Pool::take_idle(core::WorkerId worker, bool settled_only) {
    for (auto at = idle_.rbegin(); at != idle_.rend();) {
        std::shared_ptr<Channel> channel = *at;
        ++at;
        if (channel->worker != worker) continue;
        if ((settled_only || distrust() > some_distrust) && !channel->settled()) continue;
        if (channel->usable() && channel->address == list_.address(worker)) {
            std::erase(idle_, channel);
            ++counters_.reused;
            return channel;
        }
        // Writing to a connection that the worker has closed would end as a reset, and a job that must not
        // run twice would be lost to it.
        ++counters_.closed_by_worker;
        drop(*channel);
        at = idle_.rbegin();
    }
    return nullptr;
}

void Pool::reuse_failed() {
    ++counters_.reuse_failures;
    failures_ = distrust() + 1;
    failures_at_ = loop_.now();
}

double Pool::distrust() const {
    const double age = std::chrono::duration<double>(loop_.now() - failures_at_).count();
    return failures_ * std::exp2(-age / distrust_half_s);
}

bool Pool::make_room() {
    if (size_ < limits_.connections) return true;
    if (!idle_.empty()) {
        ++counters_.evicted;
        drop(*idle_.front());
    } else if (!asking_.empty()) { // a probe never takes the place of a job
        const auto channel = asking_.begin()->second;
        channel->end_probe(Outcome::not_sent, counters_.probes_without_connection);
    } else {
        return false;
    }
    return true;
}

std::shared_ptr<Pool::Channel> Pool::open(core::WorkerId worker, Outcome& failure) {
    failure = Outcome::not_sent; // short of descriptors: not the worker's fault
    if (!make_room()) return nullptr;
    net::Fd fd = net::connect_to(list_.address(worker));
    if (!fd.valid() && errno != EMFILE && errno != ENFILE) failure = Outcome::connect_failed;
    if (!fd.valid()) return nullptr;
    ++counters_.opened;
    ++size_;
    return std::make_shared<Channel>(*this, worker, list_.address(worker), std::move(fd));
}

void Pool::start(core::JobId job, core::Index attempt, core::WorkerId worker, core::Time give_up,
                 core::Time begin_by, const core::Message& message) {
    // What a worker sends twice, some milliseconds apart, would pass for the answer to the next request: a
    // job that says nothing of having run could be sent again.
    const bool settled_only = !message.repeatable;
    auto channel =
        message.repeatable || distrust() < most_distrust ? take_idle(worker, settled_only) : nullptr;
    Outcome failure{};
    if (!channel) channel = open(worker, failure);
    if (!channel) {
        ++counters_.failed_unsent;
        return host_->attempt_ended(job, attempt, failure, loop_.now());
    }
    busy_.emplace(key_of(job, attempt), channel);
    channel->carry(job, attempt, give_up, begin_by, message);
}

void Pool::probe(core::WorkerId worker) {
    // One that asks a former process of the worker may still be out.
    if (asking_.contains(worker)) return host_->probed(worker, Outcome::not_sent, net::Duration(0), {});
    ++counters_.probes;
    auto channel = take_idle(worker, false);
    Outcome failure = Outcome::not_sent;
    // What is kept for the next job is not closed to ask a question.
    if (!channel && size_ < limits_.connections) channel = open(worker, failure);
    if (!channel) {
        ++(failure == Outcome::not_sent ? counters_.probes_without_connection
                                        : counters_.probe_connections_lost);
        return host_->probed(worker, failure, net::Duration(0), {});
    }
    asking_[worker] = channel;
    channel->probe();
}

void Pool::cancel(core::JobId job, core::Index attempt) {
    const auto found = busy_.find(key_of(job, attempt));
    if (found == busy_.end()) return;
    const auto channel = found->second;
    channel->finish({channel->sent() ? Outcome::cancelled : Outcome::not_sent});
}

void Pool::cancel_if_unsent(core::JobId job, core::Index attempt) {
    const auto found = busy_.find(key_of(job, attempt));
    if (found != busy_.end() && !found->second->sent()) cancel(job, attempt);
}

void Pool::set_max_connections(std::size_t connections) {
    limits_.connections = connections;
    while (size_ > connections && !idle_.empty()) {
        ++counters_.evicted;
        drop(*idle_.front());
    }
}

bool Pool::is_listed(const Channel& channel) const {
    return list_.condition(channel.worker) == willowrill::Condition::ready &&
           channel.address == list_.address(channel.worker);
}

void Pool::close_unlisted() {
    const Channels idle = idle_;
    for (const auto& channel : idle) {
        if (!is_listed(*channel)) drop(*channel);
    }
    // A request that waits for its connection would go out whenever that comes up, past the time in which
    // sends to a draining worker must stop.
    Channels waiting;
    for (const auto& [key, channel] : busy_) {
        if (channel->opening() && !is_listed(*channel)) waiting.push_back(channel);
    }
    for (const auto& channel : waiting)
        channel->finish({Outcome::not_sent});
}

} // namespace willowrill::upstream
