// Accepts TCP connections at an address. One thread, that of the loop.
#pragma once

#include "system/transport/asio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace willowrill::transport {

// `host`: an IP address; throws boost::system::system_error where it is malformed.
Tcp::endpoint endpoint_of(const std::string& host, std::uint16_t port);

class Listener {
  public:
    // Gets each connection; closes it by letting it go.
    using OnAccept = std::function<void(Tcp::socket)>;

    // Listens from now on at `host`, an IP address, and `port` (0: any free one); throws
    // boost::system::system_error where that cannot be had. Where a connection cannot be accepted, as there
    // are no descriptors left, the next attempt is made after a pause.
    Listener(asio::io_context& loop, const std::string& host, std::uint16_t port, OnAccept on_accept);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Accepts no more. Connections that were handed over stay.
    void close();
    std::uint16_t port() const;

  private:
    struct State;
    std::shared_ptr<State> state_; // shared with the handlers that wait
};

} // namespace willowrill::transport
