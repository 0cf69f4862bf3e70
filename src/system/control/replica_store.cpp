#include "system/control/replica_store.h"

#include "system/compression/compression.h"
#include "system/configuration/control_state.h"
#include "system/logging/log.h"
#include "system/replication/codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace willowrill::control {
namespace {

constexpr std::size_t slots_per_ring = 3;
constexpr std::size_t register_capacity_bytes = 16U << 10U;
// Room for the position's line and for the evacuated zones in addition to the largest configuration.
constexpr std::size_t overhead_bytes = 4096;
constexpr std::size_t state_capacity_bytes = configuration::max_record_bytes + overhead_bytes;
constexpr std::size_t max_decompressed_bytes = configuration::max_state_bytes + overhead_bytes;

template <class Decode>
auto decode_newest(const storage::RecordRing& ring, Decode decode)
    -> std::optional<decltype(decode(std::string()))> {
    if (!ring.newest()) return std::nullopt;
    try {
        return decode(*ring.newest());
    } catch (const std::exception& error) {
        logging::error("record-unreadable").text("detail", error.what());
        return std::nullopt;
    }
}

void log_unusable_slots(const char* name, const storage::RecordRing& ring) {
    using storage::SlotContent;
    for (const SlotContent content : ring.slot_contents()) {
        if (content == SlotContent::torn) logging::warning("record-torn").field("ring", name);
        if (content == SlotContent::foreign || content == SlotContent::newer)
            logging::error("record-not-ours")
                .field("ring", name)
                .field("newer", content == SlotContent::newer);
    }
}

} // namespace

errors::Result<std::unique_ptr<ReplicaStore>> ReplicaStore::open(const std::filesystem::path& folder) {
    if (!storage::create_folder(folder))
        return errors::Error{errors::ErrorKind::storage_failed,
                             fmt::format("cannot create {}: {}", folder.string(), std::strerror(errno))};
    auto registers = storage::RecordRing::open(folder, "register", slots_per_ring, register_capacity_bytes);
    if (!registers) return registers.error();
    auto states = storage::RecordRing::open(folder, "state", slots_per_ring, state_capacity_bytes);
    if (!states) return states.error();
    log_unusable_slots("register", registers.value());
    log_unusable_slots("state", states.value());
    return std::unique_ptr<ReplicaStore>(
        new ReplicaStore(std::move(registers.value()), std::move(states.value())));
}

replication::Loaded ReplicaStore::load() const {
    const auto decode_compressed_state = [](const std::string& record) {
        const auto text = compression::decompress(record, max_decompressed_bytes);
        if (!text) throw std::runtime_error("a compressed state record is corrupt");
        return replication::decode_state(*text);
    };
    return {decode_newest(registers_, replication::decode_register),
            decode_newest(states_, decode_compressed_state)};
}

storage::RecordFormat ReplicaStore::format_of(const replication::DiskRecord& record) const {
    const storage::RecordFormat current_format = std::max(registers_.format(), states_.format());
    const auto* state = std::get_if<replication::ReplicatedState>(&record);
    if (state == nullptr) return current_format;
    const bool needs_newer_format =
        configuration::cluster_version_of(*state->content) > protocol::initial_cluster_version;
    return needs_newer_format ? storage::RecordFormat::cluster_version : current_format;
}

bool ReplicaStore::save(const replication::Save& request) {
    if (failed_ && !request.is_restoration) return false;
    const storage::RecordFormat format = format_of(request.record);
    const auto* witness_register = std::get_if<replication::WitnessRegister>(&request.record);
    failed_ = witness_register != nullptr
                  ? !registers_.write(replication::encode_register(*witness_register), format)
                  : !states_.write(compression::compress(replication::encode_state(
                                       std::get<replication::ReplicatedState>(request.record))),
                                   format);
    return !failed_;
}

} // namespace willowrill::control
