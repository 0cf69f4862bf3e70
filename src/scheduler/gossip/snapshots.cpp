#include "scheduler/gossip/snapshots.h"

#include <csignal>
#include <utility>

namespace willowrill::gossip {

Snapshots::Snapshots(const std::string& folder, const std::string& instance)
    : store_(folder, "counts-" + instance + ".state", snapshot_format, disk_) {
    // Signals are the loop's: none may be delivered to this thread.
    sigset_t all, before;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, &before);
    writer_ = std::thread([this] { run(); });
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Snapshots::~Snapshots() {
    {
        const std::lock_guard lock(mutex_);
        over_ = true;
    }
    wake_.notify_one();
    writer_.join();
}

std::optional<Snapshot> Snapshots::load(std::string& note) {
    atomic_file::Store::Loaded loaded = store_.load();
    note = std::move(loaded.note);
    if (loaded.found != atomic_file::Found::whole) return std::nullopt;
    auto out = decode_snapshot(loaded.content);
    if (!out) note = store_.path() + " has a good checksum and no snapshot in it; going on without";
    return out;
}

bool Snapshots::save(const Snapshot& snapshot) {
    {
        const std::lock_guard lock(mutex_);
        if (busy_ || next_) return false;
    }
    Bytes bytes = encode(snapshot);
    {
        const std::lock_guard lock(mutex_);
        next_ = std::move(bytes);
    }
    wake_.notify_one();
    return true;
}

std::optional<std::string> Snapshots::failure() {
    const std::lock_guard lock(mutex_);
    return std::exchange(failure_, std::nullopt);
}

std::uint64_t Snapshots::written() const {
    const std::lock_guard lock(mutex_);
    return written_;
}

void Snapshots::run() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [this] { return next_ || over_; });
        if (!next_) return;
        const Bytes bytes = std::move(*std::exchange(next_, std::nullopt));
        busy_ = true;
        lock.unlock();
        auto failed = store_.save(bytes);
        lock.lock();
        busy_ = false;
        if (failed) {
            failure_ = std::move(failed);
        } else {
            ++written_;
        }
    }
}

} // namespace willowrill::gossip
