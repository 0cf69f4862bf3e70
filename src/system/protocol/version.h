// The versions of the protocol between the processes of the system, and the features that processes announce
// in addition. Constants and pure functions; thread-safe.
//
// A version defines how sessions and messages work; a session uses the highest one that both ends support. A
// feature may be used only towards an end that has announced it. The cluster version is the lowest version
// that any process may still use: it is part of the replicated state, and only an operator's order raises it,
// once every process supports the new one (docs/upgrades.md).
#pragma once

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>

namespace willowrill::protocol {

using Version = int;

// Both ends of a session announce exactly one version and skip unknown messages.
inline constexpr Version exact_version = 3;
// The greeting announces a range of versions and is answered; refusals state their reason.
inline constexpr Version negotiated_version = 4;

// A range that includes both `min` and `max`; `min` is at most `max`.
struct VersionRange {
    Version min = exact_version;
    Version max = exact_version;
    bool operator==(const VersionRange&) const = default;
    bool contains(Version version) const { return min <= version && version <= max; }
};

// The versions that this program supports.
inline constexpr VersionRange supported_versions{exact_version, negotiated_version};

// The cluster version until an operator finishes an upgrade for the first time.
inline constexpr Version initial_cluster_version = exact_version;

using FeatureSet = std::set<std::string, std::less<>>;

// The process can read a replicated state that contains its cluster version.
inline constexpr std::string_view cluster_version_feature = "cluster-version";
// The process accepts replicated states as the difference to one that was sent earlier on the same
// connection.
inline constexpr std::string_view state_delta_feature = "state-delta";
// The features that every process of the system announces.
inline const FeatureSet& common_features() {
    static const FeatureSet features{std::string(cluster_version_feature)};
    return features;
}
// The features that a core member announces: all that this program supports.
inline const FeatureSet& supported_features() {
    static const FeatureSet features{std::string(cluster_version_feature), std::string(state_delta_feature)};
    return features;
}

// The versions that this program uses in a cluster of the given version: lower ones are excluded.
constexpr VersionRange versions_in_cluster(Version cluster_version) {
    return {std::max(supported_versions.min, cluster_version), supported_versions.max};
}

} // namespace willowrill::protocol
