// Writes lines to a file descriptor without ever blocking on its reader. A line that cannot be written at
// once is dropped as a whole and counted, so that a stalled log reader cannot stall the process.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::log_output {

class NonBlockingWriter {
  public:
    explicit NonBlockingWriter(int fd); // does not take ownership of `fd`
    ~NonBlockingWriter();
    NonBlockingWriter(const NonBlockingWriter&) = delete;
    NonBlockingWriter& operator=(const NonBlockingWriter&) = delete;

    // Writes one line and returns false if it was dropped. The remainder of a line that was written in part
    // is kept and written before the next line.
    bool write(std::string_view line);
    // Tries to write what remains of the last line. Returns whether nothing remains and the descriptor says
    // that it can be written to.
    bool has_room();
    std::uint64_t dropped() const { return dropped_; }

  private:
    // How blocking is avoided; see the constructor. `reopened`: `fd_` is a second descriptor, owned by this.
    enum class Kind : std::uint8_t { poll_first, file, socket, reopened };

    bool write_pending();                    // returns whether nothing remains
    long write_some(std::string_view bytes); // bytes written, negative for an error
    bool would_block() const;

    int fd_;
    Kind kind_ = Kind::poll_first;
    std::string pending_; // the remainder of at most one line
    std::uint64_t dropped_ = 0;
};

} // namespace willowrill::log_output
