// The operators' file: what an installation adds to what the platform tells (`config`). YAML, read whole or
// not at all. Everything in it is off until it is named.
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
    std::string level; // spdlog's words; empty: as the environment says
};

// A key that seals datagrams. It stands in a file of its own that no other user may read.
struct SealingKey {
    std::uint64_t id = 0; // 1 to 2^32 - 1
    std::string file;
    Secret secret{};
};

struct MeshSettings {
    net::Endpoint listen{};
    net::Endpoint advertise{}; // what peers are told to send to; `listen` where the file has none
    std::vector<net::Endpoint> seeds;
    AddressSet networks;          // datagrams from elsewhere are dropped
    std::vector<SealingKey> keys; // one or two, the one to seal with first
    std::uint64_t bytes_per_second = 0;
    Duration probe_period{0}, probe_timeout{0};
    std::uint64_t indirect_probes = 0;      // members asked to probe where a direct probe fails
    std::uint64_t suspicion_multiplier = 0; // periods, times the logarithm of the fleet's size
    Duration forget_after{0};               // a dead member is known that long
    Duration max_age{0};                    // a datagram sent longer ago, by the two clocks, is dropped
    std::uint64_t max_members = 0;
};

struct CountsSettings {
    Duration interval{0};              // between two exchanges
    std::uint64_t rate = 0, burst = 0; // jobs a second, and at once, that this instance declares as its most
    Duration max_skew{0};              // by which two clocks of the fleet may differ at most
    Duration fold_after{0};            // a life not heard of for that long has ended
    Duration snapshot_every{0};
    std::uint64_t max_tenants = 0, max_lives = 0;
};

struct OperatorConfig {
    std::string file;
    std::string instance; // empty: the platform's name for this scheduler
    std::string state_dir;
    LogSettings log;
    std::optional<MeshSettings> mesh;
    std::optional<CountsSettings> counts; // only with a mesh
};

// All that is wrong with a file; `what()` is the first problem, in one line.
class OperatorConfigError : public std::runtime_error {
  public:
    explicit OperatorConfigError(std::vector<Problem> problems);
    const std::vector<Problem>& problems() const { return problems_; }

  private:
    std::vector<Problem> problems_;
};

OperatorConfig read(const std::string& file); // throws OperatorConfigError
// The same from a text; `file` is for the messages. Key files are read all the same.
OperatorConfig parse(const std::string& file, const std::string& text);

// What takes effect only at a restart, by the keys' names; the rest of `now` may be taken over in service.
std::vector<std::string> keys_requiring_restart(const OperatorConfig& before, const OperatorConfig& now);

} // namespace willowrill::operator_config
