// The clients' side: accepts connections, reads whole requests, and has an exchange answer each. One thread.
#pragma once

#include "system/data/context.h"

#include <memory>

namespace willowrill::data {

class Front {
  public:
    Front(Context& context, const std::string& host, std::uint16_t port);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // Connections that are open are answered and closed; nobody more is accepted.
    void stop_accepting();
    // Requests that are being answered.
    std::size_t under_way() const;

  private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace willowrill::data
