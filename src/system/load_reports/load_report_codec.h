// Encodes and decodes the JSON messages about load reports between schedulers. The names of the JSON fields
// appear only here.
//
// Messages carry ages in milliseconds instead of times, because the steady clocks of two machines are
// unrelated. `now` is the steady time at which a message is encoded or was received.
//
// Decoding throws nlohmann::json::exception on a malformed message.
#pragma once

#include "system/load_reports/load_report_messages.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>

namespace willowrill::load_reports {

// The two peers have no protocol version in common. The rest of the message was not decoded.
struct UnsupportedVersion {
    std::string detail; // a sentence for the operator
};
// A message of an unknown type, which a later version may send.
struct UnknownMessage {};
using SubscriberMessage = std::variant<SubscribeRequest, UnsupportedVersion, UnknownMessage>;
using PublisherMessage = std::variant<LoadReportUpdate, SubscribeRefusal, UnknownMessage>;

nlohmann::json encode(const SubscribeRequest& request);
nlohmann::json encode(const SubscribeRefusal& refusal);
// Decodes a message from a subscriber. `own_greeting`: the versions and features of the receiving publisher.
SubscriberMessage decode_subscriber_message(const nlohmann::json& message,
                                            const protocol::Greeting& own_greeting);

nlohmann::json encode(const LoadReportUpdate& update, routing::Time now);
// Decodes a message from a publisher.
PublisherMessage decode_publisher_message(const nlohmann::json& message, routing::Time now);

} // namespace willowrill::load_reports
