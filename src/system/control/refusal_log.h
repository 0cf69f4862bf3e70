// Keeps the log readable while a peer that cannot be spoken with dials again and again: each peer is reported
// once in a while. Pure; one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace willowrill::control {

class RefusalLog {
  public:
    using Time = std::chrono::milliseconds; // steady

    // Whether a refusal of this peer is to be reported now.
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
