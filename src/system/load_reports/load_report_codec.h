// The JSON form of the messages between schedulers. The only place that spells the names of their fields.
// On a connection times are ages in milliseconds, as clocks of two machines have nothing in common: `now` is
// the steady time at which a message is encoded or was received. Pure.
//
// Decoding throws nlohmann::json::exception on a message of the wrong shape.
#pragma once

#include "system/load_reports/load_report_messages.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace willowrill::load_reports {

// The two ends speak no version of the protocol in common; nothing else of the message was read.
struct UnsupportedVersion {
    std::string detail; // a sentence for the operator
};
// A message of a type that the receiver does not know; a later version may send such.
struct UnknownMessage {};
using SubscriberMessage = std::variant<SubscribeRequest, UnsupportedVersion, UnknownMessage>;
using PublisherMessage = std::variant<LoadReportUpdate, SubscribeRefusal, UnknownMessage>;

nlohmann::json encode(const SubscribeRequest& request);
nlohmann::json encode(const SubscribeRefusal& refusal);
// What a subscriber sent to a publisher that speaks what `own` says.
SubscriberMessage decode_subscriber_message(const nlohmann::json& message, const protocol::Greeting& own);

nlohmann::json encode(const LoadReportUpdate& update, routing::Time now);
// What a publisher sent.
PublisherMessage decode_publisher_message(const nlohmann::json& message, routing::Time now);

} // namespace willowrill::load_reports
