// How the two ends of a session settle on a version and on features. Pure; any thread.
#pragma once

#include "system/errors/error.h"
#include "system/protocol/version.h"

#include <string>

namespace willowrill::protocol {

// What one end of a session says of itself. An end that names no range speaks one version and no features.
struct Greeting {
    VersionRange versions;
    FeatureSet features;
    bool operator==(const Greeting&) const = default;
};

// What holds for a session.
struct Agreement {
    Version version = exact_version;
    FeatureSet features; // that both ends have
    bool operator==(const Agreement&) const = default;

    bool has(std::string_view feature) const { return features.contains(feature); }
    // Whether a message of a kind that is not known ends the session, unless it is marked as optional.
    bool refuses_unknown_messages() const { return version >= negotiated_version; }
};

// What this process says in a cluster of this version.
Greeting own_greeting(Version cluster_version, const FeatureSet& features = common_features());

// The highest version that both speak, and the features that both have. An error of the kind
// `unsupported_version`, whose sentence names both ranges, where there is none.
errors::Result<Agreement> negotiate(const Greeting& own, const Greeting& peer);

// "3 to 4", or "4" where the range is one version.
std::string to_text(const VersionRange& versions);

} // namespace willowrill::protocol
