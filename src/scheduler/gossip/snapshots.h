// Snapshots of the counts in the operators' `state_dir`. Packing happens on the loop, writing and syncing on
// one thread of its own: a disk that hangs must hold up no message.
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

class Snapshots {
  public:
    Snapshots(const std::string& folder, const std::string& instance);
    ~Snapshots(); // writes what it was given last

    // What a former run left; `note` has a sentence where there is something for the operators to know.
    std::optional<Snapshot> load(std::string& note);
    // False: the last one is not written yet, and this one is not taken.
    bool save(const Snapshot& snapshot);
    // Whether any has failed since this was last asked, and why.
    std::optional<std::string> failure();
    std::uint64_t written() const;

  private:
    void run();

    atomic_file::Disk disk_;
    atomic_file::Store store_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::optional<Bytes> next_;
    std::optional<std::string> failure_;
    std::uint64_t written_ = 0;
    bool busy_ = false, over_ = false;
    std::thread writer_; // last: it uses all of the above
};

} // namespace willowrill::gossip
