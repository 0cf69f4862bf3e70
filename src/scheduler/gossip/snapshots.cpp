#include "scheduler/gossip/snapshots.h"

#include <csignal>
#include <utility>

namespace willowrill::gossip {

SnapshotStore::SnapshotStore(const std::string& directory, const std::string& instance)
    : store_(directory, "counts-" + instance + ".state", snapshot_format, disk_) {
    // The event loop handles signals, so they are blocked in the writer thread.
    sigset_t all_signals, previous_mask;
    ::sigfillset(&all_signals);
    ::pthread_sigmask(SIG_BLOCK, &all_signals, &previous_mask);
    writer_thread_ = std::thread([this] { write_loop(); });
    ::pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

SnapshotStore::~SnapshotStore() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    writer_thread_.join();
}

std::optional<Snapshot> SnapshotStore::load(std::string& warning) {
    atomic_file::AtomicFile::LoadResult loaded = store_.load();
    warning = std::move(loaded.message);
    if (loaded.status != atomic_file::LoadStatus::intact) return std::nullopt;
    auto snapshot = decode_snapshot(loaded.content);
    if (!snapshot)
        warning = store_.path() + " has a valid checksum but contains no snapshot; continuing without it";
    return snapshot;
}

bool SnapshotStore::save(const Snapshot& snapshot) {
    {
        const std::lock_guard lock(mutex_);
        if (writing_ || pending_) return false;
    }
    Bytes bytes = encode(snapshot);
    {
        const std::lock_guard lock(mutex_);
        pending_ = std::move(bytes);
    }
    wake_.notify_one();
    return true;
}

std::optional<std::string> SnapshotStore::take_failure() {
    const std::lock_guard lock(mutex_);
    return std::exchange(failure_, std::nullopt);
}

std::uint64_t SnapshotStore::written() const {
    const std::lock_guard lock(mutex_);
    return written_;
}

void SnapshotStore::write_loop() {
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [this] { return pending_ || stopping_; });
        if (!pending_) return;
        const Bytes bytes = std::move(*std::exchange(pending_, std::nullopt));
        writing_ = true;
        lock.unlock();
        auto failed = store_.save(bytes);
        lock.lock();
        writing_ = false;
        if (failed) {
            failure_ = std::move(failed);
        } else {
            ++written_;
        }
    }
}

} // namespace willowrill::gossip
