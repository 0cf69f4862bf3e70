#include "lab/spread/virtual.h"

#include "lab/spread/world.h"

#include <array>

namespace willowrill::lab::spread {
namespace {
constexpr std::array<std::string_view, 4> ways{"module", "random", "two-choices", "oracle"};
} // namespace

std::string_view name_of(Way way) { return ways.at(static_cast<std::size_t>(way)); }

std::optional<Way> way_named(std::string_view name) {
    for (std::size_t i = 0; i < ways.size(); ++i)
        if (ways.at(i) == name) return static_cast<Way>(i);
    return std::nullopt;
}

Measures play(const Experiment& experiment, Way way, const std::function<void(Time)>& progress) {
    return SpreadWorld(experiment, way).run(progress);
}

} // namespace willowrill::lab::spread
