// A program of ours as a child on loopback: started with a file or two, its log read as it comes, ended for
// certain.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace willowrill::lab {

class Process final : private net::Pollable {
  public:
    // `environment` is added to that of the caller. Throws std::system_error.
    Process(net::Loop& loop, std::vector<std::string> arguments,
            const std::vector<std::pair<std::string, std::string>>& environment);
    ~Process() override; // SIGKILL, if it still runs
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int signal);
    pid_t pid() const { return pid_; }
    void read_log(bool on); // it is read as the loop runs, unless told otherwise
    // Its exit code once it has ended, 128 and the signal's number if it was killed.
    std::optional<int> ended();
    const std::string& log() const { return log_; } // standard error, so far
    // The address behind `words` in the log, once it is there.
    std::optional<net::Endpoint> address_after(std::string_view words) const;

  private:
    void on_ready(short events) override;

    net::Loop& loop_;
    net::Fd read_;
    pid_t pid_ = -1;
    std::optional<int> ended_;
    std::string log_;
};

} // namespace willowrill::lab
