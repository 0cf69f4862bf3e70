// Discovery as the protocol's page has it, for the scale run: one list of workers for all schedulers, with an
// address of its own for each of them, so that it is known who has asked for what.
#pragma once

#include "lab/server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace willowrill::lab::scale {

struct Traffic {
    std::uint64_t messages = 0, bytes = 0;
    Traffic operator-(const Traffic& other) const { return {messages - other.messages, bytes - other.bytes}; }
};

class Discovery {
  public:
    // Schedulers below `real` are told of the workers' first addresses, the others of the second.
    Discovery(net::Loop& loop, std::size_t schedulers, std::size_t real, std::vector<net::Endpoint> for_real,
              std::vector<net::Endpoint> for_hollow);

    net::Endpoint address(std::size_t scheduler) const { return callers_[scheduler]->server.address(); }
    // The worker drains, or is ready again.
    void toggle(std::size_t worker);
    // While it is out, calls are answered with 503, and those that wait end so.
    void set_out(bool out);
    void forget(std::size_t scheduler) { callers_[scheduler]->holds = 0; } // it was ended
    std::size_t
    holding_current() const; // schedulers that have asked for what is newer than the list as it is
    Traffic traffic(std::size_t from, std::size_t to) const; // of the schedulers in that range
    std::size_t list_bytes() const { return list(0).size(); }

  private:
    struct Caller {
        Caller(Discovery& discovery, std::size_t at);
        std::uint64_t holds = 0; // the version that it has shown to hold
        std::vector<Server::Call> waiting{};
        Server server;
    };
    void on_request(std::size_t at, Server::Call call, const net::http::Head& head);
    void tell(std::size_t at, Server::Call call, std::uint64_t has);
    std::string list(std::size_t at) const;
    std::string entry(std::size_t at, std::size_t worker) const;

    net::Loop& loop_;
    std::size_t real_;
    std::vector<net::Endpoint> for_real_, for_hollow_;
    std::vector<bool> drains_;
    std::vector<std::size_t> changed_; // the worker that each version after the first is about
    std::uint64_t version_ = 1;
    bool out_ = false;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::vector<std::unique_ptr<net::Timer>> holds_; // one a scheduler: its latest call's wait
};

} // namespace willowrill::lab::scale
