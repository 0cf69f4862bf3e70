// Why a message was not read to its end, for metrics and the log. Pure.
#pragma once

#include "system/transport/asio.h"

namespace willowrill::http_reader {

enum class ReadFailure {
    ended,     // the connection ended before the message did
    timed_out, // this process ended the reading
    malformed, // what came is no message in the protocol
    too_long,  // a part of it is longer than may be read
    no_memory, // there was no room for what came
    unusable   // a message, but none that was asked for
};

// What an error of reading means. `error` must not be success.
ReadFailure failure_of(ErrorCode error);

// The label of the metric.
const char* name_of(ReadFailure failure);

// Whether the sender sent what it should not, rather than the connection or the time being at an end.
bool is_fault_of_sender(ReadFailure failure);

} // namespace willowrill::http_reader
