// Owning file descriptors, IPv4 endpoints and socket creation. All sockets are non-blocking.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace willowrill::net {

// Owns a file descriptor and closes it on destruction.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Fd() { reset(); }

    int get() const { return fd_; }
    bool valid() const { return fd_ >= 0; }
    void reset() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }

  private:
    int fd_ = -1;
};

// An IPv4 address and port.
struct Endpoint {
    sockaddr_in address{};

    // Accepts `10.0.0.4:5000`, but no host names: DNS is not available where the program runs.
    static std::optional<Endpoint> parse(std::string_view text);
    std::string text() const;
    bool operator==(const Endpoint& other) const {
        return address.sin_addr.s_addr == other.address.sin_addr.s_addr &&
               address.sin_port == other.address.sin_port;
    }
};

// Throws std::system_error. With `reuse_port`, other processes of the same user may listen on the address
// too.
Fd listen_on(const Endpoint& endpoint, bool reuse_port = false);
Fd accept_from(const Fd& listener);           // invalid, with errno set, if no connection is pending
Fd connect_to(const Endpoint& endpoint);      // may still be connecting; invalid, with errno set, on error
Fd bind_udp_socket(const Endpoint& endpoint); // invalid, with errno set, if the address is unavailable
Endpoint local_address(const Fd& fd);
bool has_hung_up(const Fd& fd); // the peer has closed it, or unread bytes are pending

} // namespace willowrill::net
