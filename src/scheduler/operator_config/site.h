// The operators' file: what an installation adds to what the platform tells (`config`). YAML, read whole or
// not at all. Everything in it is off until it is named.
#pragma once

#include "scheduler/net/socket.h"
#include "scheduler/operator_config/addresses.h"
#include "scheduler/operator_config/error.h"

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

using Span = std::chrono::nanoseconds;
using Secret = std::array<unsigned char, 32>;

enum class LogFormat { text, json };

struct Log {
    LogFormat format = LogFormat::text;
    std::string level; // spdlog's words; empty: as the environment says
};

// A key that seals datagrams. It stands in a file of its own that no other user may read.
struct Key {
    std::uint64_t id = 0; // 1 to 2^32 - 1
    std::string file;
    Secret secret{};
};

struct Mesh {
    net::Endpoint listen{};
    net::Endpoint advertise{}; // what peers are told to send to; `listen` where the file has none
    std::vector<net::Endpoint> seeds;
    AddressSet networks;   // datagrams from elsewhere are dropped
    std::vector<Key> keys; // one or two, the one to seal with first
    std::uint64_t bytes_per_second = 0;
    Span probe_period{0}, probe_timeout{0};
    std::uint64_t indirect = 0;  // members asked to probe where a direct probe fails
    std::uint64_t suspicion = 0; // periods, times the logarithm of the fleet's size
    Span forget_after{0};        // a dead member is known that long
    Span max_age{0};             // a datagram sent longer ago, by the two clocks, is dropped
    std::uint64_t max_members = 0;
};

struct Counts {
    Span interval{0};                  // between two exchanges
    std::uint64_t rate = 0, burst = 0; // jobs a second, and at once, that this instance declares as its most
    Span max_skew{0};                  // by which two clocks of the fleet may differ at most
    Span fold_after{0};                // a life not heard of for that long has ended
    Span snapshot_every{0};
    std::uint64_t max_tenants = 0, max_lives = 0;
};

struct Site {
    std::string file;
    std::string instance; // empty: the platform's name for this scheduler
    std::string state_dir;
    Log log;
    std::optional<Mesh> mesh;
    std::optional<Counts> counts; // only with a mesh
};

// All that is wrong with a file; `what()` is the first problem, in one line.
class SiteError : public std::runtime_error {
  public:
    explicit SiteError(std::vector<Problem> problems);
    const std::vector<Problem>& problems() const { return problems_; }

  private:
    std::vector<Problem> problems_;
};

Site read(const std::string& file); // throws SiteError
// The same from a text; `file` is for the messages. Key files are read all the same.
Site parse(const std::string& file, const std::string& text);

// What takes effect only at a restart, by the keys' names; the rest of `now` may be taken over in service.
std::vector<std::string> needs_restart(const Site& before, const Site& now);

} // namespace willowrill::operator_config
