// One request's life at this scheduler, from its whole body to the end of its answer: choose a worker, send,
// pass the answer on as it comes, send again or resume where that is allowed, or give up with an honest
// answer.
#pragma once

#include "system/data/answer_head.h"
#include "system/data/context.h"
#include "system/data/upstream_request.h"
#include "system/errors/error.h"
#include "system/stream/event_splitter.h"

#include <memory>
#include <optional>
#include <string>

namespace willowrill::data {

inline constexpr routing::Time answer_margin{30}; // the answer leaves this long before the client's deadline
// A repeatable request that hears nothing for so long goes elsewhere.
inline constexpr routing::Time first_event_wait{900};

// `choosing`: no attempt is out. `sending`: bytes may have reached a worker. `relaying`: the head of the
// answer has gone to the client. The last three are final.
enum class ExchangeState {
    choosing,
    connecting,
    sending,
    awaiting_head,
    relaying,
    answered,
    aborted,
    client_left
};

class Exchange {
  public:
    Exchange(Context& context, beast::tcp_stream& client, const ClientRequest& request,
             ActiveConfigurationPtr active_configuration, const configuration::Route& route,
             routing::Time arrived);

    ~Exchange() { disarm(); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    // Runs to the end. Afterwards the client's connection may be used again only if `reusable()`.
    asio::awaitable<void> run();
    bool reusable() const { return state_ == ExchangeState::answered && keep_alive_; }
    ExchangeState state() const { return state_; }
    // The client is gone: ends whatever is under way.
    void client_gone();

  private:
    // Ends the attempt under way at a time. Outlives the exchange where its timer has fired but not run.
    struct Watchdog {
        explicit Watchdog(asio::io_context& loop) : timer(loop) {}
        SteadyTimer timer;
        std::uint64_t serial = 0; // of the time it is set to; an older one does nothing
    };

    // How an attempt ended.
    enum class AttemptEnd {
        answered,     // the client has its answer
        not_executed, // the worker did not run it
        misdirected,  // the worker is not there any more; what is there did not run it
        unreachable,  // nothing was sent
        broken,       // it may have run, and the client has nothing yet
        broken_midway // the client has part of a stream
    };

    using Parser = http::response_parser<http::buffer_body>;

    void change_state(ExchangeState next);
    asio::awaitable<AttemptEnd> attempt(const routing::Selection& selection);
    void note_choice(const routing::Selection& selection);
    void note_first_event();
    static const char* name_of(AttemptEnd end);
    asio::awaitable<AttemptEnd> send_and_converse(const WorkerConnectionPtr& connection,
                                                  const std::string& address,
                                                  const std::shared_ptr<OutgoingRequest>& outgoing);
    asio::awaitable<AttemptEnd> converse(const WorkerConnectionPtr& connection, const std::string& address);
    asio::awaitable<AttemptEnd> relay_stream(const WorkerConnectionPtr& connection, Parser& parser,
                                             const std::string& address);
    asio::awaitable<AttemptEnd> relay_whole(const WorkerConnectionPtr& connection, Parser& parser,
                                            const std::string& address);
    asio::awaitable<bool> read_past(const WorkerConnectionPtr& connection, Parser& parser);
    asio::awaitable<std::size_t> read_body(const WorkerConnectionPtr& connection, Parser& parser,
                                           std::string& piece, ErrorCode& error);
    AttemptFacts facts_of(const WorkerConnection& connection) const;
    asio::awaitable<bool> send_head(const http::response_header<>& head);
    asio::awaitable<bool> write_client(const std::string& bytes);
    asio::awaitable<void> refuse(const errors::Error& error);
    bool may_send_again(AttemptEnd end);
    errors::Error final_error() const;
    std::string request_for(const routing::Worker& worker) const;
    void arm(routing::Time at);
    void disarm();
    void settle(const std::string& address, const WorkerConnectionPtr& connection, const http::fields& head,
                bool keep_alive);
    routing::Time left() const;

    Context& context_;
    beast::tcp_stream& client_;
    const ClientRequest& request_;
    ActiveConfigurationPtr active_configuration_;
    const configuration::Route& route_;
    const configuration::Service* service_ = nullptr;
    routing::Time arrived_;
    routing::Time deadline_;
    ExchangeState state_ = ExchangeState::choosing;
    bool keep_alive_;
    routing::RoutingRequest routing_request_;
    std::string attempt_id_;
    unsigned sends_ = 0;
    routing::Tier tier_ = routing::Tier::elsewhere; // of the attempt under way
    std::optional<routing::Time> sent_at_;          // of the attempt, until its answer begins
    std::uint64_t tokens_to_read_ = 0;              // by the worker of the attempt
    bool nothing_waits_ = false;                    // before it there
    bool may_have_run_ = false;
    bool timed_out_ = false;
    bool head_sent_ = false;
    stream::EventSplitter events_;
    WorkerConnectionPtr current_; // the connection under way
    std::shared_ptr<Watchdog> watchdog_;
};

} // namespace willowrill::data
