// A small file, read whole or not at all: a configuration, never a device, a pipe or a folder, which could
// hold the loop for good or fill the memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace willowrill::net {

// Nothing: `why` says in a few words what was wrong.
std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes, std::string& why);

} // namespace willowrill::net
