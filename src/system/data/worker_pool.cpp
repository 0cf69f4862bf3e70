#include "system/data/worker_pool.h"

#include "system/settings/settings.h"
#include "system/transport/socket_options.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds unacknowledged_timeout{1500};
constexpr std::size_t max_idle = 16; // to one worker

bool contains(const UsedConnections& used, const WorkerConnectionPtr& connection) {
    return std::ranges::any_of(used, [&](const auto& one) { return one.lock() == connection; });
}

} // namespace

void OutgoingRequest::finish(ErrorCode error, std::size_t written) {
    bytes_written = written;
    state = error ? SendState::failed : SendState::sent;
    std::string().swap(bytes); // the connection may be idle for long
}

WorkerConnectionPtr WorkerPool::take_idle(const std::string& address, const UsedConnections& used) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) return nullptr;
    std::deque<WorkerConnectionPtr>& idle_here = found->second;
    while (true) {
        const auto newest = std::find_if(idle_here.rbegin(), idle_here.rend(),
                                         [&](const auto& connection) { return !contains(used, connection); });
        if (newest == idle_here.rend()) return nullptr;
        WorkerConnectionPtr connection = *newest;
        idle_here.erase(std::next(newest).base());
        ++connection->idle_period;
        ErrorCode ignored;
        connection->socket.cancel(ignored);
        if (std::chrono::steady_clock::now() < connection->idle_until && connection->socket.is_open()) {
            connection->reused = true;
            return connection;
        }
        drop(address, connection);
    }
}

asio::awaitable<WorkerConnectionPtr> WorkerPool::connect(const std::string& address,
                                                         std::chrono::milliseconds timeout,
                                                         std::size_t max_open,
                                                         WorkerConnectionPtr& connecting) {
    const auto endpoint = settings::parse_endpoint(address);
    if (!endpoint || open_[address] >= max_open) co_return nullptr;
    ErrorCode error;
    const auto host = asio::ip::make_address(endpoint.value().host, error);
    if (error) co_return nullptr;
    auto connection = std::make_shared<WorkerConnection>(loop_, input_memory_);
    connecting = connection;
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
        uncount(address);
        co_return nullptr;
    }
    transport::configure_socket(connection->socket, unacknowledged_timeout);
    co_return connection;
}

void WorkerPool::keep(const std::string& address, const WorkerConnectionPtr& connection,
                      std::chrono::milliseconds idle_timeout) {
    auto& idle_here = idle_[address];
    if (connection->input.size() > 0 || idle_timeout.count() <= 0 || idle_here.size() >= max_idle)
        return drop(address, connection);
    connection->input.trim();
    connection->idle_until = std::chrono::steady_clock::now() + idle_timeout;
    idle_here.push_back(connection);
    watch(address, connection);
}

// Bytes or an end while it is idle: either way it is of no use any more.
void WorkerPool::watch(const std::string& address, const WorkerConnectionPtr& connection) {
    connection->socket.async_wait(Tcp::socket::wait_read, [this, address, connection,
                                                           idle_period = connection->idle_period](ErrorCode) {
        if (idle_period != connection->idle_period) return;
        if (transport::pending(connection->socket) == transport::Pending::nothing)
            return watch(address, connection);
        std::erase(idle_[address], connection);
        drop(address, connection);
    });
}

void WorkerPool::drop(const std::string& address, const WorkerConnectionPtr& connection) {
    ++connection->idle_period;
    ErrorCode ignored;
    connection->socket.close(ignored);
    uncount(address);
}

void WorkerPool::uncount(const std::string& address) {
    const auto open = open_.find(address);
    if (open != open_.end() && --open->second == 0) open_.erase(open);
}

void WorkerPool::sweep() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [address, idle_here] : idle_) {
        while (!idle_here.empty() && now >= idle_here.front()->idle_until) {
            const WorkerConnectionPtr oldest = idle_here.front();
            idle_here.pop_front();
            drop(address, oldest);
        }
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

} // namespace willowrill::data
