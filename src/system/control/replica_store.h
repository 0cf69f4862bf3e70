// A core member's durable state in two record rings: the witness register, and the replicated state. Not for
// use by several threads at once; every call blocks until the disk has answered.
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
    // True once the record survives a loss of power. Otherwise it may or may not be stored, and every later
    // save fails too, until one that restores (`replication::Save::is_restoration`) succeeds.
    bool save(const replication::Save& request);

  private:
    ReplicaStore(storage::RecordRing registers, storage::RecordRing states)
        : registers_(std::move(registers)), states_(std::move(states)) {}

    // Both rings are written in the format that the newest known state needs: a program that cannot read the
    // state is not to vote with the register either.
    storage::RecordFormat format_of(const replication::DiskRecord& record) const;

    storage::RecordRing registers_;
    storage::RecordRing states_;
    bool failed_ = false; // and not restored yet
};

} // namespace willowrill::control
