// What operators, schedulers and clients saw, and what must hold of it. Knows only the promises; no member's
// own word counts.
#pragma once

#include "system/configuration/control_state.h"
#include "system/replication/types.h"
#include "system/simulation/event_queue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace willowrill::simulation {

using configuration::Version;

// A change of the configuration that an operator asked for, and what it was told.
struct ChangeOrder {
    Version based_on = 0;
    Version version = 0;
    std::string body;
    bool patch = false; // alters the configuration it is based on
    bool valid = true;
    bool acknowledged = false;
    bool refused = false;
    std::set<std::string> results; // what the configuration may become by it
};

struct Outcome {
    std::vector<std::string> violations; // empty: every promise was kept
    std::size_t acknowledged = 0;        // changes of the configuration
    std::size_t refused = 0;
    std::size_t reads = 0;
    bool upgraded = false;       // an operator was told that the upgrade is finished
    std::size_t evacuations = 0; // acknowledged, and their ends
    std::size_t pushes = 0;      // states that schedulers took in
    std::size_t faults = 0;
    std::size_t epochs = 0;        // that came into force
    std::size_t states = 0;        // distinct ones that were committed
    std::size_t deltas = 0;        // states that went to another member as a delta
    std::size_t missing_bases = 0; // deltas that could not be applied
    Time back_after{0};            // from the end of the last fault to the next acknowledgement
};

class History {
  public:
    explicit History(const EventQueue& queue) : queue_(queue) {}

    void violation(const std::string& what);

    // Operators.
    void sent(ChangeOrder& order);
    void acknowledged(ChangeOrder& order);
    void refused(ChangeOrder& order, bool called_invalid);
    void read(const std::string& text, Version at_least);
    // An operator of its own for each zone: no two meet.
    void evacuation_sent(const std::string& zone, bool evacuated);
    void evacuation_acknowledged(const std::string& zone, bool evacuated);
    // From now on no state without the new cluster version is committed.
    void upgrade_acknowledged();

    // Core members and schedulers.
    void committed(const replication::Position& position, const std::string& content);
    void epoch_in_force(replication::Epoch epoch) { epochs_.insert(epoch); }
    // What a scheduler has in force now, put together of changes or whole, is what operators sent.
    void pushed(const std::string& scheduler, const configuration::Configuration& configuration);
    // What a scheduler has in force while everything is calm; "" for one that knows nothing.
    void active_configuration(const std::string& scheduler, Version version,
                              const std::set<std::string>& evacuated);

    Version newest_acknowledged() const { return newest_acknowledged_; }
    Version newest_seen() const { return newest_seen_; }
    std::size_t reads() const { return outcome_.reads; }
    std::optional<Time> first_acknowledgement_after(Time since) const;
    Outcome& outcome() { return outcome_; }
    Outcome close();

  private:
    struct Evacuation {
        bool acknowledged_as = false; // what was acknowledged last
        std::optional<Time> acknowledged_at;
        bool unclear = false; // sent since, and not acknowledged
    };
    const EventQueue& queue_;
    Outcome outcome_;
    Version newest_seen_ = 0, newest_acknowledged_ = 0;
    std::map<Version, std::set<std::string>> sent_;
    std::map<Version, std::string> acknowledged_on_; // the order's body, by the version below
    std::map<Version, std::set<std::string>> acknowledged_results_;
    std::map<Version, Time> acknowledged_at_; // by version
    std::set<std::string> refused_, invalid_;
    std::map<std::string, Evacuation> evacuations_;
    std::map<replication::Position, std::string> committed_;
    std::set<replication::Epoch> epochs_;
    std::map<replication::Position, protocol::Version> cluster_versions_; // of committed states
};

} // namespace willowrill::simulation
