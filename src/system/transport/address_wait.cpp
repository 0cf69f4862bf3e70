#include "system/transport/address_wait.h"

#include "system/logging/log.h"
#include "system/transport/process.h"

#include <fmt/format.h>

namespace willowrill::transport {
namespace {

constexpr std::chrono::milliseconds retry_pause{25};

std::string to_text(const Tcp::endpoint& address) {
    return fmt::format("{}:{}", address.address().to_string(), address.port());
}

// Binds as a listener does, and lets the address go again without having listened.
ErrorCode try_to_bind(asio::io_context& loop, const Tcp::endpoint& address) {
    Tcp::acceptor acceptor(loop);
    ErrorCode error;
    acceptor.open(address.protocol(), error);
    if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor.bind(address, error);
    return error;
}

} // namespace

bool wait_for_addresses(asio::io_context& loop, ProcessSignals& signals,
                        const std::vector<Tcp::endpoint>& addresses, std::chrono::milliseconds timeout) {
    const std::chrono::milliseconds give_up_at = steady_now() + timeout;
    for (const Tcp::endpoint& address : addresses) {
        bool waited = false;
        while (const ErrorCode error = try_to_bind(loop, address)) {
            if (error != asio::error::address_in_use || steady_now() >= give_up_at)
                throw boost::system::system_error(error, to_text(address));
            if (!waited) logging::warning("address-in-use").field("address", to_text(address));
            waited = true;
            if (signals.shutdown_requested_within(retry_pause)) return false;
        }
        if (waited) logging::info("address-free").field("address", to_text(address));
    }
    return true;
}

} // namespace willowrill::transport
