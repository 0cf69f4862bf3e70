// What a process uses of its machine, as the system counts it. Any thread.
#pragma once

#include <cstddef>
#include <optional>

namespace willowrill::process {

// Memory of this process that is resident. Empty where the system does not say.
std::optional<std::size_t> resident_bytes();
// Descriptors of this process that are open. Empty where the system does not say.
std::optional<std::size_t> open_descriptors();

} // namespace willowrill::process
