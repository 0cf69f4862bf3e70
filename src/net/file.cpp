#include "net/file.h"

#include "net/socket.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace willowrill::net {

std::optional<std::string> read_file(const std::string& path, std::size_t most_bytes, std::string& why) {
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
    // One byte more is asked for than may come: what grows meanwhile is noticed, too.
    std::string out(most_bytes + 1 < static_cast<std::size_t>(about.st_size)
                        ? most_bytes + 1
                        : static_cast<std::size_t>(about.st_size) + 1,
                    '\0');
    std::size_t have = 0;
    while (have < out.size()) {
        const auto got = ::read(fd.get(), out.data() + have, out.size() - have);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) {
            why = std::string("cannot be read: ") + std::strerror(errno);
            return std::nullopt;
        }
        if (got == 0) break;
        have += static_cast<std::size_t>(got);
        if (have == out.size() && have <= most_bytes) out.resize(std::min(most_bytes + 1, 2 * have));
    }
    if (have > most_bytes) {
        why = "holds more than " + std::to_string(most_bytes) + " bytes";
        return std::nullopt;
    }
    if (have == 0) {
        why = "is empty";
        return std::nullopt;
    }
    out.resize(have);
    return out;
}

} // namespace willowrill::net
