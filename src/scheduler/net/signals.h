// Delivery of POSIX signals as events of the loop.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <csignal>
#include <functional>
#include <initializer_list>

namespace willowrill::net {

// Blocks the given signals during its lifetime, so that they stay pending until a `SignalHandler` exists.
// Without it, an early SIGHUP would end the program.
class ScopedSignalBlock {
  public:
    ScopedSignalBlock(std::initializer_list<int> signals);
    ~ScopedSignalBlock();
    ScopedSignalBlock(const ScopedSignalBlock&) = delete;
    ScopedSignalBlock& operator=(const ScopedSignalBlock&) = delete;

  private:
    sigset_t previous_mask_{};
};

// Calls `callback` from the loop for each given signal, and ignores SIGPIPE. Signals of one kind that arrive
// before the loop handles them are reported once. At most one instance may exist at a time.
class SignalHandler final : private Pollable {
  public:
    SignalHandler(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> callback);
    ~SignalHandler() override;

  private:
    void on_ready(short events) override;

    Loop& loop_;
    std::function<void(int)> callback_;
    Fd wakeup_read_fd_;
};

} // namespace willowrill::net
