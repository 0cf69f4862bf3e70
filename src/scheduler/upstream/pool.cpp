#include "scheduler/upstream/pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

namespace willowrill::upstream {
namespace {

using namespace std::chrono_literals;
using willowrill::Outcome;

// A worker closes a connection that has been idle for the configured time. Its idle period starts before the
// one measured here, and a request may be on its way when it closes, so the pool closes at this share of the
// time.
constexpr double idle_timeout_share = 0.8;
// A worker that closes the connection after a response, or sends the response twice, does so shortly after
// it. A request written before that is noticed would be lost or get the duplicate as its response.
constexpr auto settling_time = 15ms;
// A single reused connection may break because its worker died. Several within a short time show that workers
// break kept connections, and a request sent on one may count as having run. Above
// `settled_only_failure_score` only settled connections are reused, even for repeatable jobs and probes; from
// `max_reuse_failure_score` on, other jobs get new connections.
constexpr double failure_half_life_s = 60, max_reuse_failure_score = 1.5, settled_only_failure_score = 0.5;
constexpr auto response_end_timeout = 1s; // from the result to the end of the response

std::uint64_t attempt_key(core::JobId job, core::Index attempt) {
    return (std::uint64_t{job} << 32U) | attempt;
}

} // namespace

// A connection to a worker and the attempt or probe on it, if any.
class Pool::WorkerConnection final : public net::Connection::Owner,
                                     public std::enable_shared_from_this<WorkerConnection> {
  public:
    WorkerConnection(Pool& pool, core::WorkerId worker, const net::Endpoint& address, net::Fd fd)
        : worker(worker), address(address), pool_(pool), reader_(pool.fields_),
          connection_(pool.loop_, *this, std::move(fd), net::Connection::State::opening,
                      net::http::input_buffer_bytes),
          timer_(pool.loop_.timer_wheel(), [this] { on_timer(); }) {}

    // `message` must stay valid until the attempt has ended, as the request is not written before the
    // connection is established.
    void start_attempt(core::JobId job, core::Index attempt, core::Time timeout_at, core::Time begin_by,
                       const core::Message& message) {
        job_ = job;
        attempt_ = attempt;
        timeout_at_ = timeout_at;
        message_ = &message;
        state_ = State::awaiting_response;
        reader_.begin(message.id);
        if (!is_connecting()) return send_request();
        const net::Time connect_deadline = pool_.loop_.now() + pool_.limits_.connect_timeout;
        timer_.arm(std::min({timeout_at, connect_deadline, begin_by}));
    }

    // Requests the worker's load. The connect timeout also limits the time for the response, as a later one
    // would be outdated.
    void start_probe() {
        probe_sent_at_ = pool_.loop_.now();
        state_ = State::probing;
        timer_.arm(probe_sent_at_ + pool_.limits_.connect_timeout);
        connection_.write(net::http::write_request("GET", "/status/load", {{"Host", address.text()}}, ""));
    }

    void become_idle() {
        state_ = State::idle;
        has_been_idle_ = true;
        idle_since_ = pool_.loop_.now();
        const auto idle_timeout =
            std::chrono::duration<double, std::nano>(pool_.limits_.idle) * idle_timeout_share;
        timer_.arm(pool_.loop_.now() + std::chrono::duration_cast<net::Duration>(idle_timeout));
    }

    void close() {
        timer_.disarm();
        connection_.close();
    }
    bool is_request_sent() const { return connection_.all_sent(); } // to its last byte
    bool is_reusable() const { return state_ == State::idle && !connection_.has_hung_up(); }
    bool is_settled() const { return pool_.loop_.now() - idle_since_ >= settling_time; }
    bool is_connecting() const { return connection_.state() == net::Connection::State::opening; }
    std::uint64_t key() const { return attempt_key(job_, attempt_); }

    const core::WorkerId worker;
    const net::Endpoint address;

  private:
    enum class State { awaiting_response, probing, draining, idle };

    // A job cannot have started before the last byte of its request was sent.
    Outcome outcome_of_lost_connection() const {
        return connection_.all_sent() ? Outcome::reset : Outcome::connect_failed;
    }

    // The request is written only when the connection is established, so that X-Timeout-Ms is accurate.
    void send_request() {
        const core::Message& message = *std::exchange(message_, nullptr);
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout_at_ - pool_.loop_.now());
        net::http::Fields fields{
            {"Host", address.text()},
            {"X-Request-ID", message.id},
            {"X-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, remaining.count()))}};
        if (!message.idempotency_key.empty()) fields.emplace_back("Idempotency-Key", message.idempotency_key);
        timer_.arm(timeout_at_);
        connection_.write(net::http::write_request(message.method, message.target, fields, message.body));
        if (connection_.all_sent()) ++pool_.counters_.written;
    }

    void on_open() override {
        if (state_ == State::awaiting_response) return send_request();
        timer_.arm(pool_.loop_.now() + pool_.limits_.connect_timeout);
    }
    void on_sent() override {
        if (state_ == State::awaiting_response) ++pool_.counters_.written;
    }

    void on_input() override {
        connection_.consume(parser_.feed(connection_.input()));
        switch (state_) {
        case State::idle: // unsolicited data
            ++pool_.counters_.closed_by_worker;
            return pool_.remove(*this);
        case State::draining:
            return finish_response();
        case State::probing:
            return read_probe();
        case State::awaiting_response:
            return read_response();
        }
    }

    void read_probe() {
        if (parser_.bad()) return end_probe(Outcome::error, pool_.counters_.probe_malformed);
        if (!parser_.done()) return;
        const auto report = reader_.read_probe(parser_);
        const bool is_success = parser_.head().status == 200;
        ++(report       ? pool_.counters_.probe_reports
           : is_success ? pool_.counters_.probe_malformed
                        : pool_.counters_.probe_error_statuses);
        const auto self = shared_from_this();
        pool_.probing_.erase(worker);
        state_ = State::draining;
        pool_.draining_.emplace(this, self);
        finish_response();
        report_probe(is_success ? Outcome::served : Outcome::error, report);
    }

    void report_probe(Outcome outcome, const std::optional<willowrill::Report>& report = {}) {
        pool_.host_->probed(worker, outcome, pool_.loop_.now() - probe_sent_at_, report);
    }

    void read_response() {
        std::vector<ProgressNote> notes;
        const bool is_premature = !connection_.all_sent();
        auto attempt_result = reader_.read(parser_, notes);
        for (const ProgressNote& note : notes) {
            note.started ? pool_.host_->attempt_started(job_, attempt_)
                         : pool_.host_->attempt_progress(job_, attempt_, note.share);
        }
        if (!attempt_result) return;
        // A connection whose response came before the end of the request cannot be reused.
        state_ = State::draining;
        const auto self = shared_from_this();
        pool_.busy_.erase(key());
        pool_.draining_.emplace(this, self);
        timer_.arm(pool_.loop_.now() + response_end_timeout);
        if (is_premature || attempt_result->outcome == Outcome::reset) {
            pool_.remove(*this);
        } else {
            finish_response();
        }
        pool_.host_->attempt_ended(job_, attempt_, attempt_result->outcome, pool_.loop_.now(),
                                   attempt_result->report, attempt_result->result);
    }

    // Makes the connection idle once its response has been read to the end.
    void finish_response() {
        parser_.body().clear();
        if (parser_.bad() ||
            (parser_.done() && !(parser_.head().keeps_alive() && connection_.input().empty())))
            return pool_.remove(*this);
        if (!parser_.done()) return;
        const auto self = shared_from_this();
        parser_.restart();
        pool_.draining_.erase(this);
        pool_.idle_.push_back(self);
        become_idle();
    }

    void on_closed() override {
        if (state_ == State::idle) ++pool_.counters_.closed_by_worker;
        if (state_ == State::awaiting_response) {
            const bool response_begun = parser_.begun();
            parser_.end_of_input();
            std::vector<ProgressNote> notes;
            const bool is_complete = parser_.done(), has_response = is_complete || response_begun;
            const Outcome outcome = outcome_of_lost_connection();
            if (outcome == Outcome::connect_failed) ++pool_.counters_.failed_unsent;
            auto attempt_result = is_complete ? reader_.read(parser_, notes) : std::nullopt;
            if (has_been_idle_ && !has_response) pool_.record_reuse_failure();
            if (!attempt_result) attempt_result = AttemptResult{outcome};
            return end_attempt(*attempt_result);
        }
        if (state_ == State::probing) // the worker may have closed a reused connection for being idle
            return end_probe(has_been_idle_ ? Outcome::error : Outcome::reset,
                             pool_.counters_.probe_connections_lost);
        pool_.remove(*this);
    }

    void on_timer() {
        if (state_ == State::probing) return end_probe(Outcome::timed_out, pool_.counters_.probe_timeouts);
        if (state_ == State::awaiting_response) {
            const bool is_unsent = !connection_.all_sent();
            if (is_unsent) ++pool_.counters_.failed_unsent;
            return end_attempt({is_unsent ? Outcome::connect_failed : Outcome::timed_out});
        }
        if (state_ == State::idle) ++pool_.counters_.idle_timeouts;
        pool_.remove(*this);
    }

  public:
    void end_probe(Outcome outcome, std::uint64_t& counter) {
        ++counter;
        pool_.remove(*this);
        report_probe(outcome);
    }

    void end_attempt(const AttemptResult& attempt_result) {
        const core::JobId job = job_;
        const core::Index attempt = attempt_;
        pool_.remove(*this);
        pool_.host_->attempt_ended(job, attempt, attempt_result.outcome, pool_.loop_.now(),
                                   attempt_result.report, attempt_result.result);
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
    core::Time timeout_at_{0};
    const core::Message* message_ = nullptr; // set while the connection is being established
    net::Time idle_since_{0}, probe_sent_at_{0};
    bool has_been_idle_ = false; // whether the current attempt or probe reuses it
};

Pool::Pool(net::Loop& loop, const discovery_client::WorkerRegistry& list,
           const std::vector<config::ReportFieldNames>& fields, PoolLimits limits)
    : loop_(loop), list_(list), fields_(fields), limits_(limits) {}
Pool::~Pool() = default;

// Closes a connection and removes it from the container that holds it. The object is destroyed at the end of
// the loop iteration.
void Pool::remove(WorkerConnection& connection) {
    const auto self = connection.shared_from_this();
    connection.close();
    std::erase(idle_, self);
    draining_.erase(&connection);
    if (const auto found = probing_.find(connection.worker); found != probing_.end() && found->second == self)
        probing_.erase(found);
    if (const auto found = busy_.find(connection.key()); found != busy_.end() && found->second == self)
        busy_.erase(found);
    --open_connections_;
    loop_.defer_destruction(self);
}

// Prefers the most recently used connection, as the worker is least likely to have closed it.
std::shared_ptr<Pool::WorkerConnection> Pool::take_idle(core::WorkerId worker, bool settled_only) {
    for (auto position = idle_.rbegin(); position != idle_.rend();) {
        std::shared_ptr<WorkerConnection> connection = *position;
        ++position;
        if (connection->worker != worker) continue;
        if ((settled_only || reuse_failure_score() > settled_only_failure_score) && !connection->is_settled())
            continue;
        if (connection->is_reusable() && connection->address == list_.address(worker)) {
            std::erase(idle_, connection);
            ++counters_.reused;
            return connection;
        }
        // A request written to a connection that the worker has closed would end as a reset, and a job that
        // must not run twice could not be sent again.
        ++counters_.closed_by_worker;
        remove(*connection);
        position = idle_.rbegin();
    }
    return nullptr;
}

void Pool::record_reuse_failure() {
    ++counters_.reuse_failures;
    decayed_failures_ = reuse_failure_score() + 1;
    last_failure_at_ = loop_.now();
}

double Pool::reuse_failure_score() const {
    const double age = std::chrono::duration<double>(loop_.now() - last_failure_at_).count();
    return decayed_failures_ * std::exp2(-age / failure_half_life_s);
}

bool Pool::make_room() {
    if (open_connections_ < limits_.connections) return true;
    if (!idle_.empty()) {
        ++counters_.evicted;
        remove(*idle_.front());
    } else if (!probing_.empty()) { // attempts take precedence over probes
        const auto connection = probing_.begin()->second;
        connection->end_probe(Outcome::not_sent, counters_.probes_without_connection);
    } else {
        return false;
    }
    return true;
}

std::shared_ptr<Pool::WorkerConnection> Pool::connect(core::WorkerId worker, Outcome& failure) {
    failure = Outcome::not_sent; // out of descriptors: does not count against the worker
    if (!make_room()) return nullptr;
    net::Fd fd = net::connect_to(list_.address(worker));
    if (!fd.valid() && errno != EMFILE && errno != ENFILE) failure = Outcome::connect_failed;
    if (!fd.valid()) return nullptr;
    ++counters_.opened;
    ++open_connections_;
    return std::make_shared<WorkerConnection>(*this, worker, list_.address(worker), std::move(fd));
}

void Pool::start(core::JobId job, core::Index attempt, core::WorkerId worker, core::Time timeout_at,
                 core::Time begin_by, const core::Message& message) {
    // A duplicate response, sent some milliseconds after the first, would be taken for the response to the
    // next request: a job that ran could appear not to have run and be sent again.
    const bool settled_only = !message.repeatable;
    auto connection = message.repeatable || reuse_failure_score() < max_reuse_failure_score
                          ? take_idle(worker, settled_only)
                          : nullptr;
    Outcome failure{};
    if (!connection) connection = connect(worker, failure);
    if (!connection) {
        ++counters_.failed_unsent;
        return host_->attempt_ended(job, attempt, failure, loop_.now());
    }
    busy_.emplace(attempt_key(job, attempt), connection);
    connection->start_attempt(job, attempt, timeout_at, begin_by, message);
}

void Pool::probe(core::WorkerId worker) {
    // A probe of an earlier process of the worker may still be in flight.
    if (probing_.contains(worker)) return host_->probed(worker, Outcome::not_sent, net::Duration(0), {});
    ++counters_.probes;
    auto connection = take_idle(worker, false);
    Outcome failure = Outcome::not_sent;
    // Never evicts an idle connection for a probe.
    if (!connection && open_connections_ < limits_.connections) connection = connect(worker, failure);
    if (!connection) {
        ++(failure == Outcome::not_sent ? counters_.probes_without_connection
                                        : counters_.probe_connections_lost);
        return host_->probed(worker, failure, net::Duration(0), {});
    }
    probing_[worker] = connection;
    connection->start_probe();
}

void Pool::cancel(core::JobId job, core::Index attempt) {
    const auto found = busy_.find(attempt_key(job, attempt));
    if (found == busy_.end()) return;
    const auto connection = found->second;
    connection->end_attempt({connection->is_request_sent() ? Outcome::cancelled : Outcome::not_sent});
}

void Pool::cancel_if_unsent(core::JobId job, core::Index attempt) {
    const auto found = busy_.find(attempt_key(job, attempt));
    if (found != busy_.end() && !found->second->is_request_sent()) cancel(job, attempt);
}

void Pool::set_max_connections(std::size_t connections) {
    limits_.connections = connections;
    while (open_connections_ > connections && !idle_.empty()) {
        ++counters_.evicted;
        remove(*idle_.front());
    }
}

bool Pool::is_listed(const WorkerConnection& connection) const {
    return list_.condition(connection.worker) == willowrill::Condition::ready &&
           connection.address == list_.address(connection.worker);
}

void Pool::close_unlisted() {
    const ConnectionList idle = idle_;
    for (const auto& connection : idle) {
        if (!is_listed(*connection)) remove(*connection);
    }
    // A request that waits for its connection would be sent as soon as that is established, possibly after
    // the time within which sends to a draining worker must stop.
    ConnectionList connecting;
    for (const auto& [key, connection] : busy_) {
        if (connection->is_connecting() && !is_listed(*connection)) connecting.push_back(connection);
    }
    for (const auto& connection : connecting)
        connection->end_attempt({Outcome::not_sent});
}

} // namespace willowrill::upstream
