// A core member's durable state in two rings of records: the witness register, and the replicated state.
#pragma once

#include "errors/error.h"
#include "replication/types.h"
#include "storage/record_ring.h"

#include <filesystem>
#include <memory>

namespace willowrill::control {

class Disk : public replication::Storage {
  public:
    // An empty path: nothing is durable, which only a deployment without disks should want.
    static errors::Result<std::unique_ptr<Disk>> open(const std::filesystem::path& folder);

    std::optional<replication::WitnessRegister> load_register() override;
    std::optional<replication::ReplicatedState> load_state() override;
    bool save(const replication::WitnessRegister& value) override;
    bool save(const replication::ReplicatedState& value) override;

  private:
    std::optional<storage::RecordRing> registers_;
    std::optional<storage::RecordRing> states_;
};

} // namespace willowrill::control
