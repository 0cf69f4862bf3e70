// Leases of schedulers as tests need them.
#pragma once

#include "system/membership/lease_table.h"

#include <cstdint>
#include <string>

// The first letter of the node is its zone; zone "a" is in region "r", all others are in region "q".
inline willowrill::membership::Lease
make_lease(const std::string& node, std::uint64_t incarnation, std::uint64_t renewal,
           willowrill::membership::Phase phase = willowrill::membership::Phase::ready) {
    willowrill::membership::Lease out;
    out.node = node;
    out.incarnation = incarnation;
    out.renewal = renewal;
    out.zone = node.substr(0, 1);
    out.region = node.substr(0, 1) == "a" ? "r" : "q";
    out.client_address = node + ":80";
    out.phase = phase;
    return out;
}
