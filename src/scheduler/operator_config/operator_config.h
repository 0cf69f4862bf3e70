// The operators' file (YAML): settings of an installation beyond those that the platform provides (`config`).
// The file is accepted as a whole or rejected as a whole. Every feature in it is off unless its key is
// present.
#pragma once

#include "scheduler/net/socket.h"
#include "scheduler/operator_config/address_set.h"
#include "scheduler/operator_config/problem.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace willowrill::operator_config {

using Duration = std::chrono::nanoseconds;
using Secret = std::array<unsigned char, 32>;

enum class LogFormat { text, json };

struct LogSettings {
    LogFormat format = LogFormat::text;
    std::string level; // a level name of spdlog; if empty, the environment decides
};

// A key that seals datagrams. It is read from a file of its own that only its owner may access.
struct SealingKey {
    std::uint64_t id = 0; // 1 to 2^32 - 1
    std::string file;
    Secret secret{};
};

// The gossip mesh between the instances.
struct MeshSettings {
    net::Endpoint listen{};
    net::Endpoint advertise{}; // the address that peers send to; defaults to `listen`
    std::vector<net::Endpoint> seeds;
    AddressSet networks;          // datagrams from other sources are dropped
    std::vector<SealingKey> keys; // one or two; the first one seals outgoing datagrams
    std::uint64_t bytes_per_second = 0;
    Duration probe_period{0}, probe_timeout{0};
    std::uint64_t indirect_probes = 0; // members asked to probe if a direct probe fails
    // A suspicion lasts this many probe periods times log10 of the fleet's size.
    std::uint64_t suspicion_multiplier = 0;
    Duration forget_after{0}; // how long a dead member is remembered
    Duration max_age{0};      // datagrams older than this, by both clocks, are dropped
    std::uint64_t max_members = 0;
};

// The counts that the instances exchange over the mesh. A life is one run of an instance (see `counts`).
struct CountsSettings {
    Duration interval{0};              // between two exchanges
    std::uint64_t rate = 0, burst = 0; // this instance's declared maximum of jobs, per second and at once
    Duration max_skew{0};              // the largest difference allowed between two clocks of the fleet
    Duration fold_after{0};            // a life that has not been heard of for this long has ended
    Duration snapshot_every{0};
    std::uint64_t max_tenants = 0, max_lives = 0;
};

struct OperatorConfig {
    std::string file;
    std::string instance; // if empty, the platform's name for this scheduler is used
    std::string state_dir;
    LogSettings log;
    std::optional<MeshSettings> mesh;
    std::optional<CountsSettings> counts; // requires `mesh`
};

// Carries every problem of a file. `what()` is one line that describes the first problem.
class OperatorConfigError : public std::runtime_error {
  public:
    explicit OperatorConfigError(std::vector<Problem> problems);
    const std::vector<Problem>& problems() const { return problems_; }

  private:
    std::vector<Problem> problems_;
};

// Reads and validates an operators' file. Throws OperatorConfigError.
OperatorConfig read(const std::string& file);
// Validates the text of an operators' file; `file` is used in messages only. Reads the key files that the
// text names. Throws OperatorConfigError.
OperatorConfig parse(const std::string& file, const std::string& text);

// Returns the keys whose changes take effect only after a restart. All other changes can be applied while
// running.
std::vector<std::string> keys_requiring_restart(const OperatorConfig& before, const OperatorConfig& now);

} // namespace willowrill::operator_config
