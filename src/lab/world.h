// A network in virtual time, and instances on it that run the very code of `gossip::Node`. Loss, delay,
// reorder, duplicates, cuts one way or both, clocks that are off, deaths and restarts; one seed replays a
// whole run. What is simulated: the network and the clocks. What is real: membership, counts, and the
// datagrams' form.
#pragma once

#include "scheduler/gossip/node.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace willowrill::lab {

using gossip::Time;

struct Link {
    double loss = 0, duplicate = 0;     // shares
    Time delay_least{0}, delay_most{0}; // drawn evenly: datagrams overtake one another
};

struct Traffic {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, undecodable = 0;
};

class World {
  public:
    struct Options {
        Link link;
        gossip::NodeSettings node;
        bool decode = true; // each datagram is decoded from its bytes, as a receiver would
        std::uint64_t seed = 1;
    };
    explicit World(Options options);

    // The first is everyone's seed. `name` empty: i0, i1, ...
    std::size_t add(std::string name = "", std::optional<std::uint16_t> port = {});
    void kill(std::size_t at); // at once, with a word to nobody
    // Starts one that was killed; with what it knew at `save`, if `with_state`.
    void restart(std::size_t at, bool with_state);
    void save(std::size_t at);
    void leave(std::size_t at); // in order; it answers on until `kill`
    void run_until(Time at);
    void run_for(Time span) { run_until(now_ + span); }
    // Runs until `done`, looked at every `step`, or `at_most` has passed; whether it was done.
    bool run_until_done(const std::function<bool()>& done, Time step, Time at_most);

    // A cut: what goes from a to b is lost, for as long as the test says so.
    void cut(std::size_t from, std::size_t to, bool is_cut);
    void cut_off(std::size_t one, bool is_cut); // from all others, both ways
    void set_clock(std::size_t at, Time ahead) { instances_[at].ahead = ahead; }
    void set_link(Link link) { options_.link = link; }

    void count(std::size_t at, std::uint32_t tenant, counts::Outcome outcome, std::uint64_t times = 1);
    // What was counted in all, by tenant; of lives that died, too.
    std::uint64_t truth(std::uint32_t tenant) const { return tenant < truth_.size() ? truth_[tenant] : 0; }
    std::uint64_t truth() const;
    static std::string tenant_name(std::uint32_t tenant) { return "tenant-" + std::to_string(tenant); }

    bool up(std::size_t at) const { return instances_[at].node != nullptr; }
    gossip::Node& node(std::size_t at) { return *instances_[at].node; }
    std::size_t size() const { return instances_.size(); }
    const Traffic& traffic() const { return traffic_; }
    // Real time that the instances' own code took so far, with the encoding of what they sent.
    Time busy() const { return busy_; }
    const Traffic& traffic(std::size_t at) const { return instances_[at].traffic; }
    Time now() const { return now_; }
    Time now_of(std::size_t at) const { return now_ + instances_[at].ahead; }
    bool agree() const;                    // all that are up know the same versions of the same lives
    bool all_see(std::size_t alive) const; // each that is up counts that many as alive
    pcg32& random() { return random_; }

  private:
    struct Instance {
        std::string name{};
        swim::Address address{};
        std::unique_ptr<gossip::Node> node{};
        std::vector<counts::SeriesIndex> series{}; // by tenant; made when first counted
        std::uint64_t last_number = 0;
        std::uint64_t starts = 0;
        std::optional<gossip::Snapshot> saved{};
        Time ahead{0};
        Traffic traffic{}; // sent
        Time tick_at{0};   // the one that is in the queue
    };
    struct Event {
        Time at{0};
        std::uint64_t order = 0; // of those at the same time
        std::uint32_t to = 0, from = 0;
        std::uint64_t start = 0; // of the receiver: what was for a life that is over is lost
        std::shared_ptr<const gossip::Frame> frame{}; // none: a tick
        bool operator>(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void start(std::size_t at, bool with_state);
    void flush(std::size_t at);
    void schedule(std::size_t at);
    std::optional<std::size_t> find(swim::Address address) const;
    bool chance(double share) { return share > 0 && random_() < share * 4294967296.0; }
    Time delay();

    Options options_;
    pcg32 random_;
    Time now_;
    std::uint64_t order_ = 0;
    std::vector<Instance> instances_;
    std::vector<std::vector<bool>> cuts_; // [from][to]
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::uint64_t> truth_;
    Traffic traffic_;
    Time busy_{0};
};

} // namespace willowrill::lab
