// Reads small regular files such as the configuration.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace willowrill::net {

// Returns the whole content of a regular file that holds 1 to `max_bytes` bytes. Otherwise returns nothing,
// and `error` holds a message that continues a sentence about the path. Devices, pipes and directories are
// refused, as reading them could block the event loop forever or exhaust memory.
std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes, std::string& error);

} // namespace willowrill::net
