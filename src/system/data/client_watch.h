// Watches a client's connection while its request is being answered: the client sends nothing more, or its
// next request, or leaves. One thread, that of the socket's loop.
#pragma once

#include "system/transport/asio.h"

#include <functional>
#include <memory>

namespace willowrill::data {

// Watches from its construction to its destruction, after which nothing is called any more, however the
// request ended. The socket must outlive it.
class ClientWatch {
  public:
    // `on_gone`: called at most once, from the loop, when the client has ended the connection. Bytes that the
    // client sends end the watch without a call: they are its next request.
    ClientWatch(Tcp::socket& socket, std::function<void()> on_gone);
    ~ClientWatch();
    ClientWatch(const ClientWatch&) = delete;
    ClientWatch& operator=(const ClientWatch&) = delete;

  private:
    struct State {
        Tcp::socket& socket;
        std::function<void()> on_gone;
        bool active = true; // false once the watch is gone, and perhaps the socket with it
    };
    static void wait(const std::shared_ptr<State>& state);
    static void on_ready(const std::shared_ptr<State>& state);

    std::shared_ptr<State> state_; // kept by what is suspended in the loop
};

} // namespace willowrill::data
