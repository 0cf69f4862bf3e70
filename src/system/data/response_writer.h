// Writes the response of one request to its client, whole or as a stream of chunks, and knows how far it has
// come: what was written decides whether another attempt may still be made. One thread.
#pragma once

#include "system/data/held_body.h"
#include "system/data/upstream_request.h"
#include "system/errors/error.h"
#include "system/transport/asio.h"

#include <chrono>
#include <string>

namespace willowrill::data {

// The last three are final.
enum class ResponseState {
    not_started,
    streaming,  // the head has gone out
    complete,   // the whole response, or as much of it as the client took
    aborted,    // part of a response that cannot be finished
    client_gone // nobody reads a response any more
};

class ResponseWriter {
  public:
    // All of them must outlive this object. `shutting_down`: read at the head of each response; the
    // connection is closed after it then.
    ResponseWriter(beast::tcp_stream& client, const ClientRequest& request, const bool& shutting_down);

    // A complete response of a worker; `body` must live until it is written. `timeout`: for writing it.
    asio::awaitable<void> write_response(const http::response_header<>& head, const HeldBody& body,
                                         std::chrono::milliseconds timeout);
    // The response that the table of errors gives.
    asio::awaitable<void> write_rejection(const errors::Error& error, std::chrono::milliseconds timeout);

    // A response that is passed on as it comes, in this order. False: the client does not take it, or is
    // gone.
    asio::awaitable<bool> write_head(const http::response_header<>& head);
    asio::awaitable<bool> write_chunk(const std::string& content);
    asio::awaitable<bool> write_last_chunk();
    // The response is at its end. Without its last chunk the client's connection is not kept.
    void complete_stream(bool last_chunk_written);
    // The response ends without its last chunk.
    void abort() { change_state(ResponseState::aborted); }

    void set_client_gone() { change_state(ResponseState::client_gone); }
    // Ends a write under way, as the client may not be reading.
    void cancel_write();

    ResponseState state() const { return state_; }
    bool client_gone() const { return state_ == ResponseState::client_gone; }
    // The head has gone out, and the body follows as it comes; stays true to the end.
    bool head_sent() const { return head_sent_; }
    // The client's connection may carry another request.
    bool reusable() const { return state_ == ResponseState::complete && keep_alive_; }

  private:
    void change_state(ResponseState next) { state_ = next; }
    void decide_keep_alive() { keep_alive_ = keep_alive_ && !shutting_down_; }
    // A whole response was written, as far as the client took it.
    void complete_write(ErrorCode error);
    asio::awaitable<bool> write_bytes(const std::string& bytes);

    beast::tcp_stream& client_;
    const ClientRequest& request_;
    const bool& shutting_down_;
    ResponseState state_ = ResponseState::not_started;
    bool keep_alive_;
    bool head_sent_ = false;
};

} // namespace willowrill::data
