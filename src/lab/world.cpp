#include "lab/world.h"

#include "scheduler/gossip/seal.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace willowrill::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t first_host = 0x0a000001; // 10.0.0.1, in name only
constexpr std::uint16_t first_port = 7946;

} // namespace

World::World(Options options) : options_(std::move(options)), random_(options_.seed), now_(1'700'000'000s) {
    if (options_.node.max_frame_bytes == 0)
        options_.node.max_frame_bytes = gossip::max_datagram_bytes - gossip::Sealer::overhead_bytes;
    options_.node.members.seeds = {{first_host, first_port}};
}

std::size_t World::add(std::string name, std::optional<std::uint16_t> port) {
    const std::size_t at = instances_.size();
    if (name.empty()) name = "i" + std::to_string(at);
    instances_.push_back(
        {.name = std::move(name),
         .address = {first_host + static_cast<std::uint32_t>(at), port.value_or(first_port)}});
    for (auto& row : cuts_)
        row.resize(instances_.size());
    cuts_.emplace_back(instances_.size());
    start(at, false);
    return at;
}

void World::start(std::size_t at, bool with_state) {
    Instance& one = instances_[at];
    const bool known = with_state && one.saved;
    one.last_number = counts::next_life_number(now_of(at), random_(), known ? one.saved->number : 0);
    one.node = std::make_unique<gossip::Node>(options_.node, one.name, one.last_number, one.address,
                                              random_(), now_of(at));
    one.series.clear();
    ++one.starts;
    if (known)
        for (const counts::Delta& delta : one.saved->deltas)
            one.node->count_store().load(delta, now_of(at));
    one.node->start(now_of(at));
    flush(at);
}

void World::kill(std::size_t at) { instances_[at].node.reset(); }
void World::restart(std::size_t at, bool with_state) { start(at, with_state); }

void World::save(std::size_t at) {
    counts::CountStore& book = node(at).count_store();
    book.publish(now_of(at));
    instances_[at].saved = {book.self().instance, book.self().number, now_of(at), book.save(1U << 16U)};
}

void World::leave(std::size_t at) {
    node(at).leave(now_of(at));
    flush(at);
}

void World::cut(std::size_t from, std::size_t to, bool is_cut) { cuts_[from][to] = is_cut; }

void World::cut_off(std::size_t one, bool is_cut) {
    for (std::size_t other = 0; other < instances_.size(); ++other) {
        if (other == one) continue;
        cut(one, other, is_cut);
        cut(other, one, is_cut);
    }
}

std::optional<std::size_t> World::find(swim::Address address) const {
    const std::size_t at = address.host - first_host;
    if (at >= instances_.size() || instances_[at].address != address) return std::nullopt;
    return at;
}

Time World::delay() {
    const auto span = (options_.link.delay_most - options_.link.delay_least).count();
    const double share = static_cast<double>(random_()) / 4294967296.0;
    return options_.link.delay_least + Time(static_cast<std::int64_t>(static_cast<double>(span) * share));
}

void World::flush(std::size_t at) {
    for (gossip::OutgoingFrame& out : instances_[at].node->take_sends()) {
        const auto to = find(out.to);
        const gossip::Bytes bytes = gossip::encode(out.frame);
        Traffic& mine = instances_[at].traffic;
        for (Traffic* one : {&traffic_, &mine}) {
            ++one->datagrams;
            one->bytes += bytes.size() + gossip::Sealer::overhead_bytes;
        }
        if (!to || cuts_[at][*to] || chance(options_.link.loss) ||
            bytes.size() + gossip::Sealer::overhead_bytes > gossip::max_datagram_bytes) {
            ++traffic_.lost;
            ++mine.lost;
            continue;
        }
        std::shared_ptr<const gossip::Frame> frame;
        if (options_.decode) {
            auto decoded = gossip::decode(bytes);
            if (!decoded) {
                ++traffic_.undecodable;
                continue;
            }
            frame = std::make_shared<const gossip::Frame>(std::move(*decoded));
        } else {
            frame = std::make_shared<const gossip::Frame>(std::move(out.frame));
        }
        const int copies = chance(options_.link.duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            events_.push({now_ + delay(), ++order_, static_cast<std::uint32_t>(*to),
                          static_cast<std::uint32_t>(at), instances_[*to].starts, frame});
        }
    }
    instances_[at].node->take_changes();
    schedule(at);
}

// One tick of each instance is in the queue that counts: the latest that was asked for. Others go by
// unheeded.
void World::schedule(std::size_t at) {
    Instance& one = instances_[at];
    const Time due = std::max(one.node->next_tick() - one.ahead, now_ + 1us);
    if (one.tick_at == due) return;
    one.tick_at = due;
    events_.push({due, ++order_, static_cast<std::uint32_t>(at), 0, one.starts, nullptr});
}

void World::run_until(Time end) {
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        Instance& one = instances_[event.to];
        const auto begun = std::chrono::steady_clock::now();
        if (one.node == nullptr || one.starts != event.start) continue;
        if (event.frame == nullptr) {
            if (event.at != one.tick_at) continue;
            one.tick_at = Time(0);
            one.node->tick(now_of(event.to));
        } else {
            one.node->receive(now_of(event.to), instances_[event.from].address, *event.frame);
        }
        flush(event.to);
        busy_ += std::chrono::steady_clock::now() - begun;
    }
    now_ = end;
}

bool World::run_until_done(const std::function<bool()>& done, Time step, Time at_most) {
    const Time end = now_ + at_most;
    while (now_ < end) {
        if (done()) return true;
        run_for(step);
    }
    return done();
}

void World::count(std::size_t at, std::uint32_t tenant, counts::Outcome outcome, std::uint64_t times) {
    Instance& one = instances_[at];
    constexpr counts::SeriesIndex none = ~counts::SeriesIndex{0};
    if (one.series.size() <= tenant) one.series.resize(tenant + 1, none);
    if (truth_.size() <= tenant) truth_.resize(tenant + 1, 0);
    if (one.series[tenant] == none)
        one.series[tenant] = one.node->count_store().series(tenant_name(tenant), "jobs");
    for (std::uint64_t i = 0; i < times; ++i)
        one.node->count_store().count(one.series[tenant], outcome);
    truth_[tenant] += times;
}

std::uint64_t World::truth() const { return std::accumulate(truth_.begin(), truth_.end(), std::uint64_t{0}); }

bool World::agree() const {
    const counts::Digest* first = nullptr;
    std::vector<counts::Digest> digests;
    for (const Instance& one : instances_)
        if (one.node)
            digests.push_back(std::move(one.node->count_store().make_digests(~std::size_t{0}).front()));
    for (const counts::Digest& digest : digests) {
        if (first == nullptr) first = &digest;
        if (digest.keys != first->keys || digest.versions != first->versions) return false;
    }
    return true;
}

bool World::all_see(std::size_t alive) const {
    return std::ranges::all_of(instances_, [&](const Instance& one) {
        if (!one.node) return true;
        const auto seen = 1 + std::ranges::count_if(one.node->members().others(), [](const auto& other) {
                              return other.second.state == swim::State::alive;
                          });
        return static_cast<std::size_t>(seen) == alive;
    });
}

} // namespace willowrill::lab
