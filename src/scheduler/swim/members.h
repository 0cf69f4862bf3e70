// Who the instances are: SWIM with suspicion, incarnation numbers, indirect probes and piggy-backed news, and
// from Lifeguard the suspicion that shortens with independent confirmations and the prober that doubts itself
// first. Among schedulers only. Pure: messages and time come in, actions go out; it knows no sockets and no
// clock.
#pragma once

#include <pcg_random.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::swim {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds; // of one clock, that of the instance

struct Address { // IPv4, host byte order
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Address&) const = default;
};

// One life of an instance: a restart under the same name is another one, with a larger number.
struct Id {
    std::string name;
    std::uint64_t life = 0;
    auto operator<=>(const Id&) const = default;
};

enum class State : std::uint8_t {
    alive,
    suspect, // a probe failed; it may still refute that
    dead,    // it did not
    left     // it said so itself; final for this life
};

std::string_view name_of(State state);

struct Member {
    Id id;
    Address address;
    State state = State::alive;
    std::uint32_t incarnation = 0; // raised by the member alone, to refute what is said of it
};

enum class MessageKind : std::uint8_t {
    ping,         // answer with an ack
    ack,          // also for a member that somebody asked to probe
    ping_request, // probe `subject` for me
    nack,         // I have not heard from it either, but I am here; or: the life you mean is not here
    sync_request, // tell me all the members
    sync          // some of them
};

struct Message {
    MessageKind kind = MessageKind::ping;
    std::uint32_t sequence = 0;
    std::uint64_t life = 0;        // that a ping is meant for; 0: whoever is there
    Address subject{};             // of a ping_request
    std::vector<Member> updates{}; // piggy-backed, or the members of a sync
};

struct Settings {
    Duration probe_period{0};  // one member is probed in each
    Duration probe_timeout{0}; // after which others are asked; at most half of the period
    std::size_t indirect = 3;
    std::size_t suspicion = 4; // periods, times log10 of the number of members
    Duration forget_after{0};
    std::size_t max_members = 1000;
    std::size_t news_bytes = 900; // of a message, with `cost` for each member
    std::size_t sync_periods = 30;
    std::vector<Address> seeds{};
    static constexpr std::size_t cost = 40; // and the name
};

struct Send {
    Address to;
    Message message;
};
// `was` is empty for a member that was not known.
struct Change {
    Member member;
    std::optional<State> was;
};
struct Actions {
    std::vector<Send> sends;
    std::vector<Change> changes;
};

struct Statistics {
    std::uint64_t probes = 0, indirect_probes = 0, probes_failed = 0;
    std::uint64_t suspected = 0, refuted = 0, died = 0; // refuted: by this instance, of itself
    std::uint64_t over_limit = 0;                       // members not taken in
    std::uint64_t conflicts = 0;                        // two lives of one name, both alive, at two addresses
};

class Swim {
  public:
    Swim(Settings settings, Id self, Address address, std::uint64_t seed, Time now);

    void start(Time now, Actions& out); // asks the seeds
    void tick(Time now, Actions& out);
    Time next_tick() const; // when `tick` is due
    void receive(Time now, Address from, const Message& message, Actions& out);
    void leave(Time now, Actions& out); // tells some of the others at once; nothing is probed from then on
    void update_settings(Settings settings) { settings_ = std::move(settings); }
    // This instance goes on as another life; the present one has left.
    void begin_life(std::uint64_t life, Time now, Actions& out);

    const Member& self() const { return self_; }
    const std::map<Id, Member>& others() const { return view_; }
    std::size_t alive() const; // and suspected; with this one
    // A member that may live and know something has not been heard of: dead, not forgotten, and not known to
    // have been replaced by a later life.
    bool someone_away() const;
    std::optional<Address> random_alive();
    const Statistics& statistics() const { return statistics_; }

  private:
    struct Details {
        Time since{0};   // of the present state
        Time dead_at{0}; // when a suspect is taken for dead
        Time suspected{0};
        std::vector<std::uint64_t> confirmed_by{}; // lives that suspect it too; bounded by `confirmations`
    };
    struct Rumour {
        Id id;
        std::size_t told = 0;
    };
    struct Relayed { // a probe made for another
        Address asker{};
        std::uint32_t sequence = 0, own_sequence = 0;
        Time until{0};
        bool nacked = false;
    };

    void hear(Time now, const Member& news, std::uint64_t from_life, Actions& out);
    void hear_of_self(const Member& news);
    void take_in(Time now, const Member& news, Actions& out);
    void set_state(Time now, Member& member, State state, std::uint32_t incarnation, Actions& out);
    void spread(const Id& id);
    void send(Address to, Message message, Actions& out);
    void add_news(Message& message);
    void probe(Time now, Actions& out);
    void end_probe(Time now, Actions& out);
    void suspect(Time now, Member& member, std::uint64_t by, Actions& out);
    void forget(Time now);
    void reach_out(Actions& out);
    void sync_to(Address to, Actions& out);
    std::optional<Id> next_target();
    Duration suspicion_time() const;
    std::size_t most_told() const;
    const Member* known(const Id& id) const;
    template <class Wanted> std::vector<const Member*> choose(std::size_t count, Wanted&& wanted);

    Settings settings_;
    Member self_;
    pcg32 random_;
    std::map<Id, Member> view_;
    std::map<Id, Details> details_;
    std::vector<Id> round_; // targets left in this round of probes, shuffled
    std::vector<Rumour> rumours_;
    std::vector<Relayed> relayed_; // bounded
    struct {
        Id target{};
        std::uint32_t sequence = 0;
        Time asked_others{0}, ends{0};
        bool open = false, indirect = false;
        std::size_t nacks_expected = 0, nacks = 0;
    } probe_;
    std::size_t health_ = 0; // Lifeguard's local health: 0 is good
    std::uint32_t sequence_ = 0;
    std::size_t periods_ = 0;
    Time next_period_{0};
    bool leaving_ = false;
    Statistics statistics_;
};

} // namespace willowrill::swim
