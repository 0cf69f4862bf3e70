// What the core holds in common: the operators' configuration, the zones evacuated, and which orders were
// taken, so that one sent again is acknowledged again. Orders are applied to it one after the other. Pure.
#pragma once

#include "configuration/configuration.h"
#include "errors/error.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace willowrill::configuration {

// A configuration order that was taken.
struct TakenOrder {
    std::uint64_t digest = 0; // of its body and the version it was based on
    Version version = 0;
};

struct ControlState {
    Version version = 0;       // 0: there is no configuration yet
    std::string configuration; // as the operator sent it
    std::set<std::string> evacuated_zones;
    std::deque<TakenOrder> taken; // at most `most_taken`, the oldest first
};

inline constexpr std::size_t most_taken = 2048;

std::string encode(const ControlState& state);
errors::Result<ControlState> decode(const std::string& text); // "" is the state before the first order

struct PutConfiguration {
    std::optional<Version> based_on; // If-Match
    std::string body;
};
struct Evacuate {
    std::string zone;
};
struct EndEvacuation {
    std::string zone;
};
using Order = std::variant<PutConfiguration, Evacuate, EndEvacuation>;

// The order changes nothing: what it asks for is so already.
struct Unchanged {};
using Applied = std::variant<Unchanged, ControlState>;

errors::Result<Applied> apply(const ControlState& state, const Order& order);

} // namespace willowrill::configuration
