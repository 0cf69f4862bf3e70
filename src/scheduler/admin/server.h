// The admin server: an HTTP server on a separate address for operators, with readiness, metrics and the
// lame-duck switch. It serves one request per connection and depends on the rest of the program only through
// `Service`.
#pragma once

#include "scheduler/admin/figures.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::admin {

// What the admin server asks of the program. Called on the loop's thread.
class Service {
  public:
    virtual ~Service() = default;
    virtual bool is_ready() const = 0;
    virtual Metrics metrics() const = 0;
    virtual void set_lame_duck(bool on) = 0; // idempotent
    // A further resource to be read by GET, such as `/_counts`. `text` is empty if the feature is disabled.
    struct Resource {
        std::string_view type;
        std::string text;
    };
    // Returns nothing if there is no resource at this path.
    virtual std::optional<Resource> resource(std::string_view) const { return std::nullopt; }
    virtual std::string extra_metrics() const { return ""; } // appended to the metrics at /_vars
};

// `rejected`: requests answered with a status of 400 or above, except 503. `timed_out`: connections closed
// without a complete request. `evicted`: connections closed for the sake of a newer one.
struct ServerCounters {
    std::uint64_t requests = 0, rejected = 0, timed_out = 0, evicted = 0;
};

// Runs on the given loop. The constructor throws std::system_error if the address cannot be bound.
class Server final : private net::Pollable {
  public:
    // Descriptors are reserved for this many connections; clients and workers cannot use them.
    static constexpr std::size_t max_connections = 8;

    Server(net::Loop& loop, const net::Endpoint& address, Service& service);
    ~Server() override;

    net::Endpoint address() const { return net::local_address(listener_); }
    const ServerCounters& counters() const { return counters_; }

  private:
    class Session;

    void on_ready(short events) override;
    void close_session(Session& session);

    net::Loop& loop_;
    Service& service_;
    net::Fd listener_;
    std::list<std::shared_ptr<Session>> sessions_; // oldest first
    ServerCounters counters_;
};

} // namespace willowrill::admin
