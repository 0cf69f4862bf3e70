#include "system/data/forwarded_head.h"

#include "common/http_rules/response_rules.h"
#include "system/data/upstream_request.h"

#include <fmt/format.h>

namespace willowrill::data {
namespace {

// Beast has a phrase of its own for a status that it doesn't know where the worker gave none.
std::string reason_of(const http::response_header<>& head) {
    const bool is_placeholder = head.reason() == http::obsolete_reason(http::status::unknown);
    return is_placeholder ? "" : text(head.reason());
}

} // namespace

std::string length_field(std::size_t body_bytes) { return fmt::format("Content-Length: {}\r\n", body_bytes); }

std::string stated_length_field(const http::response_header<>& head) {
    const auto stated = head.find(http::field::content_length);
    if (stated == head.end() || !http_rules::may_have_length(head.result_int())) return "";
    return "Content-Length: " + text(stated->value()) + "\r\n";
}

std::string forwarded_head(const http::response_header<>& head, const std::string& framing_field,
                           bool keep_alive) {
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", head.result_int(), reason_of(head));
    for (const auto& field : head)
        if (!is_own_header(field.name(), field.name_string()))
            out += text(field.name_string()) + ": " + text(field.value()) + "\r\n";
    out += framing_field;
    if (!keep_alive) out += "Connection: close\r\n";
    return out + "\r\n";
}

} // namespace willowrill::data
