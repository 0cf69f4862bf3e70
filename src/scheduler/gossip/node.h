// Combines the membership and the counts of one instance, and schedules their messages. The class does no I/O
// and reads no clock: `Mesh` connects it to a socket, the laboratory to a simulated network.
#pragma once

#include "scheduler/counts/book.h"
#include "scheduler/gossip/frame.h"
#include "scheduler/swim/members.h"

#include <optional>
#include <string>
#include <vector>

namespace willowrill::gossip {

struct NodeSettings {
    swim::Settings members;
    bool counts_enabled = false;
    counts::Limits limits;
    Time exchange_interval{0};          // between two exchanges that this instance starts
    std::uint64_t rate = 0, burst = 0;  // declared rate limit, see `counts::Identity`
    std::uint64_t bytes_per_second = 0; // limit of the count messages sent
    std::size_t max_frame_bytes = 0;    // upper bound of an encoded frame
};

struct OutgoingFrame {
    swim::Address to;
    Frame frame;
};

struct NodeStatistics {
    std::uint64_t exchanges_started = 0, digests_answered = 0;
    std::uint64_t frames_held_back = 0; // count messages not sent because of `bytes_per_second`
};

// Not thread-safe. Calls queue frames and membership changes, which the caller collects by `take_sends` and
// `take_changes`.
class Node {
  public:
    Node(NodeSettings settings, const std::string& instance, std::uint64_t number, swim::Address address,
         std::uint64_t seed, Time now);

    void start(Time now);
    void tick(Time now);
    Time next_tick() const; // when `tick` must be called next
    void receive(Time now, swim::Address from, const Frame& frame);
    // Sends the final counts to some members and announces that this instance leaves.
    void leave(Time now);

    // Return and clear the frames to send and the membership changes since the last call.
    std::vector<OutgoingFrame> take_sends();
    std::vector<swim::StateChange> take_changes();

    // Applies reloaded settings. The limits of the count store do not change.
    void update_settings(NodeSettings settings);
    counts::CountStore& count_store() { return count_store_; }
    const counts::CountStore& count_store() const { return count_store_; }
    const swim::Swim& members() const { return swim_; }
    const NodeStatistics& statistics() const { return statistics_; }

  private:
    void queue_actions(swim::Actions& actions, Time now);
    void start_exchange(Time now);
    void queue_frame(swim::Address to, Body body, Time now);
    bool consume_budget(Time now, std::size_t bytes);
    void begin_new_life_if_needed(Time now);

    NodeSettings settings_;
    swim::Swim swim_;
    counts::CountStore count_store_;
    pcg32 random_;
    Time next_exchange_{0}, next_fold_{0}, budget_updated_at_{0};
    double byte_budget_ = 0;
    std::uint64_t last_sequence_number_ = 0;
    std::vector<OutgoingFrame> sends_;
    std::vector<swim::StateChange> changes_;
    NodeStatistics statistics_;
};

} // namespace willowrill::gossip
