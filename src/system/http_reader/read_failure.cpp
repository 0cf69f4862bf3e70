#include "system/http_reader/read_failure.h"

namespace willowrill::http_reader {

ReadFailure failure_of(ErrorCode error) {
    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow)
        return ReadFailure::too_long;
    if (error == asio::error::no_memory) return ReadFailure::no_memory;
    if (error == asio::error::operation_aborted) return ReadFailure::timed_out;
    const bool from_parser = error.category() == http::make_error_code(http::error::bad_method).category();
    const bool ended = error == http::error::end_of_stream || error == http::error::partial_message;
    return from_parser && !ended ? ReadFailure::malformed : ReadFailure::ended;
}

const char* name_of(ReadFailure failure) {
    switch (failure) {
    case ReadFailure::ended:
        return "ended";
    case ReadFailure::timed_out:
        return "timed_out";
    case ReadFailure::malformed:
        return "malformed";
    case ReadFailure::too_long:
        return "too_long";
    case ReadFailure::no_memory:
        return "no_memory";
    case ReadFailure::unusable:
        break;
    }
    return "unusable";
}

bool is_fault_of_sender(ReadFailure failure) {
    return failure == ReadFailure::malformed || failure == ReadFailure::too_long;
}

} // namespace willowrill::http_reader
