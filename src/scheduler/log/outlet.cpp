#include "scheduler/log/outlet.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace willowrill::log {

// Others may share the descriptor, so its flags are not ours to change: a pipe is opened once more, a socket
// is told with each call, and elsewhere (a terminal may be held) poll is asked first.
Outlet::Outlet(int fd) : fd_(fd) {
    struct stat about {};
    if (::fstat(fd, &about) != 0) return;
    if (S_ISSOCK(about.st_mode)) kind_ = Kind::socket;
    if (!S_ISFIFO(about.st_mode)) return;
    const std::string path = "/proc/self/fd/" + std::to_string(fd);
    const int own = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    if (own < 0) return;
    fd_ = own;
    kind_ = Kind::own;
}

Outlet::~Outlet() {
    if (kind_ == Kind::own) ::close(fd_);
}

bool Outlet::write(std::string_view line) {
    if (!has_room()) {
        ++dropped_;
        return false;
    }
    const long done = put(line);
    if (done <= 0) {
        ++dropped_;
        return false;
    }
    rest_ = line.substr(static_cast<std::size_t>(done));
    return true;
}

bool Outlet::has_room() {
    if (rest_.empty()) return true;
    const long done = put(rest_);
    if (done > 0) rest_.erase(0, static_cast<std::size_t>(done));
    return rest_.empty();
}

long Outlet::put(std::string_view bytes) {
    if (kind_ == Kind::plain && would_wait()) return -1;
    long done = 0;
    do {
        done = kind_ == Kind::socket ? ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
                                     : ::write(fd_, bytes.data(), bytes.size());
    } while (done < 0 && errno == EINTR);
    return done;
}

bool Outlet::would_wait() const {
    pollfd one{.fd = fd_, .events = POLLOUT, .revents = 0};
    return ::poll(&one, 1, 0) == 0;
}

} // namespace willowrill::log
