// This scheduler's session with the core: renews its lease at one core member, the nearest that is current,
// and takes in what that pushes. Goes to another where the member falls silent or behind. One thread.
#pragma once

#include "membership/lease_table.h"
#include "settings/settings.h"
#include "transport/frame_connection.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace willowrill::data {

inline constexpr std::size_t most_core_members = 64;

class CoreSession {
  public:
    using Clock = std::chrono::steady_clock;
    struct Callbacks {
        std::function<membership::Lease()> lease;               // as of now
        std::function<void(const nlohmann::json&)> on_push;     // state, members, zone
        std::function<std::vector<settings::Endpoint>()> seeds; // as the settings file names them now
    };
    CoreSession(asio::io_context& loop, std::uint16_t core_port, Callbacks callbacks);

    void start();
    // Renews at once: the lease has changed.
    void renew_now();
    bool connected() const { return connection_ != nullptr; }

  private:
    void tick();
    void dial_next();
    void on_connected(const transport::FrameConnectionPtr& connection, const std::string& host);
    void on_message(const nlohmann::json& message);
    void drop();
    std::vector<std::string> candidates() const;

    asio::io_context& loop_;
    std::uint16_t core_port_;
    Callbacks callbacks_;
    SteadyTimer timer_;
    std::set<std::string> known_; // hosts of core members, at most `most_core_members`
    std::string preferred_;       // the host of this machine, or of the member that answered first
    transport::FrameConnectionPtr connection_;
    std::string host_;
    bool dialling_ = false;
    std::size_t next_candidate_ = 0;
    Clock::time_point renewed_, answered_, current_;
    std::uint64_t renewal_ = 0;
};

} // namespace willowrill::data
