// The JSON form of the messages between schedulers. The only place that spells the names of their fields.
// On a connection times are ages in milliseconds, as clocks of two machines have nothing in common: `now` is
// the steady time at which a message is encoded or was received. Pure.
//
// Decoding throws nlohmann::json::exception on a message of the wrong shape.
#pragma once

#include "system/load_reports/load_report_messages.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <variant>

namespace willowrill::load_reports {

// A subscriber speaks another version of the protocol; nothing else of its message was read.
struct UnsupportedVersion {};
// A message of a type that a publisher does not know; a later version may send such.
struct UnknownMessage {};
using SubscriberMessage = std::variant<SubscribeRequest, UnsupportedVersion, UnknownMessage>;

nlohmann::json encode(const SubscribeRequest& request);
// What a subscriber sent to a publisher that speaks `supported_version`.
SubscriberMessage decode_subscriber_message(const nlohmann::json& message, int supported_version);

nlohmann::json encode(const LoadReportUpdate& update, routing::Time now);
// What a publisher sent; empty for a message of another type.
std::optional<LoadReportUpdate> decode_update(const nlohmann::json& message, routing::Time now);

} // namespace willowrill::load_reports
