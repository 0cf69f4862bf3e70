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

constexpr auto patience = 5s;
constexpr std::size_t most_answer = 256U << 20U; // a fleet's totals may be long

bool wait(const net::Fd& fd, short events, Clock::time_point until) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd one{.fd = fd.get(), .events = events, .revents = 0};
    return left > 0 && ::poll(&one, 1, static_cast<int>(left)) > 0;
}

} // namespace

Answer get(const net::Endpoint& address, const std::string& path) {
    const auto until = Clock::now() + patience;
    const auto failed = [&](const std::string& why) { return Answer{0, "", address.text() + ": " + why}; };
    const net::Fd fd = net::connect_to(address);
    if (!fd.valid()) return failed(std::strerror(errno));
    if (!wait(fd, POLLOUT, until)) return failed("nobody answers");
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return failed(std::strerror(error));
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: " + address.text() + "\r\nConnection: close\r\n\r\n";
    if (::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size()))
        return failed(std::strerror(errno));
    net::http::Parser parser(net::http::Parser::Kind::response);
    Answer out;
    while (!parser.done()) {
        std::array<char, 65536> buffer{};
        if (!wait(fd, POLLIN, until)) return failed("no answer within 5 s");
        const auto got = ::recv(fd.get(), buffer.data(), buffer.size(), 0);
        if (got < 0) return failed(std::strerror(errno));
        if (got == 0) {
            parser.end_of_input();
            if (!parser.done()) return failed("the answer breaks off");
        }
        parser.feed({buffer.data(), static_cast<std::size_t>(got)});
        out.body += parser.body(); // the parser bounds what it holds, so it is emptied on the way
        parser.body().clear();
        if (parser.bad() || out.body.size() > most_answer) return failed("an answer that cannot be read");
    }
    out.status = parser.head().status;
    return out;
}

} // namespace willowrill::ctl
