#include "control/disk.h"

#include "replication/codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace willowrill::control {
namespace {

constexpr std::size_t slots = 4;
constexpr std::size_t register_bytes = 8192;
constexpr std::size_t state_bytes = 512U << 10U;

template <class Decode>
auto newest(const std::optional<storage::RecordRing>& ring, Decode decode)
    -> std::optional<decltype(decode(std::string()))> {
    if (!ring || !ring->newest()) return std::nullopt;
    try {
        return decode(*ring->newest());
    } catch (const nlohmann::json::exception& error) {
        fmt::print(stderr, "level=error event=record-unreadable detail=\"{}\"\n", error.what());
        return std::nullopt;
    }
}

void report(const char* name, const storage::RecordRing& ring) {
    using storage::SlotContent;
    for (const SlotContent content : ring.found()) {
        if (content == SlotContent::torn)
            fmt::print(stderr, "level=warning event=record-torn ring={}\n", name);
        if (content == SlotContent::foreign || content == SlotContent::newer)
            fmt::print(stderr, "level=error event=record-not-ours ring={} newer={}\n", name,
                       content == SlotContent::newer);
    }
}

} // namespace

errors::Result<std::unique_ptr<Disk>> Disk::open(const std::filesystem::path& folder) {
    auto disk = std::make_unique<Disk>();
    if (folder.empty()) return disk;
    auto registers = storage::RecordRing::open(folder, "register", slots, register_bytes);
    if (!registers) return registers.error();
    auto states = storage::RecordRing::open(folder, "state", slots, state_bytes);
    if (!states) return states.error();
    report("register", registers.value());
    report("state", states.value());
    disk->registers_.emplace(std::move(registers.value()));
    disk->states_.emplace(std::move(states.value()));
    return disk;
}

std::optional<replication::WitnessRegister> Disk::load_register() {
    return newest(registers_, replication::decode_register);
}

std::optional<replication::ReplicatedState> Disk::load_state() {
    return newest(states_, replication::decode_state);
}

bool Disk::save(const replication::WitnessRegister& value) {
    return !registers_ || registers_->write(replication::encode_register(value));
}

bool Disk::save(const replication::ReplicatedState& value) {
    return !states_ || states_->write(replication::encode_state(value));
}

} // namespace willowrill::control
