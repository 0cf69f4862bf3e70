// The closed list of error kinds of the whole system, and the one table from a kind to its HTTP answer. Pure.
#pragma once

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace willowrill::errors {

enum class ErrorKind {
    malformed_request,      // the bytes are not HTTP, or a needed header is missing or out of range
    request_too_large,      // head or body over the configured limits
    request_timed_out,      // the client did not send its request in time; nothing has run
    unknown_route,          // no route of the configuration in force matches
    unknown_resource,       // no such path, or no such zone, at our own interfaces
    method_not_allowed,     // at our own interfaces
    invalid_configuration,  // unreadable, against the schema, or contradictory
    version_conflict,       // If-Match names another version than the current one
    outcome_forgotten,      // it may have been taken long ago; that is not remembered any more
    state_too_large,        // members could not keep the state that it asks for
    not_primary,            // this process cannot have the order decided; try another
    undecided,              // the order was taken in but may or may not be in force
    not_ready,              // no configuration is known yet
    overloaded,             // no worker can take the request now; it has not run
    worker_failed,          // the request may have run
    deadline_passed_unsent, // the deadline passed and it has not run
    deadline_passed,        // the deadline passed and it may have run
    storage_failed,         // the disk did not take a record
    upgrade_blocked,        // some process does not speak the version that the cluster is to have
    unsupported_version,    // the two ends of a session speak no version of the protocol in common
    bad_settings,           // the settings file cannot be used
};

// The HTTP answer to a kind. `retry_after`: the client is told when to come back, as nothing has run.
struct Answer {
    unsigned status;
    std::string_view reason;
    bool retry_after;
};

constexpr Answer answer_to(ErrorKind kind) {
    switch (kind) {
    case ErrorKind::malformed_request:
        return {400, "malformed request", false};
    case ErrorKind::request_too_large:
        return {413, "request too large", false};
    case ErrorKind::request_timed_out:
        return {408, "request not received in time", false};
    case ErrorKind::unknown_route:
        return {404, "no such route", false};
    case ErrorKind::unknown_resource:
        return {404, "no such resource", false};
    case ErrorKind::method_not_allowed:
        return {405, "method not allowed", false};
    case ErrorKind::invalid_configuration:
        return {400, "invalid configuration", false};
    case ErrorKind::version_conflict:
        return {412, "another version is current", false};
    case ErrorKind::outcome_forgotten:
        return {504, "outcome not remembered, read the configuration", false};
    case ErrorKind::state_too_large:
        return {413, "too large to be kept", false};
    case ErrorKind::not_primary:
        return {503, "not the primary", true};
    case ErrorKind::undecided:
        return {504, "outcome unknown, send again", false};
    case ErrorKind::not_ready:
        return {503, "no configuration yet", true};
    case ErrorKind::overloaded:
        return {503, "no worker available", true};
    case ErrorKind::worker_failed:
        return {502, "the worker failed", false};
    case ErrorKind::deadline_passed_unsent:
        return {503, "deadline passed, not run", true};
    case ErrorKind::deadline_passed:
        return {504, "deadline passed", false};
    case ErrorKind::storage_failed:
        return {503, "storage failed", true};
    case ErrorKind::upgrade_blocked:
        return {409, "the upgrade cannot be finished yet", false};
    case ErrorKind::unsupported_version:
        return {503, "no common protocol version", true};
    case ErrorKind::bad_settings:
        return {500, "bad settings", false};
    }
    return {500, "unknown error", false};
}

// An error with a sentence for the operator.
struct Error {
    ErrorKind kind;
    std::string detail;
};

template <class T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace willowrill::errors
