// The messages by which schedulers pass load reports on, as types. How they look on a connection is known to
// load_report_codec.h alone. Pure values; times are those of the process that holds the message.
#pragma once

#include "system/protocol/negotiation.h"
#include "system/routing/worker.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace willowrill::load_reports {

// Which load reports a subscriber asks for.
enum class ReportScope {
    probed_here, // of the workers that the publisher probes itself: for home schedulers of other zones
    all_zones    // of every worker that the publisher knows: for schedulers of its own zone
};

// Opens a subscription. Sent once, as the first message on a connection.
struct SubscribeRequest {
    protocol::Greeting greeting;
    std::string service;
    ReportScope scope = ReportScope::all_zones;
    // Where the subscriber is; empty where it did not say.
    std::string zone;
    std::string region;
};

// Answers a request with whose sender no subscription can be had; the publisher closes the connection behind
// it.
struct SubscribeRefusal {
    std::string detail; // a sentence for the operator
};

// A snapshot of what subscribers know, or a delta to it. Workers are named by instance id.
struct LoadReportUpdate {
    std::string service;
    std::map<std::string, routing::LoadReport> reports; // new or materially different
    // The reports published earlier that are not in `reports` nor `stale` still hold, as of this time.
    std::optional<routing::Time> unchanged_as_of;
    std::set<std::string> removed; // no longer published
    std::set<std::string> stale;   // not confirmed: their newest report is old
};

} // namespace willowrill::load_reports
