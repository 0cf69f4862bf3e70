// The messages with which schedulers exchange load reports. Times are those of the steady clock of the
// process that holds the message; load_report_codec.h defines the encoding.
#pragma once

#include "system/protocol/negotiation.h"
#include "system/routing/worker.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace willowrill::load_reports {

// The load reports that a subscriber asks for.
enum class ReportScope {
    probed_here, // of the workers that the publisher probes itself; for home schedulers of other zones
    all_zones    // of every worker that the publisher knows; for schedulers of the publisher's zone
};

// Opens a subscription. Sent once, as the first message on a connection.
struct SubscribeRequest {
    protocol::Greeting greeting;
    std::string service;
    ReportScope scope = ReportScope::all_zones;
    // Location of the subscriber; empty if it sent none.
    std::string zone;
    std::string region;
};

// Refuses a subscribe request. The publisher closes the connection after sending it.
struct SubscribeRefusal {
    std::string detail; // a sentence for the operator
};

// A snapshot of the published load reports, or a delta to them. Workers are identified by instance id.
struct LoadReportUpdate {
    std::string service;
    std::map<std::string, routing::LoadReport> reports; // new or materially different
    // Reports published earlier that are neither in `reports` nor in `stale` are still valid as of this time.
    std::optional<routing::Time> unchanged_as_of;
    std::set<std::string> removed; // no longer published
    std::set<std::string> stale;   // not confirmed, because their latest report is old
};

} // namespace willowrill::load_reports
