// An HTTP server on a loopback port of the system's choice, for the emulated side: what it answers may come
// later, and whoever hangs up before is told of.
#pragma once

#include "scheduler/net/connection.h"
#include "scheduler/net/http.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace willowrill::lab {

class Server final : private net::Pollable {
  public:
    using Call = std::uint64_t; // a request that waits for its answer; no two alike
    struct Handler {
        std::function<void(Call, const net::http::Head&, const std::string& body)> on_request;
        std::function<void(Call)> on_gone{}; // its caller has hung up; may be left out
    };
    Server(net::Loop& loop, Handler handler);
    ~Server() override;
    net::Endpoint address() const { return net::local_address(listener_); }
    void answer(Call call, std::string bytes);       // nothing, if its caller is gone
    std::uint64_t requests() const { return last_; } // whole ones, since the start
    std::uint64_t bytes() const { return bytes_; }   // of requests read and of answers

  private:
    class Caller;
    void on_ready(short events) override;

    net::Loop& loop_;
    Handler handler_;
    net::Fd listener_;
    Call last_ = 0;
    std::uint64_t bytes_ = 0;
    std::list<std::shared_ptr<Caller>> callers_;
    std::map<Call, Caller*> waiting_;
};

} // namespace willowrill::lab
