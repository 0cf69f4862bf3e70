#include "system/data/worker_pool.h"

#include "system/settings/settings.h"
#include "system/transport/socket_options.h"

#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds unacknowledged{1500};
constexpr std::size_t most_idle = 16; // to one worker

} // namespace

WorkerConnectionPtr WorkerPool::take_idle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) return nullptr;
    while (!found->second.empty()) {
        WorkerConnectionPtr connection = found->second.back();
        found->second.pop_back();
        ++connection->rest;
        ErrorCode ignored;
        connection->socket.cancel(ignored);
        if (std::chrono::steady_clock::now() < connection->idle_until && connection->socket.is_open()) {
            connection->reused = true;
            return connection;
        }
        drop(address, connection);
    }
    return nullptr;
}

asio::awaitable<WorkerConnectionPtr>
WorkerPool::connect(const std::string& address, std::chrono::milliseconds timeout, std::size_t most_open) {
    const auto endpoint = settings::parse_endpoint(address);
    if (!endpoint || open_[address] >= most_open) co_return nullptr;
    ErrorCode error;
    const auto host = asio::ip::make_address(endpoint.value().host, error);
    if (error) co_return nullptr;
    auto connection = std::make_shared<WorkerConnection>(loop_);
    ++open_[address];
    ++opened_;
    auto timer = std::make_shared<SteadyTimer>(loop_, timeout);
    timer->async_wait([connection](ErrorCode aborted) {
        ErrorCode ignored;
        if (!aborted) connection->socket.close(ignored);
    });
    const Tcp::endpoint target(host, endpoint.value().port);
    co_await connection->socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    timer->cancel();
    if (error || !connection->socket.is_open()) {
        forget(address);
        co_return nullptr;
    }
    transport::configure_socket(connection->socket, unacknowledged);
    co_return connection;
}

void WorkerPool::keep(const std::string& address, const WorkerConnectionPtr& connection,
                      std::chrono::milliseconds idle) {
    auto& resting = idle_[address];
    if (connection->buffer.size() > 0 || idle.count() <= 0 || resting.size() >= most_idle)
        return drop(address, connection);
    connection->idle_until = std::chrono::steady_clock::now() + idle;
    resting.push_back(connection);
    watch(address, connection);
}

// Bytes or an end while it rests: either way it is of no use any more.
void WorkerPool::watch(const std::string& address, const WorkerConnectionPtr& connection) {
    connection->socket.async_wait(
        Tcp::socket::wait_read, [this, address, connection, rest = connection->rest](ErrorCode) {
            if (rest != connection->rest) return;
            if (transport::pending(connection->socket) == transport::Pending::nothing)
                return watch(address, connection);
            std::erase(idle_[address], connection);
            drop(address, connection);
        });
}

void WorkerPool::drop(const std::string& address, const WorkerConnectionPtr& connection) {
    ++connection->rest;
    ErrorCode ignored;
    connection->socket.close(ignored);
    forget(address);
}

void WorkerPool::forget(const std::string& address) {
    const auto open = open_.find(address);
    if (open != open_.end() && --open->second == 0) open_.erase(open);
}

void WorkerPool::sweep() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [address, resting] : idle_) {
        while (!resting.empty() && now >= resting.front()->idle_until) {
            const WorkerConnectionPtr oldest = resting.front();
            resting.pop_front();
            drop(address, oldest);
        }
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

} // namespace willowrill::data
