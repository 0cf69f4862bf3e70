// Signals, told as events of the loop: one of a kind at a time, as the system does.
#pragma once

#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <csignal>
#include <functional>
#include <initializer_list>

namespace willowrill::net {

// While one stands, signals of these kinds wait until there is someone to tell: taken before, SIGHUP would
// end the program.
class ScopedSignalBlock {
  public:
    ScopedSignalBlock(std::initializer_list<int> signals);
    ~ScopedSignalBlock();
    ScopedSignalBlock(const ScopedSignalBlock&) = delete;
    ScopedSignalBlock& operator=(const ScopedSignalBlock&) = delete;

  private:
    sigset_t before_{};
};

// One at a time in a process.
class SignalHandler final : private Pollable {
  public:
    SignalHandler(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> action);
    ~SignalHandler() override;

  private:
    void on_ready(short events) override;

    Loop& loop_;
    std::function<void(int)> action_;
    Fd read_;
};

} // namespace willowrill::net
