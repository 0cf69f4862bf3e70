// What a replica does only once the records that it vouches for are durable: a message, or a step of its own.
#pragma once

#include "system/replication/actions.h"
#include "system/replication/types.h"

#include <variant>

namespace willowrill::replication {

// The candidate's own prepare is durable: the others may be asked.
struct SendPrepareRequests {
    Epoch epoch = 0;
};

// The state that the candidate fetched is durable here.
struct StartInstall {
    Epoch epoch = 0;
};

// The candidate has stored the record of the new epoch itself.
struct SendAcceptRequests {
    Epoch epoch = 0;
};

// The primary's own copy of a proposed state is durable.
struct CountOwnCopy {
    Position position;
};

// Both records were written anew after a failure.
struct FinishRestoration {};

using DeferredAction = std::variant<Send, SendPrepareRequests, StartInstall, SendAcceptRequests, CountOwnCopy,
                                    FinishRestoration>;

} // namespace willowrill::replication
