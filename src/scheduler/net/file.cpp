#include "scheduler/net/file.h"

#include "scheduler/net/socket.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace willowrill::net {

std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes, std::string& error) {
    const Fd fd(
        ::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)); // O_NONBLOCK: opening a pipe must not block
    struct stat status {};
    if (!fd.valid() || ::fstat(fd.get(), &status) != 0) {
        error = std::string("cannot be read: ") + std::strerror(errno);
        return std::nullopt;
    }
    if (!S_ISREG(status.st_mode)) {
        error = S_ISDIR(status.st_mode) ? "cannot be read: it is a folder" : "cannot be read: it is no file";
        return std::nullopt;
    }
    std::string content;
    std::array<char, 16384> buffer;       // NOLINT: filled by read
    while (content.size() <= max_bytes) { // not by st_size: the file may grow meanwhile
        const auto received = ::read(fd.get(), buffer.data(), buffer.size());
        if (received < 0 && errno == EINTR) continue;
        if (received < 0) {
            error = std::string("cannot be read: ") + std::strerror(errno);
            return std::nullopt;
        }
        if (received == 0) break;
        content.append(buffer.data(), static_cast<std::size_t>(received));
    }
    if (content.size() > max_bytes) {
        error = "holds more than " + std::to_string(max_bytes) + " bytes";
        return std::nullopt;
    }
    if (content.empty()) {
        error = "is empty";
        return std::nullopt;
    }
    return content;
}

} // namespace willowrill::net
