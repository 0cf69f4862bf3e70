// HTTP service that tells clients which schedulers they may send requests to. Not thread-safe: used on the
// event loop's thread only.
#pragma once

#include "system/http_server/server.h"
#include "system/membership/lease_table.h"
#include "system/settings/settings.h"

#include <functional>
#include <vector>

namespace willowrill::control {

class DirectoryService {
  public:
    using Leases = std::function<std::vector<membership::Lease>()>;

    // `leases` returns the current scheduler leases; it is called for every request.
    DirectoryService(asio::io_context& loop, const settings::Endpoint& endpoint, Leases leases,
                     http_server::Options options = {});

  private:
    void on_request(const http_server::Request& request, const http_server::Respond& respond) const;

    Leases leases_;
    http_server::Server server_;
};

} // namespace willowrill::control
