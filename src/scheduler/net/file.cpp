#include "scheduler/net/file.h"

#include "scheduler/net/socket.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace willowrill::net {

std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes, std::string& why) {
    const Fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK)); // a pipe must not hold the open
    struct stat about {};
    if (!fd.valid() || ::fstat(fd.get(), &about) != 0) {
        why = std::string("cannot be read: ") + std::strerror(errno);
        return std::nullopt;
    }
    if (!S_ISREG(about.st_mode)) {
        why = S_ISDIR(about.st_mode) ? "cannot be read: it is a folder" : "cannot be read: it is no file";
        return std::nullopt;
    }
    std::string out;
    std::array<char, 16384> bytes;    // NOLINT: filled by read
    while (out.size() <= max_bytes) { // by what comes: the file may grow meanwhile
        const auto got = ::read(fd.get(), bytes.data(), bytes.size());
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            why = std::string("cannot be read: ") + std::strerror(errno);
            return std::nullopt;
        }
        if (got == 0) break;
        out.append(bytes.data(), static_cast<std::size_t>(got));
    }
    if (out.size() > max_bytes) {
        why = "holds more than " + std::to_string(max_bytes) + " bytes";
        return std::nullopt;
    }
    if (out.empty()) {
        why = "is empty";
        return std::nullopt;
    }
    return out;
}

} // namespace willowrill::net
