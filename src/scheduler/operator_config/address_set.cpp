#include "scheduler/operator_config/address_set.h"

#include <boost/asio/ip/network_v4.hpp>

namespace willowrill::operator_config {

bool AddressSet::add(std::string_view text) {
    namespace ip = boost::asio::ip;
    boost::system::error_code error;
    ip::network_v4 network;
    if (text.find('/') == std::string_view::npos) {
        network = ip::network_v4(ip::make_address_v4(std::string(text), error), 32);
    } else {
        network = ip::make_network_v4(std::string(text), error);
    }
    if (error || network.network() != network.address()) return false;
    const std::uint64_t first = network.network().to_uint();
    const std::uint64_t size = std::uint64_t{1} << (32U - network.prefix_length());
    set_ += boost::icl::interval<std::uint64_t>::right_open(first, first + size);
    return true;
}

bool AddressSet::contains(std::uint32_t address) const { return boost::icl::contains(set_, address); }

} // namespace willowrill::operator_config
