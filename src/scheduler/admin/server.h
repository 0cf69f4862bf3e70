// The admin server: a second address, for operators alone, with readiness, the figures and the drain switch.
// One call a connection. It knows the rest of the program by `Service` only.
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

class Service {
  public:
    virtual ~Service() = default;
    virtual bool can_serve() const = 0;
    virtual Figures figures() const = 0;
    virtual void lame_duck(bool on) = 0; // asked again, it changes nothing
    // Further calls by GET, such as `/_counts`: nothing where there is no such call, `text` empty where it is
    // off.
    struct Report {
        std::string_view type;
        std::string text;
    };
    virtual std::optional<Report> report(std::string_view) const { return std::nullopt; }
    virtual std::string further_figures() const { return ""; } // behind the others at /_vars
};

struct ServerCounters {
    std::uint64_t calls = 0, bad = 0, silent = 0, evicted = 0;
};

class Server final : private net::Pollable {
  public:
    // How many callers it holds at once; these descriptors are kept free of clients and workers.
    static constexpr std::size_t most_callers = 8;

    Server(net::Loop& loop, const net::Endpoint& address, Service& service);
    ~Server() override;

    net::Endpoint address() const { return net::local_address(listener_); }
    const ServerCounters& counters() const { return counters_; }

  private:
    class Call;

    void on_ready(short events) override;
    void drop(Call& call);

    net::Loop& loop_;
    Service& service_;
    net::Fd listener_;
    std::list<std::shared_ptr<Call>> calls_; // the oldest first
    ServerCounters counters_;
};

} // namespace willowrill::admin
