// What the head of a worker's response means for the attempt that waits for it. Pure: the rules of who may be
// answered with what, and of what has surely not run, stand here alone.
#pragma once

#include "system/transport/asio.h"

#include <string>
#include <string_view>

namespace willowrill::data {

enum class ResponseKind {
    complete,     // a response to this attempt that is passed on once it is complete
    stream,       // one that is passed on event by event
    not_executed, // the worker promises that it did not run this attempt and will not
    misdirected,  // likewise, as the instance that it was sent to is not at that address any more
    earlier,      // belongs to an earlier request on this connection: to be discarded
    unusable      // nothing can be concluded from it; the attempt may have run
};

// What is known of the attempt.
struct AttemptFacts {
    std::string_view attempt_id;
    bool streaming = false;           // its route's responses are streams, and have bodies
    bool reused = false;              // its connection has carried an earlier request
    bool part_of_stream_sent = false; // the client has the head and some events already
};

bool is_success(const http::response_header<>& head);

ResponseKind classify_response(const http::response_header<>& head, const AttemptFacts& attempt);

} // namespace willowrill::data
