// An experiment with real processes of the program on loopback. Workers, discovery, fronts and clients are
// played by this process, which keeps the truth; faults are signals, silence and changes of the list. The
// same files and the same measures as in virtual time.
#pragma once

#include "lab/spread/experiment.h"
#include "lab/spread/truth.h"

#include <functional>
#include <string>

namespace willowrill::lab::spread {

struct LiveOptions {
    std::string program; // willowrilld
    std::string folder;  // for configurations; it exists, and is the caller's to remove
};

// Throws std::runtime_error where a process does not start. `progress`: about once a second.
Measures play_live(const Experiment& experiment, const LiveOptions& options,
                   const std::function<void(const std::string&)>& progress = {});

} // namespace willowrill::lab::spread
