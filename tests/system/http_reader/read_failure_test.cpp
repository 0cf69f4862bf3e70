// What an error of reading a message says of who sent it.
#include "system/http_reader/read_failure.h"

#include <criterion/criterion.h>

using namespace willowrill;
using http_reader::ReadFailure;

Test(read_failure, tells_bytes_that_are_no_message_from_an_end) {
    const struct {
        ErrorCode error;
        ReadFailure failure;
        bool of_sender;
    } cases[] = {
        {http::error::header_limit, ReadFailure::too_long, true},
        {http::error::body_limit, ReadFailure::too_long, true},
        {http::error::buffer_overflow, ReadFailure::too_long, true},
        {http::error::bad_chunk, ReadFailure::malformed, true},
        {http::error::bad_version, ReadFailure::malformed, true},
        {http::error::end_of_stream, ReadFailure::ended, false},
        {http::error::partial_message, ReadFailure::ended, false},
        {asio::error::connection_reset, ReadFailure::ended, false},
        {asio::error::operation_aborted, ReadFailure::timed_out, false},
        {asio::error::no_memory, ReadFailure::no_memory, false},
    };
    for (const auto& one : cases) {
        cr_expect_eq(http_reader::failure_of(one.error), one.failure, "%s", one.error.message().c_str());
        cr_expect_eq(http_reader::is_fault_of_sender(one.failure), one.of_sender, "%s",
                     one.error.message().c_str());
    }
}
