// The clients' side: accepts connections, as many as the process has descriptors for, and has a
// `ClientSession` serve each. One thread.
#pragma once

#include "system/data/context.h"
#include "system/transport/listener.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace willowrill::data {

class ClientListener {
  public:
    // Listens from now on; throws where the address cannot be had. `context` must outlive the loop's run.
    ClientListener(Context& context, const std::string& host, std::uint16_t port);
    ClientListener(const ClientListener&) = delete;
    ClientListener& operator=(const ClientListener&) = delete;

    // Accepts nobody more; open connections are served on.
    void stop_accepting() { listener_.close(); }
    // Ends the connections on which no request has begun.
    void close_idle_connections();
    // Answers all requests under way that they were given up.
    void give_up_requests();
    // Some connection has a request that is being read or answered.
    bool is_busy() const;
    // Requests that are being answered.
    std::size_t active_requests() const;

  private:
    struct Shared;
    static void start_session(Shared& shared, Tcp::socket socket);

    std::shared_ptr<Shared> shared_; // with the handler that waits for the next connection
    transport::Listener listener_;
};

} // namespace willowrill::data
