// One instance among the others: membership and counts put together, and when who is told what. Pure, like
// both of them: `mesh` gives it sockets and a key, the laboratory a network in virtual time.
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
    Time exchange_interval{0};         // between two exchanges that this instance begins
    std::uint64_t rate = 0, burst = 0; // declared
    std::uint64_t bytes_per_second = 0;
    std::size_t max_frame_bytes = 0; // bytes that a frame may have, encoded
};

struct OutgoingFrame {
    swim::Address to;
    Frame frame;
};

struct NodeStatistics {
    std::uint64_t exchanges = 0, answered = 0; // begun here; digests answered
    std::uint64_t frames_held_back = 0;        // of counts, for want of bytes a second
};

class Node {
  public:
    Node(NodeSettings settings, const std::string& instance, std::uint64_t number, swim::Address address,
         std::uint64_t seed, Time now);

    void start(Time now);
    void tick(Time now);
    Time next_tick() const; // when `tick` is due
    void receive(Time now, swim::Address from, const Frame& frame);
    void leave(Time now); // the last words: all counts as they stand now, and that this life is over

    // What the calls above want sent, and what they saw change, since these were last asked for.
    std::vector<OutgoingFrame> take_sends();
    std::vector<swim::StateChange> take_changes();

    void update_settings(NodeSettings settings); // what a reload may change; the limits of the book stay
    counts::CountStore& count_store() { return book_; }
    const counts::CountStore& count_store() const { return book_; }
    const swim::Swim& members() const { return swim_; }
    const NodeStatistics& statistics() const { return statistics_; }

  private:
    void collect(swim::Actions& actions, Time now);
    void exchange(Time now);
    void say(swim::Address to, Body body, Time now);
    bool afford(Time now, std::size_t bytes);
    void new_life_if_rivalled(Time now);

    NodeSettings settings_;
    swim::Swim swim_;
    counts::CountStore book_;
    pcg32 random_;
    Time next_exchange_{0}, next_fold_{0}, filled_{0};
    double budget_ = 0; // bytes
    std::uint64_t count_ = 0;
    std::vector<OutgoingFrame> sends_;
    std::vector<swim::StateChange> changes_;
    NodeStatistics statistics_;
};

} // namespace willowrill::gossip
