// All error kinds of the system, and the table that maps each kind to its HTTP answer.
#pragma once

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace willowrill::errors {

enum class ErrorKind {
    malformed_request,      // not HTTP, or a required header is missing or out of range
    request_too_large,      // head or body exceeds the configured limits
    request_timed_out,      // the client did not send its request in time; nothing was executed
    unknown_route,          // no route of the active configuration matches
    unknown_resource,       // no such path or zone at the interfaces of the system itself
    method_not_allowed,     // at the interfaces of the system itself
    invalid_configuration,  // unreadable, in violation of the schema, or inconsistent
    version_conflict,       // If-Match names a version other than the current one
    outcome_forgotten,      // the order may have been accepted earlier; the record of it has been dropped
    state_too_large,        // members could not store the resulting state
    not_primary,            // this process cannot commit the order; another one may
    undecided,              // the order was received; whether it takes effect is unknown
    not_ready,              // no configuration has been received yet
    overloaded,             // no worker can accept the request now; it was not executed
    worker_failed,          // the request may have been executed
    deadline_passed_unsent, // the deadline passed before the request was executed
    deadline_passed,        // the deadline passed; the request may have been executed
    shutting_down_unsent,   // this process ends before the request was executed
    shutting_down,          // this process ends; the request may have been executed
    storage_failed,         // a record could not be written to disk
    upgrade_blocked,        // some process does not support the requested cluster version
    unsupported_version,    // the two ends of a session have no protocol version in common
    bad_settings,           // the settings file is unreadable or invalid
};

// The HTTP answer to an error. `retry_after`: nothing was executed, and the answer says when to retry.
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
    case ErrorKind::shutting_down_unsent:
        return {503, "shutting down, not run", true};
    case ErrorKind::shutting_down:
        return {502, "shutting down", false};
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

// An error with a description for the operator.
struct Error {
    ErrorKind kind;
    std::string detail;
};

template <class T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace willowrill::errors
