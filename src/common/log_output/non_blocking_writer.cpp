#include "common/log_output/non_blocking_writer.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>

namespace willowrill::log_output {

// Other processes may share the open file description, so O_NONBLOCK must not be set on it. A pipe is
// reopened with its own flags, a socket takes MSG_DONTWAIT with each call, a file never blocks, and any other
// descriptor is polled before each write (a terminal may be stopped).
NonBlockingWriter::NonBlockingWriter(int fd) : fd_(fd) {
    struct stat status {};
    if (::fstat(fd, &status) != 0) return;
    if (S_ISSOCK(status.st_mode)) kind_ = Kind::socket;
    if (S_ISREG(status.st_mode)) kind_ = Kind::file;
    if (!S_ISFIFO(status.st_mode)) return;
    const std::string path = "/proc/self/fd/" + std::to_string(fd);
    const int reopened = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (reopened < 0) return;
    fd_ = reopened;
    kind_ = Kind::reopened;
}

NonBlockingWriter::~NonBlockingWriter() {
    if (kind_ == Kind::reopened) ::close(fd_);
}

bool NonBlockingWriter::write(std::string_view line) {
    if (!write_pending()) {
        ++dropped_;
        return false;
    }
    const long written = write_some(line);
    if (written <= 0) {
        ++dropped_;
        return false;
    }
    pending_ = line.substr(static_cast<std::size_t>(written));
    return true;
}

bool NonBlockingWriter::has_room() { return write_pending() && !would_block(); }

bool NonBlockingWriter::write_pending() {
    if (pending_.empty()) return true;
    const long written = write_some(pending_);
    if (written > 0) pending_.erase(0, static_cast<std::size_t>(written));
    return pending_.empty();
}

long NonBlockingWriter::write_some(std::string_view bytes) {
    if (kind_ == Kind::poll_first) {
        if (would_block()) return -1;
        bytes = bytes.substr(0, PIPE_BUF); // a pipe that can be written to takes as much without blocking
    }
    long written = 0;
    do {
        written = kind_ == Kind::socket ? ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
                                        : ::write(fd_, bytes.data(), bytes.size());
    } while (written < 0 && errno == EINTR);
    return written;
}

bool NonBlockingWriter::would_block() const {
    pollfd descriptor{.fd = fd_, .events = POLLOUT, .revents = 0};
    return ::poll(&descriptor, 1, 0) == 0;
}

} // namespace willowrill::log_output
