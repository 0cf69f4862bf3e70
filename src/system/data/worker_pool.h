// Connections to workers: kept ones are reused, the latest first, and each is watched while it rests, so that
// one that its worker has closed is not used again. Bounds what is open to a worker. One thread.
#pragma once

#include "system/transport/asio.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace willowrill::data {

// The bytes of a request that are on their way, and how far they have come.
struct OutgoingRequest {
    std::string bytes;
    std::size_t written = 0;
    bool done = false;
    bool failed = false;
};

// One connection to a worker; carries one request at a time.
struct WorkerConnection {
    explicit WorkerConnection(asio::io_context& loop) : socket(loop) {}
    Tcp::socket socket;
    beast::flat_buffer buffer;
    std::shared_ptr<OutgoingRequest> sending; // the newest
    bool reused = false;
    std::uint64_t rest = 0; // counts its rests; a watch of an older one does nothing
    std::chrono::steady_clock::time_point idle_until;
};
using WorkerConnectionPtr = std::shared_ptr<WorkerConnection>;

class WorkerPool {
  public:
    explicit WorkerPool(asio::io_context& loop) : loop_(loop) {}

    // A kept connection, or null.
    WorkerConnectionPtr take_idle(const std::string& address);
    // A new one: null where it does not come up in time, or where there are too many.
    asio::awaitable<WorkerConnectionPtr> connect(const std::string& address,
                                                 std::chrono::milliseconds timeout, std::size_t most_open);
    // Gives a connection back after a whole answer; it may be kept for so long.
    void keep(const std::string& address, const WorkerConnectionPtr& connection,
              std::chrono::milliseconds idle);
    // The connection is not to be used again.
    void drop(const std::string& address, const WorkerConnectionPtr& connection);
    void sweep();

    std::size_t opened() const { return opened_; }

  private:
    void watch(const std::string& address, const WorkerConnectionPtr& connection);
    void forget(const std::string& address);

    asio::io_context& loop_;
    std::map<std::string, std::deque<WorkerConnectionPtr>> idle_;
    std::map<std::string, std::size_t> open_; // idle or busy, by address
    std::size_t opened_ = 0;
};

} // namespace willowrill::data
