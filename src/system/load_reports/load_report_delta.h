// Load readings between schedulers as changes: a reading is told when it differs enough from the one told
// last to change a choice; for all others a single time says how fresh they still are. Pure.
#pragma once

#include "system/routing/selector.h"
#include "system/routing/worker.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace willowrill::load_reports {

// Whether schedulers that go by `told` might choose otherwise if they knew `fresh`. `capacity`: of the
// worker.
bool differs_materially(const routing::LoadReport& told, const routing::LoadReport& fresh,
                        std::size_t capacity);

// What the subscribers to a service were told, all the same.
class LoadReportPublisher {
  public:
    // The next message, and remembers it as told. `workers`: those that the subscribers hear of from here.
    nlohmann::json change(routing::Time now, const std::string& service,
                          const std::map<std::string, const routing::Worker*>& workers);
    // All that was told so far, for one that begins to listen.
    nlohmann::json whole(routing::Time now, const std::string& service) const;

  private:
    std::map<std::string, routing::LoadReport> told_; // by instance id, of listed workers alone
};

// Takes what one teller has told into the workers known here.
class LoadReportSubscriber {
  public:
    // Workers that are not known here yet have their readings kept for when they are. Throws
    // nlohmann::json::exception on a message of the wrong shape.
    void take(routing::Time now, const nlohmann::json& message, routing::Workers& workers);

  private:
    std::map<std::string, routing::LoadReport> told_; // by instance id, at most `most_workers_told`
};

inline constexpr std::size_t most_workers_told = 65536;

} // namespace willowrill::load_reports
