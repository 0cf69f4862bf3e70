// Which signals a process holds back. For one thread, before there is a second one.
#pragma once

#include <csignal>

namespace willowrill::transport {

// The signals that `ProcessSignals` handles.
inline sigset_t process_signal_set() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

// They stay pending until they are unblocked.
inline void block_process_signals() {
    const sigset_t signals = process_signal_set();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

inline void unblock_process_signals() {
    const sigset_t signals = process_signal_set();
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace willowrill::transport
