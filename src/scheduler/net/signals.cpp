#include "scheduler/net/signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <system_error>

namespace willowrill::net {
namespace {

// All that a handler may touch; it lives as long as the process. The pipe only wakes the loop: were the
// signals in it, a flood of one kind would fill it and the next SIGTERM would be lost.
int pipe_end = -1;
std::array<volatile std::sig_atomic_t, NSIG> pending{};

void on_signal(int signal) {
    const int saved = errno;
    pending[static_cast<std::size_t>(signal)] = 1;
    [[maybe_unused]] const auto written = ::write(pipe_end, "", 1);
    errno = saved;
}

} // namespace

ScopedSignalBlock::ScopedSignalBlock(std::initializer_list<int> signals) {
    sigset_t held{};
    ::sigemptyset(&held);
    for (const int signal : signals) {
        ::sigaddset(&held, signal);
    }
    ::sigprocmask(SIG_BLOCK, &held, &before_);
}

ScopedSignalBlock::~ScopedSignalBlock() { ::sigprocmask(SIG_SETMASK, &before_, nullptr); }

SignalHandler::SignalHandler(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> action)
    : loop_(loop), action_(std::move(action)) {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe2");
    read_ = Fd(ends[0]);
    pipe_end = ends[1];
    struct sigaction handling {};
    handling.sa_handler = on_signal;
    handling.sa_flags = SA_RESTART;
    for (const int signal : signals) {
        ::sigaction(signal, &handling, nullptr);
    }
    handling.sa_handler = SIG_IGN; // a write to a connection that is gone is an error, not the end
    ::sigaction(SIGPIPE, &handling, nullptr);
    loop_.watch(read_.get(), POLLIN, *this);
}

SignalHandler::~SignalHandler() { loop_.unwatch(read_.get()); }

void SignalHandler::on_ready(short) {
    std::array<char, 512> woken{};
    while (::read(read_.get(), woken.data(), woken.size()) > 0) {
    }
    for (std::size_t signal = 0; signal < pending.size(); ++signal) {
        if (pending[signal] == 0) continue;
        pending[signal] = 0; // first: one that comes now is told again
        action_(static_cast<int>(signal));
    }
}

} // namespace willowrill::net
