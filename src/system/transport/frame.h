// How messages between processes of the system look on a connection: a length of four bytes, the highest
// first, then a JSON document, compressed where it is long. Pure; any thread.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace willowrill::transport {

inline constexpr std::size_t frame_length_bytes = 4;
inline constexpr std::size_t max_message_bytes = 24U << 20U; // decompressed
inline constexpr std::size_t min_compressed_bytes = 256;     // shorter messages gain too little

using Frame = std::shared_ptr<const std::string>;

// The bytes of a message, made once for however many connections it goes to.
Frame frame_of(const nlohmann::json& message);

// The message in a frame's bytes behind the length. Throws nlohmann::json::exception on anything else, and on
// one of more than `max_bytes` decompressed.
nlohmann::json message_in(std::string_view body, std::size_t max_bytes = max_message_bytes);
// The message in a complete frame; throws likewise.
nlohmann::json message_in(const Frame& frame);

} // namespace willowrill::transport
