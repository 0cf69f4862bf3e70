// A set of IPv4 networks, such as those from which datagrams are taken.
#pragma once

#include <boost/icl/interval_set.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::operator_config {

class AddressSet {
  public:
    // Adds `10.0.0.0/16` or the single address `10.0.0.4`. False where the text is neither, or has bits set
    // behind its prefix, which is most often a slip.
    bool add(std::string_view network);
    bool contains(std::uint32_t address) const; // in host byte order
    bool empty() const { return set_.empty(); }

  private:
    boost::icl::interval_set<std::uint64_t>
        set_; // of 64 bits, so that the end of the last network has a name
};

} // namespace willowrill::operator_config
