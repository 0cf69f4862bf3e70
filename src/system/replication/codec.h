// Encodes and decodes the messages and durable records of replication as JSON. Decoding throws
// `nlohmann::json::exception` on invalid input; the caller then closes the connection it came from.
#pragma once

#include "system/replication/messages.h"
#include "system/replication/types.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace willowrill::replication {

nlohmann::json encode(const Message& message);
Message decode_message(const nlohmann::json& json);
// Whether this version can decode messages of the given type.
bool is_known_message_type(const std::string& type);

std::string encode_register(const WitnessRegister& value);
WitnessRegister decode_register(const std::string& text);

std::string encode_state(const ReplicatedState& value);
ReplicatedState decode_state(const std::string& text);

} // namespace willowrill::replication
