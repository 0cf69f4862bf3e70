// The platform's endpoint lists at this core member. The primary assigns each zone to a member. That member
// polls the platform for the zone and publishes the list, and every member stores the newest list of each
// zone. Not thread-safe: used on the event loop's thread only.
#pragma once

#include "system/control/platform_poller.h"
#include "system/discovery/instances.h"
#include "system/messages/messages.h"
#include "system/ownership/ownership.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace willowrill::control {

class EndpointListService {
  public:
    struct Callbacks {
        std::function<void(const messages::EndpointListMessage&)> broadcast; // to all other core members
        std::function<void(const discovery::ZoneList&)> changed; // a zone's newest list has new content
    };
    // `input_memory`: what the platform sends is part of it.
    EndpointListService(asio::io_context& loop, const settings::Settings& settings,
                        std::shared_ptr<budget::ByteBudget> input_memory, metrics::Metrics& metrics,
                        Callbacks callbacks);

    void tick() { poller_.tick(Clock::now()); }
    // Called on the primary of `epoch`: assigns the zones to the live members and broadcasts the assignments.
    void assign(std::uint64_t epoch, const std::vector<std::string>& live_members);
    // Discards the assignments when this member is not the primary.
    void stop_assigning() { assigner_.reset(); }
    // Handles a message from another core member.
    void on_message(const messages::EndpointListMessage& message);
    // The newest list of every zone, for a member that has just connected.
    std::vector<messages::ZoneListUpdate> zone_list_updates() const;

  private:
    using Clock = std::chrono::steady_clock;
    struct PublishedZone {
        std::vector<discovery::Instance> instances;
        Clock::time_point published_at;
    };
    void on(const messages::RoleAssignments& roles);
    void on(const messages::ZoneListUpdate& update) { apply_list(update.list); }
    void on(const messages::ZoneListUnchanged& unchanged);
    void on_own_list(const discovery::ZoneList& list);
    void apply_list(const discovery::ZoneList& list);

    std::string self_;
    std::vector<std::string> zones_;
    Callbacks callbacks_;
    discovery::Catalogue catalogue_;
    std::map<std::string, PublishedZone> published_;
    PlatformPoller poller_;
    std::optional<ownership::RoleAssigner> assigner_;
    std::uint64_t assigner_epoch_ = 0;
    // By zone: when its full list was last broadcast to the core members.
    std::map<std::string, Clock::time_point> list_sent_at_;
};

} // namespace willowrill::control
