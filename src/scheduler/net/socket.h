// Descriptors that close themselves, and the few calls that make sockets.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace willowrill::net {

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

struct Endpoint {
    sockaddr_in address{};

    // `10.0.0.4:5000`; there is no DNS where the program runs.
    static std::optional<Endpoint> parse(std::string_view text);
    std::string text() const;
    bool operator==(const Endpoint& other) const {
        return address.sin_addr.s_addr == other.address.sin_addr.s_addr &&
               address.sin_port == other.address.sin_port;
    }
};

// Throws std::system_error. `shared`: other processes of this user may listen there too.
Fd listen_on(const Endpoint& endpoint, bool shared = false);
Fd accept_from(const Fd& listener);      // invalid, with errno, where there is none
Fd connect_to(const Endpoint& endpoint); // may be under way still; invalid, with errno, if refused at once
Fd bind_udp_socket(const Endpoint& endpoint); // UDP; invalid, with errno, where the address cannot be had
Endpoint local_address(const Fd& fd);
bool has_hung_up(const Fd& fd); // the other side has closed it, or sent what nobody asked for

} // namespace willowrill::net
