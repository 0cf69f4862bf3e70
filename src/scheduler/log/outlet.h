// A descriptor that lines are written to without ever waiting for who reads them. What finds no room is
// dropped whole and counted: a reader that stops must not stop the program that serves.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::log {

class Outlet {
  public:
    explicit Outlet(int fd); // stays the caller's
    ~Outlet();
    Outlet(const Outlet&) = delete;
    Outlet& operator=(const Outlet&) = delete;

    // Whether the line went out, or will: of one that went out in part, the rest goes before the next.
    bool write(std::string_view line);
    bool has_room(); // once what is left over has gone
    std::uint64_t dropped() const { return dropped_; }

  private:
    enum class Kind : std::uint8_t { plain, socket, own }; // own: opened anew, so that it does not wait

    long put(std::string_view bytes); // how many went, negative for an error
    bool would_wait() const;

    int fd_;
    Kind kind_ = Kind::plain;
    std::string rest_; // of one line at the most
    std::uint64_t dropped_ = 0;
};

} // namespace willowrill::log
