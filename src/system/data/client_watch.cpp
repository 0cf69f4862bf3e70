#include "system/data/client_watch.h"

#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::data {

ClientWatch::ClientWatch(Tcp::socket& socket, std::function<void()> on_gone)
    : state_(std::make_shared<State>(socket, std::move(on_gone))) {
    wait(state_);
}

ClientWatch::~ClientWatch() {
    state_->active = false;
    ErrorCode ignored;
    state_->socket.cancel(ignored);
}

void ClientWatch::wait(const std::shared_ptr<State>& state) {
    state->socket.async_wait(Tcp::socket::wait_read, [state](ErrorCode error) {
        if (state->active && error != asio::error::operation_aborted) on_ready(state);
    });
}

void ClientWatch::on_ready(const std::shared_ptr<State>& state) {
    switch (transport::pending(state->socket)) {
    case transport::Pending::nothing:
        return wait(state);
    case transport::Pending::bytes:
        return;
    case transport::Pending::ended:
        return state->on_gone();
    }
}

} // namespace willowrill::data
