// The standing question to discovery: one call after the other, each from the version that is held.
#pragma once

#include "core/host.h"
#include "inventory/list.h"
#include "net/connection.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace willowrill::inventory {

class Watch final : public core::Inventory, public net::Connection::Owner {
  public:
    using News = std::function<void(willowrill::ListNews)>;

    // `list_valid`: how long the list may go without word from discovery; 0 for no such time.
    Watch(net::Loop& loop, net::Endpoint discovery, net::Duration list_valid, List& list, News news);

    void watch(bool active) override;
    // Discovery is at another address from now on. It is asked there at once, for the whole list, as versions
    // may not go on; a call that this cuts off has not failed.
    void move(const net::Endpoint& discovery);
    const net::Endpoint& discovery() const { return discovery_; }

  private:
    void call();
    void on_open() override;
    void on_input() override;
    void on_closed() override;
    void answered();
    void broken(const char* why);
    void hang_up();

    net::Loop& loop_;
    net::Endpoint discovery_;
    std::chrono::milliseconds hold_;
    List& list_;
    News news_;
    std::shared_ptr<net::Connection> connection_;
    net::http::Parser parser_{net::http::Parser::Kind::answer};
    net::Timer overdue_;
    net::Time answer_by_{0};
    bool watching_ = false, calling_ = false;
    bool moved_ = false; // and has not yet given its list there
};

} // namespace willowrill::inventory
