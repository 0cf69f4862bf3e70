#include "system/http_reader/head_check.h"

#include <iterator>
#include <string_view>

namespace willowrill::http_reader {
namespace {

constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;

// None, or chunks alone: with any other coding the bytes of the body are not those that were meant.
bool is_transfer_coding_known(const http::fields& head) {
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last) return true;
    return std::next(first) == last && beast::iequals(first->value(), "chunked");
}

} // namespace

ErrorCode check_response_head(const http::response_header<>& head) {
    if (head.version() != http_1_0 && head.version() != http_1_1) return http::error::bad_version;
    if (head.result_int() < min_final_status || head.result_int() > max_status)
        return http::error::bad_status;
    if (!is_transfer_coding_known(head)) return http::error::bad_transfer_encoding;
    if (head.find(http::field::content_encoding) != head.end()) return http::error::unexpected_body;
    return {};
}

ErrorCode check_request_head(const http::request_header<>& head) {
    return is_transfer_coding_known(head) ? ErrorCode() : http::error::bad_transfer_encoding;
}

bool has_folded_field(asio::const_buffer lines) {
    const std::string_view text(static_cast<const char*>(lines.data()), lines.size());
    return text.find("\n ") != std::string_view::npos || text.find("\n\t") != std::string_view::npos;
}

} // namespace willowrill::http_reader
