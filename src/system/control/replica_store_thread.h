// Runs a core member's saves on a dedicated thread, so that a slow or stalled disk does not block the event
// loop. All methods are called on the event loop's thread. Results are delivered on it as events, in the
// order of the saves.
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

    // Opens and reads the folder, retrying until it succeeds. With an empty path nothing is durable, which is
    // meant for deployments without disks only.
    ReplicaStoreThread(asio::io_context& loop, std::filesystem::path folder, OnEvent on_event);
    // Does not wait for a disk operation in progress.
    ~ReplicaStoreThread();
    ReplicaStoreThread(const ReplicaStoreThread&) = delete;
    ReplicaStoreThread& operator=(const ReplicaStoreThread&) = delete;

    void save(replication::Save request);

  private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace willowrill::control
