// How one attempt, a request to one worker, ended.
#pragma once

namespace willowrill::data {

enum class AttemptResult {
    answered,      // the client has its response
    failure_held,  // the worker's response is a failure, held as another attempt may still succeed
    cancelled,     // another attempt has responded, or nobody waits any more; it may have run
    not_executed,  // the worker promises that it did not run the request
    misdirected,   // another instance is at the worker's address; it did not run the request
    unreachable,   // nothing was sent
    ineligible,    // nothing was sent, as the worker may not have the request any more
    unused,        // nothing was sent, as the request does not need the attempt any more
    broken,        // the request may have run, and the client has nothing yet
    broken_midway, // the client has part of a response
};

// The label of the attempt's metric.
const char* name_of(AttemptResult result);

} // namespace willowrill::data
