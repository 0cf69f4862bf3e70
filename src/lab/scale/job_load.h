// Jobs for schedulers at a steady rate, one connection to each: what is not answered when the next one is due
// delays it.
#pragma once

#include "net/loop.h"
#include "net/socket.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace willowrill::lab::scale {

class JobLoad {
  public:
    JobLoad(net::Loop& loop, const std::vector<net::Endpoint>& schedulers, double jobs_per_second);
    ~JobLoad();
    std::uint64_t served() const;

  private:
    class Client;
    std::vector<std::unique_ptr<Client>> clients_;
};

} // namespace willowrill::lab::scale
