// Linked into the programs of the system: holds back the signals that they handle, from before any other code
// of the program runs until `ProcessSignals` takes them, so that none ends a process that starts.
#include "system/transport/signal_mask.h"

namespace {

constexpr int first_priority = 101; // lower ones are reserved for the language's runtime

[[gnu::constructor(first_priority)]] void hold_back_signals() {
    willowrill::transport::block_process_signals();
}

} // namespace
