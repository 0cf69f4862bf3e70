// The messages of `messages/messages.h` as JSON and as frames. The names of types and fields on the wire are
// spelled here and nowhere else; they stay as long as versions must run side by side. Pure.
//
// Decoding throws `nlohmann::json::exception` on a document of the wrong shape; the caller drops the
// connection that it came on. A type that is not known is no error: it is decoded as `UnknownMessage`, and so
// is a message whose key `needs` names a feature that this program does not have. The key `optional` marks
// what may be skipped.
#pragma once

#include "system/messages/messages.h"
#include "system/transport/frame.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace willowrill::messages {

nlohmann::json encode(const Hello& hello);
nlohmann::json encode(const CoreMessage& message);
nlohmann::json encode(const SchedulerMessage& message);
nlohmann::json encode(const CoreUpdate& message);
nlohmann::json encode(const HelloReply& reply);
nlohmann::json encode(const HelloRefusal& refusal);

// Nothing where it is no hello: the caller drops the connection. Whether a session can be had with who sent
// it is not judged here.
std::optional<Hello> decode_hello(const nlohmann::json& document);
DialReply decode_dial_reply(const nlohmann::json& document);
CoreMessage decode_core_message(const nlohmann::json& document);
SchedulerMessage decode_scheduler_message(const nlohmann::json& document);
CoreUpdate decode_core_update(const nlohmann::json& document);

// The bytes of a message, made once for however many connections it goes to.
inline transport::Frame frame_of(const CoreMessage& message) { return transport::frame_of(encode(message)); }
inline transport::Frame frame_of(const CoreUpdate& message) { return transport::frame_of(encode(message)); }

} // namespace willowrill::messages
