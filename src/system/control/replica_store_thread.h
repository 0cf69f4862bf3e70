// Runs a core member's saves on a thread of its own, so that a slow or stalled disk blocks nothing else. All
// calls on the loop's thread; results come as events on it, in the order of the saves.
#pragma once

#include "system/control/replica_store.h"
#include "system/transport/asio.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace willowrill::control {

class ReplicaStoreThread {
  public:
    using OnEvent = std::function<void(replication::Event)>; // Loaded once, then Saved and SaveFailed

    // Opens and reads the folder, again and again until the disk lets it. An empty path: nothing is durable,
    // which only a deployment without disks should want.
    ReplicaStoreThread(asio::io_context& loop, std::filesystem::path folder, OnEvent on_event);
    // Does not wait for the disk.
    ~ReplicaStoreThread();
    ReplicaStoreThread(const ReplicaStoreThread&) = delete;
    ReplicaStoreThread& operator=(const ReplicaStoreThread&) = delete;

    void save(replication::Save request);

  private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace willowrill::control
