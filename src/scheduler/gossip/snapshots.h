// Snapshots of the counts in the configured `state_dir`. The event loop encodes them; a separate thread
// writes and syncs them, so that a slow disk does not delay messages.
#pragma once

#include "scheduler/atomic_file/store.h"
#include "scheduler/gossip/frame.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace willowrill::gossip {

inline constexpr std::uint32_t snapshot_format = 1;

// To be used by one thread, that of the event loop.
class SnapshotStore {
  public:
    SnapshotStore(const std::string& directory, const std::string& instance);
    ~SnapshotStore(); // waits until the last accepted snapshot is written

    // Returns the snapshot of an earlier run, if there is a valid one. Sets `warning` to a message for the
    // operator if the file is unusable.
    std::optional<Snapshot> load(std::string& warning);
    // Queues a snapshot for writing. Returns false, and drops it, if the previous one is not written yet.
    bool save(const Snapshot& snapshot);
    // Returns and clears the error message of the last failed write.
    std::optional<std::string> take_failure();
    std::uint64_t written() const;

  private:
    void write_loop();

    atomic_file::FileSystem disk_;
    atomic_file::AtomicFile store_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<Bytes> pending_;
    std::optional<std::string> failure_;
    std::uint64_t written_ = 0;
    bool writing_ = false, stopping_ = false;
    std::thread writer_thread_; // declared last, as it uses the other members
};

} // namespace willowrill::gossip
