#include "scheduler/ctl/call.h"

#include "scheduler/net/http.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>

namespace willowrill::ctl {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto request_timeout = 5s;
constexpr std::size_t max_body_bytes = 256U << 20U; // the totals of a large fleet

// Waits for the events; returns false once the deadline has passed.
bool wait_until_ready(const net::Fd& fd, short events, Clock::time_point deadline) {
    const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
    pollfd descriptor{.fd = fd.get(), .events = events, .revents = 0};
    return remaining_ms > 0 && ::poll(&descriptor, 1, static_cast<int>(remaining_ms)) > 0;
}

} // namespace

HttpResponse http_get(const net::Endpoint& address, const std::string& path) {
    const auto deadline = Clock::now() + request_timeout;
    const auto failure = [&](const std::string& reason) {
        return HttpResponse{0, "", address.text() + ": " + reason};
    };
    const net::Fd fd = net::connect_to(address);
    if (!fd.valid()) return failure(std::strerror(errno));
    if (!wait_until_ready(fd, POLLOUT, deadline)) return failure("connection timed out");
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return failure(std::strerror(error));
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: " + address.text() + "\r\nConnection: close\r\n\r\n";
    if (::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size()))
        return failure(std::strerror(errno));
    net::http::Parser parser(net::http::Parser::Kind::response);
    HttpResponse response;
    while (!parser.done()) {
        std::array<char, 65536> buffer{};
        if (!wait_until_ready(fd, POLLIN, deadline)) return failure("no response within 5 s");
        const auto received = ::recv(fd.get(), buffer.data(), buffer.size(), 0);
        if (received < 0) return failure(std::strerror(errno));
        if (received == 0) {
            parser.end_of_input();
            if (!parser.done()) return failure("connection closed before the response was complete");
        }
        parser.feed({buffer.data(), static_cast<std::size_t>(received)});
        response.body += parser.body(); // the parser limits its buffer, so it is drained here
        parser.body().clear();
        if (parser.bad() || response.body.size() > max_body_bytes)
            return failure("malformed or oversized response");
    }
    response.status = parser.head().status;
    return response;
}

} // namespace willowrill::ctl
