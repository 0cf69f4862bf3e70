// Connections to workers: idle ones are reused, the latest first, and each is watched while it is idle, so
// that one that its worker has closed is not used again. Bounds what is open to a worker. One thread.
#pragma once

#include "system/http_reader/input_buffer.h"
#include "system/transport/asio.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::data {

// Of a response: its head, the header of a chunk, its trailers.
inline constexpr std::size_t max_response_framing_bytes = 65536;

enum class SendState { sending, sent, failed };

// A request that is being sent, and how far its bytes have come.
struct OutgoingRequest {
    std::string bytes; // empty again once sending has ended
    std::size_t bytes_written = 0;
    SendState state = SendState::sending;

    void finish(ErrorCode error, std::size_t written);
    // Sending failed before the first byte, so that the worker cannot have run it.
    bool nothing_sent() const { return state == SendState::failed && bytes_written == 0; }
};

// One connection to a worker; carries one request at a time.
struct WorkerConnection {
    WorkerConnection(asio::io_context& loop, std::shared_ptr<budget::ByteBudget> input_memory)
        : socket(loop), input(std::move(input_memory), max_response_framing_bytes) {}
    Tcp::socket socket;
    http_reader::InputBuffer input;
    std::shared_ptr<OutgoingRequest> outgoing; // the newest; a response may come before it was sent
    bool reused = false;                       // it has carried an earlier request
    std::uint64_t idle_period = 0;             // counts them; a watch of an older one does nothing
    std::chrono::steady_clock::time_point idle_until;
};
using WorkerConnectionPtr = std::shared_ptr<WorkerConnection>;

// The connections that one request was sent on. As many as it had attempts, so bounded by its route.
using UsedConnections = std::vector<std::weak_ptr<WorkerConnection>>;

class WorkerPool {
  public:
    // `input_memory`: what its connections read is part of.
    WorkerPool(asio::io_context& loop, std::shared_ptr<budget::ByteBudget> input_memory)
        : loop_(loop), input_memory_(std::move(input_memory)) {}

    // An idle connection that is none of `used`, or null. A second response on a connection that has carried
    // the same request before could not be told from the one that is waited for: both have its id.
    WorkerConnectionPtr take_idle(const std::string& address, const UsedConnections& used);
    // A new one: null where it does not come up in time, or where `max_open` are open already. `connecting`
    // is the connection meanwhile, and must live until then: closing its socket ends the wait.
    asio::awaitable<WorkerConnectionPtr> connect(const std::string& address,
                                                 std::chrono::milliseconds timeout, std::size_t max_open,
                                                 WorkerConnectionPtr& connecting);
    // Gives a connection back after a complete response, to be kept for so long.
    void keep(const std::string& address, const WorkerConnectionPtr& connection,
              std::chrono::milliseconds idle_timeout);
    // Closes a connection, which is not used again.
    void drop(const std::string& address, const WorkerConnectionPtr& connection);
    // Drops the connections that were idle for too long.
    void sweep();

    // Connections that were opened so far.
    std::size_t opened() const { return opened_; }

  private:
    void watch(const std::string& address, const WorkerConnectionPtr& connection);
    void uncount(const std::string& address);

    asio::io_context& loop_;
    std::shared_ptr<budget::ByteBudget> input_memory_;
    std::map<std::string, std::deque<WorkerConnectionPtr>> idle_;
    std::map<std::string, std::size_t> open_; // idle or busy, by address
    std::size_t opened_ = 0;
};

} // namespace willowrill::data
