// How connections are accepted, also where that fails for a while.
#include "system/transport/listener.h"

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <vector>

using namespace willowrill;

namespace {

constexpr std::chrono::milliseconds observed_time{500};
constexpr std::size_t max_wakeups = 50; // of a loop in that time; one that spins has thousands

std::uint16_t free_port(asio::io_context& loop) {
    const Tcp::acceptor acceptor(loop, transport::endpoint_of("127.0.0.1", 0));
    return acceptor.local_endpoint().port();
}

// The number that the next descriptor gets.
int next_descriptor() {
    const int next = ::dup(STDERR_FILENO);
    ::close(next);
    return next;
}

} // namespace

Test(listener, hands_over_connections_until_it_is_closed) {
    asio::io_context loop;
    std::vector<Tcp::socket> accepted;
    transport::Listener listener(loop, "127.0.0.1", 0,
                                 [&](Tcp::socket socket) { accepted.push_back(std::move(socket)); });
    const Tcp::endpoint address = transport::endpoint_of("127.0.0.1", listener.port());
    Tcp::socket first(loop), second(loop);
    first.connect(address);
    loop.run_one();
    cr_assert_eq(accepted.size(), 1U);
    listener.close();
    ErrorCode error;
    second.connect(address, error);
    cr_assert_eq(error, asio::error::connection_refused);
    loop.run(); // nothing waits any more
}

// Guards against a process that is mute: where accepting failed, as without descriptors, its loop spun.
// (Descriptors themselves are not used up here, as the sanitizers need some; the soak does so.)
Test(listener, pauses_where_accepting_fails_and_accepts_again_later) {
    asio::io_context loop;
    const std::uint16_t port = free_port(loop);
    Tcp::socket client(loop);
    const int descriptor = next_descriptor();
    std::size_t accepted = 0;
    const transport::Listener listener(loop, "127.0.0.1", port, [&](const Tcp::socket&) { ++accepted; });
    cr_assert_eq(::shutdown(descriptor, SHUT_RD), 0); // from now on accept fails at once
    const std::size_t wakeups = loop.run_for(observed_time);
    cr_assert_gt(wakeups, 0U);
    cr_assert_leq(wakeups, max_wakeups);
    cr_assert_eq(::listen(descriptor, 1), 0);
    client.connect(transport::endpoint_of("127.0.0.1", port));
    while (accepted == 0)
        cr_assert_gt(loop.run_one_for(observed_time), 0U);
}
