// How connections are accepted, also where there are no descriptors left.
#include "system/transport/listener.h"

#include "support/child_process.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <vector>

using namespace willowrill;

namespace {

constexpr std::chrono::milliseconds observed_time{500};
constexpr std::size_t max_wakeups = 50; // of a loop in that time; one that spins has thousands

void allow_no_more_descriptors() {
    const int next = ::dup(STDERR_FILENO);
    const rlimit limit{static_cast<rlim_t>(next), static_cast<rlim_t>(next)};
    ::close(next);
    ::setrlimit(RLIMIT_NOFILE, &limit);
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

// Guards against a process that is mute: without descriptors its loop spun in accept.
Test(listener, pauses_where_there_are_no_descriptors_left_and_accepts_again_later) {
    const ChildResult result = run_in_child([] {
        asio::io_context loop;
        std::size_t accepted = 0;
        const transport::Listener listener(loop, "127.0.0.1", 0, [&](const Tcp::socket&) { ++accepted; });
        Tcp::socket client(loop);
        rlimit before{};
        ::getrlimit(RLIMIT_NOFILE, &before);
        client.connect(transport::endpoint_of("127.0.0.1", listener.port()));
        allow_no_more_descriptors();
        const std::size_t wakeups = loop.run_for(observed_time);
        const bool paused = accepted == 0 && wakeups > 0 && wakeups <= max_wakeups;
        ::setrlimit(RLIMIT_NOFILE, &before);
        loop.run_for(observed_time);
        ::_exit(paused && accepted == 1 ? 0 : 1);
    });
    cr_assert(result.ended_with(0), "%s", result.log.c_str());
    cr_assert_neq(result.log.find("event=accept-failed"), std::string::npos);
}
