// Rate-limits the log messages about refused connections, so that an incompatible peer that reconnects
// repeatedly does not flood the log. Not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace willowrill::control {

class RefusalLog {
  public:
    using Time = std::chrono::milliseconds; // steady clock

    // Returns whether a refusal of this peer should be logged now: at most once per `report_period`. Forgets
    // all peers when `max_peers` are known.
    bool is_due(Time now, const std::string& peer) {
        if (reported_at_.size() >= max_peers) reported_at_.clear();
        const auto [entry, is_new] = reported_at_.try_emplace(peer, now);
        if (!is_new && now - entry->second < report_period) return false;
        entry->second = now;
        return true;
    }

    static constexpr Time report_period{10000};
    static constexpr std::size_t max_peers = 256;

  private:
    std::map<std::string, Time> reported_at_;
};

} // namespace willowrill::control
