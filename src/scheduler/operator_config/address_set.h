// A set of IPv4 networks, used to filter datagrams by source address.
#pragma once

#include <boost/icl/interval_set.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::operator_config {

class AddressSet {
  public:
    // Adds a network such as `10.0.0.0/16` or a single address such as `10.0.0.4`. Returns false, and adds
    // nothing, if the text is neither or has host bits set, which usually is a typing error.
    bool add(std::string_view network);
    bool contains(std::uint32_t address) const; // in host byte order
    bool empty() const { return set_.empty(); }

  private:
    // 64 bits wide, because the exclusive end of a network that reaches 255.255.255.255 is 2^32.
    boost::icl::interval_set<std::uint64_t> set_;
};

} // namespace willowrill::operator_config
