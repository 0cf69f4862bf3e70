// Frames as bytes.
#include "system/transport/frame.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>

using namespace willowrill;
using nlohmann::json;

Test(frame, a_short_message_is_its_length_and_its_document) {
    expect_text(*transport::frame_of({{"n", 1}}), std::string("\0\0\0\7{\"n\":1}", 11));
}

Test(frame, a_long_message_is_compressed_and_read_back) {
    const json message{{"text", std::string(10'000, 'x')}};
    const transport::Frame frame = transport::frame_of(message);
    cr_assert_lt(frame->size(), 1000U);
    cr_assert(transport::message_in(frame) == message);
}

Test(frame, a_damaged_compressed_message_is_an_error) {
    std::string bytes = *transport::frame_of({{"text", std::string(10'000, 'x')}});
    bytes.resize(bytes.size() / 2);
    cr_assert_throw(transport::message_in(std::string_view(bytes).substr(transport::frame_length_bytes)),
                    json::exception);
}
