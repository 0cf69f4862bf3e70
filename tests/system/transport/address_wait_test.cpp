// A process that starts while its addresses are in use.
#include "system/transport/address_wait.h"
#include "system/transport/listener.h"
#include "system/transport/process.h"

#include <criterion/criterion.h>

#include <csignal>
#include <thread>

using namespace willowrill;
using namespace std::chrono_literals;

namespace {

constexpr auto kept_time = 200ms;
constexpr auto long_timeout = 20s;

// An address at which somebody listens until `release` is called.
struct AddressInUse {
    asio::io_context others_loop;
    transport::Listener listener{others_loop, "127.0.0.1", 0, [](const Tcp::socket&) {}};
    Tcp::endpoint address = transport::endpoint_of("127.0.0.1", listener.port());
};

} // namespace

// Guards against a process that ends by itself: it ended with 1 while the one before it still had its
// address.
Test(address_wait, a_process_waits_until_the_one_before_it_is_gone) {
    AddressInUse other;
    asio::io_context loop;
    transport::ProcessSignals signals(loop);
    std::thread releasing([&] {
        std::this_thread::sleep_for(kept_time);
        other.listener.close();
    });
    const auto began = steady_now();
    cr_assert(transport::wait_for_addresses(loop, signals, {other.address}, long_timeout));
    cr_assert_geq(steady_now() - began, kept_time / 2);
    releasing.join();
    const transport::Listener own(loop, "127.0.0.1", other.address.port(), [](const Tcp::socket&) {});
}

Test(address_wait, free_addresses_cost_no_time_and_stay_free) {
    asio::io_context loop;
    transport::ProcessSignals signals(loop);
    const std::vector<Tcp::endpoint> addresses{transport::endpoint_of("127.0.0.1", 0)};
    cr_assert(transport::wait_for_addresses(loop, signals, addresses));
}

// Guards against faults that are hidden: an address that is never free still ends the process, with its name.
Test(address_wait, an_address_that_stays_in_use_is_an_error_that_names_it) {
    AddressInUse other;
    asio::io_context loop;
    transport::ProcessSignals signals(loop);
    try {
        transport::wait_for_addresses(loop, signals, {other.address}, kept_time);
        cr_assert_fail("it did not throw");
    } catch (const boost::system::system_error& error) {
        cr_assert_eq(error.code(), asio::error::address_in_use);
        const std::string port = ":" + std::to_string(other.address.port());
        cr_assert_neq(std::string(error.what()).find(port), std::string::npos, "%s", error.what());
    }
}

Test(address_wait, an_address_of_another_machine_is_an_error_at_once) {
    asio::io_context loop;
    transport::ProcessSignals signals(loop);
    cr_assert_throw(transport::wait_for_addresses(loop, signals, {transport::endpoint_of("192.0.2.1", 1)}),
                    boost::system::system_error);
}

Test(address_wait, a_process_that_waits_ends_when_it_is_told_to) {
    AddressInUse other;
    asio::io_context loop;
    transport::ProcessSignals signals(loop);
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    cr_assert_not(transport::wait_for_addresses(loop, signals, {other.address}, long_timeout));
}
