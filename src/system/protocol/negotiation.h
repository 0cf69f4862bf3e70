// Negotiation of the protocol version and the features of a session. Pure functions; thread-safe.
#pragma once

#include "system/errors/error.h"
#include "system/protocol/version.h"

#include <string>

namespace willowrill::protocol {

// What one end of a session announces. An end that announces no range supports only `exact_version` and no
// features.
struct Greeting {
    VersionRange versions;
    FeatureSet features;
    bool operator==(const Greeting&) const = default;
};

// The negotiated version and features of a session.
struct Agreement {
    Version version = exact_version;
    FeatureSet features; // supported by both ends
    bool operator==(const Agreement&) const = default;

    bool has(std::string_view feature) const { return features.contains(feature); }
    // Whether a message of an unknown kind ends the session, unless the message is marked as optional.
    bool refuses_unknown_messages() const { return version >= negotiated_version; }
};

// The greeting of this process in a cluster of the given version.
Greeting own_greeting(Version cluster_version, const FeatureSet& features = common_features());

// Returns the highest version and the features that both ends support. Fails with `unsupported_version`, with
// both ranges in the detail, if there is no common version.
errors::Result<Agreement> negotiate(const Greeting& own, const Greeting& peer);

// Formats a range as "3 to 4", or as "4" if it is a single version.
std::string to_text(const VersionRange& versions);

} // namespace willowrill::protocol
