#include "system/process/resource_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace willowrill::process {

std::optional<std::size_t> resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    if (!(file >> all_pages >> resident_pages)) return std::nullopt;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::optional<std::size_t> open_descriptors() {
    std::error_code error;
    std::size_t count = 0;
    std::filesystem::directory_iterator entry("/proc/self/fd", error);
    for (const std::filesystem::directory_iterator end; !error && entry != end; entry.increment(error))
        ++count;
    if (error || count == 0) return std::nullopt;
    return count - 1; // without the one that lists them
}

} // namespace willowrill::process
