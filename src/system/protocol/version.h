// The versions of the protocol that processes of the system speak with each other, and the features that they
// announce beside it. Plain values; any thread.
//
// A version says how sessions and messages work; it is the highest that both ends of a session speak. A
// feature is something that one end may only do towards an end that has announced it. The cluster version is
// the lowest version that any process may still speak: it is part of the replicated state and rises only by
// an operator's order, once every process speaks the new one (docs/upgrades.md).
#pragma once

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>

namespace willowrill::protocol {

using Version = int;

// Sessions whose ends named exactly one version, and skipped messages that they did not know.
inline constexpr Version exact_version = 3;
// Sessions with a range of versions in the greeting, an answer to it, and refusals by name.
inline constexpr Version negotiated_version = 4;

// Ordered, both ends included.
struct VersionRange {
    Version min = exact_version;
    Version max = exact_version;
    bool operator==(const VersionRange&) const = default;
    bool contains(Version version) const { return min <= version && version <= max; }
};

// What this program speaks.
inline constexpr VersionRange supported_versions{exact_version, negotiated_version};

// The cluster version of a core whose operator has never finished an upgrade.
inline constexpr Version initial_cluster_version = exact_version;

using FeatureSet = std::set<std::string, std::less<>>;

// Reads a replicated state that names its cluster version.
inline constexpr std::string_view cluster_version_feature = "cluster-version";
// Takes in replicated states as the difference to one that it was sent before on the same connection.
inline constexpr std::string_view state_delta_feature = "state-delta";
// What every process of the system announces.
inline const FeatureSet& common_features() {
    static const FeatureSet features{std::string(cluster_version_feature)};
    return features;
}
// What a core member announces: all that this program has.
inline const FeatureSet& supported_features() {
    static const FeatureSet features{std::string(cluster_version_feature), std::string(state_delta_feature)};
    return features;
}

// What this program speaks in a cluster of that version: versions below it are spoken no more.
constexpr VersionRange versions_in_cluster(Version cluster_version) {
    return {std::max(supported_versions.min, cluster_version), supported_versions.max};
}

} // namespace willowrill::protocol
