// A core member's durable state in two rings of records: the witness register, and the replicated state. One
// thread; every call waits for the disk.
#pragma once

#include "system/errors/error.h"
#include "system/replication/replica.h"
#include "system/storage/record_ring.h"

#include <filesystem>
#include <memory>

namespace willowrill::control {

class ReplicaStore {
  public:
    static errors::Result<std::unique_ptr<ReplicaStore>> open(const std::filesystem::path& folder);

    replication::Loaded load() const;
    // True once the record will survive a loss of power; otherwise its fate is unknown, and all are refused
    // up to the next one that restores.
    bool save(const replication::Save& request);

  private:
    ReplicaStore(storage::RecordRing registers, storage::RecordRing states)
        : registers_(std::move(registers)), states_(std::move(states)) {}

    storage::RecordRing registers_;
    storage::RecordRing states_;
    bool failed_ = false; // and not restored yet
};

} // namespace willowrill::control
