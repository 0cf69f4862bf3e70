#include "system/transport/frame.h"

#include "system/compression/compression.h"

#include <cstdint>

namespace willowrill::transport {
namespace {

constexpr int damaged_message_id = 502; // of the JSON library's own errors: other errors

void append_length(std::string& out, std::uint32_t length) {
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        out.push_back(static_cast<char>((length >> shift) & 0xffU));
}

} // namespace

Frame frame_of(const nlohmann::json& message) {
    std::string body = message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (body.size() >= min_compressed_bytes) body = compression::compress(body);
    auto frame = std::make_shared<std::string>();
    frame->reserve(body.size() + frame_length_bytes);
    append_length(*frame, static_cast<std::uint32_t>(body.size()));
    frame->append(body);
    return frame;
}

nlohmann::json message_in(std::string_view body, std::size_t max_bytes) {
    const auto text = compression::decompress(body, max_bytes);
    if (!text) throw nlohmann::json::other_error::create(damaged_message_id, "damaged or too long", nullptr);
    return nlohmann::json::parse(*text);
}

nlohmann::json message_in(const Frame& frame) {
    return message_in(std::string_view(*frame).substr(frame_length_bytes));
}

} // namespace willowrill::transport
