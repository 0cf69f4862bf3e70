// A core member's durable state in two record rings: the witness register and the replicated state. Not
// thread-safe; every call blocks until the disk operation has completed.
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
    // Returns true once the record is durable across a power failure. After a failure the record may or may
    // not be stored, and all further saves fail until one with `replication::Save::is_restoration` succeeds.
    bool save(const replication::Save& request);

  private:
    ReplicaStore(storage::RecordRing registers, storage::RecordRing states)
        : registers_(std::move(registers)), states_(std::move(states)) {}

    // Returns the format required by the newest known state. Both rings use it, because a program that cannot
    // read the state must not vote with the register either.
    storage::RecordFormat format_of(const replication::DiskRecord& record) const;

    storage::RecordRing registers_;
    storage::RecordRing states_;
    bool failed_ = false; // a save failed, and no save with `is_restoration` has succeeded since
};

} // namespace willowrill::control
