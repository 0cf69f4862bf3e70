// Actions that a replica defers until the records they depend on are durable: sending a message, or the next
// step of an election, a proposal or a restoration.
#pragma once

#include "system/replication/actions.h"
#include "system/replication/types.h"

#include <variant>

namespace willowrill::replication {

// The candidate's own promise is durable: it may send prepare requests to the other members.
struct SendPrepareRequests {
    Epoch epoch = 0;
};

// The state fetched by the candidate is durable: it may be installed on the other members.
struct StartInstall {
    Epoch epoch = 0;
};

// The candidate's own copy of the new epoch's record is durable: it may send accept requests.
struct SendAcceptRequests {
    Epoch epoch = 0;
};

// The primary's own copy of a proposed state is durable and counts towards the commit.
struct CountOwnCopy {
    Position position;
};

// Both records were rewritten successfully after a failed save.
struct FinishRestoration {};

using DeferredAction = std::variant<Send, SendPrepareRequests, StartInstall, SendAcceptRequests, CountOwnCopy,
                                    FinishRestoration>;

} // namespace willowrill::replication
