#include "system/http_reader/response_check.h"

namespace willowrill::http_reader {
namespace {

constexpr unsigned http_1_0 = 10;
constexpr unsigned http_1_1 = 11;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;

} // namespace

ErrorCode check_response_head(const http::response_header<>& head) {
    if (head.version() != http_1_0 && head.version() != http_1_1) return http::error::bad_version;
    if (head.result_int() < min_final_status || head.result_int() > max_status)
        return http::error::bad_status;
    return {};
}

} // namespace willowrill::http_reader
