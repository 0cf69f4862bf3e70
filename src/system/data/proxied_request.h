// One client request at this scheduler, from its complete body to the end of its response: selects a worker,
// makes an attempt there, makes another or resumes the stream where that is allowed, and rejects the request
// where none is. One thread.
//
// The response's state (`ResponseWriter`) says how far the request has come; the attempts so far
// (`RetryState`) say what may follow. Another attempt is made where none is under way, and beside those whose
// workers are silent: these go on until another one has something for the client.
#pragma once

#include "system/data/attempt_group.h"
#include "system/data/request_context.h"
#include "system/data/response_writer.h"
#include "system/data/upstream_attempt.h"

#include <optional>
#include <string>

namespace willowrill::data {

class ProxiedRequest {
  public:
    // All references must outlive this object. `route` is one of the configuration's; `arrived`: when the
    // request was complete.
    ProxiedRequest(Context& context, beast::tcp_stream& client, const ClientRequest& request,
                   const ActiveConfigurationPtr& active_configuration, const configuration::Route& route,
                   routing::Time arrived);
    ProxiedRequest(const ProxiedRequest&) = delete;
    ProxiedRequest& operator=(const ProxiedRequest&) = delete;

    // Runs to the end. Afterwards the client's connection may be used again only if `reusable()`.
    asio::awaitable<void> run();
    bool reusable() const { return writer_.reusable(); }
    // The client is gone: ends whatever is under way.
    void client_gone();
    // The process ends: ends whatever is under way and answers the client, where no part of a response has
    // gone out: a connection that ends without one can't be told from one that was never read.
    void give_up();

  private:
    asio::awaitable<void> make_attempts();
    bool is_settled() const;
    void start_attempt();
    RetryAnswer ask_for_attempt();
    void note_silence(const char* other_attempt);
    void take_ended_attempts();
    routing::Selection select_worker();
    std::size_t succession_rank(const std::string& worker_id) const;
    bool may_wait_for_worker() const;
    asio::awaitable<void> wait_for_worker();
    void note_selection(const routing::Selection& selection);
    void note_result(routing::Worker& worker, const EndedAttempt& attempt);

    // Nothing more is attempted, for a reason other than the attempts so far.
    bool ended_early() const { return writer_.client_gone() || given_up_; }
    const char* outcome() const;
    asio::awaitable<void> finish();
    asio::awaitable<void> answer_without_success();
    asio::awaitable<void> reject();

    Context& context_;
    routing::Time arrived_;
    RequestContext request_;
    ResponseWriter writer_;
    AttemptGroup attempts_;
    bool silence_counted_ = false;
    bool given_up_ = false;
};

} // namespace willowrill::data
