// How messages between processes of the system look on a connection: a JSON document, packed where it is
// long, with its length before it. Pure.
#pragma once

#include "system/compression/compression.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace willowrill::transport {

inline constexpr int protocol_version = 3;
inline constexpr std::size_t frame_length_bytes = 4;
inline constexpr std::size_t longest_message = 24U << 20U; // unpacked
inline constexpr std::size_t packed_from = 256;            // bytes; shorter ones gain too little

using Frame = std::shared_ptr<const std::string>;

// The bytes of a message, made once for however many connections it goes to.
inline Frame frame_of(const nlohmann::json& message) {
    std::string body = message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (body.size() >= packed_from) body = compression::compress(body);
    const auto size = static_cast<std::uint32_t>(body.size());
    auto frame = std::make_shared<std::string>();
    frame->reserve(body.size() + frame_length_bytes);
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        frame->push_back(static_cast<char>((size >> shift) & 0xffU));
    frame->append(body);
    return frame;
}

// The message of a frame's bytes behind the length. Throws nlohmann::json::exception on anything else.
inline nlohmann::json message_in(std::string_view body) {
    const auto text = compression::decompress(body, longest_message);
    if (!text) throw nlohmann::json::other_error::create(502, "damaged or too long", nullptr);
    return nlohmann::json::parse(*text);
}

// The message of one whole frame.
inline nlohmann::json message_in(const Frame& frame) {
    return message_in(std::string_view(*frame).substr(frame_length_bytes));
}

} // namespace willowrill::transport
