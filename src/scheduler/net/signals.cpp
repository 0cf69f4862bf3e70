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

// State that the handler accesses; it exists for the life of the process. The pipe only wakes the loop and
// does not carry the signal numbers: a flood of one signal would fill it, and the next SIGTERM would be lost.
int wakeup_write_fd = -1;
std::array<volatile std::sig_atomic_t, NSIG> pending{};

void on_signal(int signal) {
    const int saved_errno = errno;
    pending[static_cast<std::size_t>(signal)] = 1;
    [[maybe_unused]] const auto written = ::write(wakeup_write_fd, "", 1);
    errno = saved_errno;
}

} // namespace

ScopedSignalBlock::ScopedSignalBlock(std::initializer_list<int> signals) {
    sigset_t blocked{};
    ::sigemptyset(&blocked);
    for (const int signal : signals) {
        ::sigaddset(&blocked, signal);
    }
    ::sigprocmask(SIG_BLOCK, &blocked, &previous_mask_);
}

ScopedSignalBlock::~ScopedSignalBlock() { ::sigprocmask(SIG_SETMASK, &previous_mask_, nullptr); }

SignalHandler::SignalHandler(Loop& loop, std::initializer_list<int> signals,
                             std::function<void(int)> callback)
    : loop_(loop), callback_(std::move(callback)) {
    std::array<int, 2> pipe_fds{};
    if (::pipe2(pipe_fds.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        throw std::system_error(errno, std::generic_category(), "pipe2");
    wakeup_read_fd_ = Fd(pipe_fds[0]);
    wakeup_write_fd = pipe_fds[1];
    struct sigaction disposition {};
    disposition.sa_handler = on_signal;
    disposition.sa_flags = SA_RESTART;
    for (const int signal : signals) {
        ::sigaction(signal, &disposition, nullptr);
    }
    disposition.sa_handler = SIG_IGN; // writing to a closed connection returns an error instead
    ::sigaction(SIGPIPE, &disposition, nullptr);
    loop_.watch(wakeup_read_fd_.get(), POLLIN, *this);
}

SignalHandler::~SignalHandler() { loop_.unwatch(wakeup_read_fd_.get()); }

void SignalHandler::on_ready(short) {
    std::array<char, 512> discarded{};
    while (::read(wakeup_read_fd_.get(), discarded.data(), discarded.size()) > 0) {
    }
    for (std::size_t signal = 0; signal < pending.size(); ++signal) {
        if (pending[signal] == 0) continue;
        pending[signal] = 0; // before the callback: a signal that arrives meanwhile is reported again
        callback_(static_cast<int>(signal));
    }
}

} // namespace willowrill::net
