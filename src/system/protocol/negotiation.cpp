#include "system/protocol/negotiation.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace willowrill::protocol {

Greeting own_greeting(Version cluster_version, const FeatureSet& features) {
    return {versions_in_cluster(cluster_version), features};
}

errors::Result<Agreement> negotiate(const Greeting& own, const Greeting& peer) {
    const Version min_version = std::max(own.versions.min, peer.versions.min);
    const Version max_version = std::min(own.versions.max, peer.versions.max);
    if (max_version < min_version)
        return errors::Error{errors::ErrorKind::unsupported_version,
                             fmt::format("this process speaks protocol versions {}, the peer {}: {}",
                                         to_text(own.versions), to_text(peer.versions),
                                         peer.versions.max < own.versions.min
                                             ? "the peer's program is too old"
                                             : "this process's program is too old")};
    Agreement agreement{max_version, {}};
    std::ranges::set_intersection(own.features, peer.features,
                                  std::inserter(agreement.features, agreement.features.begin()));
    return agreement;
}

std::string to_text(const VersionRange& versions) {
    if (versions.min == versions.max) return std::to_string(versions.min);
    return fmt::format("{} to {}", versions.min, versions.max);
}

} // namespace willowrill::protocol
