// An experiment in virtual time: many instances of the real module and its host, each with its own view,
// among emulated workers, clients and a network. One seed replays a whole run. Simple ways of choosing, and
// one that sees the true state, are played in the same world beside it.
#pragma once

#include "lab/spread/experiment.h"
#include "lab/spread/truth.h"

#include <functional>
#include <optional>
#include <string_view>

namespace willowrill::lab::spread {

enum class Way : std::uint8_t {
    module,      // willowrill's
    random,      // any worker listed
    two_choices, // the less loaded of two, by their last reports
    oracle       // the one with the shortest queue at this moment, reachable, sound and warm or not
};
std::string_view name_of(Way way);
std::optional<Way> way_named(std::string_view name);

// `progress` is called about once a simulated second.
Measures play(const Experiment& experiment, Way way, const std::function<void(Time)>& progress = {});

} // namespace willowrill::lab::spread
