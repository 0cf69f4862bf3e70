// How messages between processes of the system look on a connection: a JSON document with its length before
// it. Pure.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace willowrill::transport {

inline constexpr int protocol_version = 2;
inline constexpr std::size_t frame_length_bytes = 4;

using Frame = std::shared_ptr<const std::string>;

// The bytes of a message, made once for however many connections it goes to.
inline Frame frame_of(const nlohmann::json& message) {
    const std::string body = message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const auto size = static_cast<std::uint32_t>(body.size());
    auto frame = std::make_shared<std::string>();
    frame->reserve(body.size() + frame_length_bytes);
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        frame->push_back(static_cast<char>((size >> shift) & 0xffU));
    frame->append(body);
    return frame;
}

// The message of one whole frame.
inline nlohmann::json message_in(const Frame& frame) {
    return nlohmann::json::parse(frame->begin() + frame_length_bytes, frame->end());
}

} // namespace willowrill::transport
