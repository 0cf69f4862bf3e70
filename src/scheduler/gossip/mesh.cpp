#include "scheduler/gossip/mesh.h"

#include "scheduler/log/log.h"

#include <arpa/inet.h>
#include <sodium.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

constexpr int datagrams_a_round = 64; // messages of clients wait no longer than these take
constexpr int buffer_bytes = 1 << 20; // a fleet's answers come in bursts
constexpr auto open_pause = 200ms;    // between two looks whether a former run has let go of the address
constexpr auto linger = 200ms;        // after the last words, for those who ask for what they lack

swim::Address address_of(const net::Endpoint& endpoint) {
    return {ntohl(endpoint.address.sin_addr.s_addr), ntohs(endpoint.address.sin_port)};
}

std::vector<Key> keys_of(const operator_config::Mesh& mesh) {
    std::vector<Key> out;
    out.reserve(mesh.keys.size());
    for (const operator_config::Key& key : mesh.keys)
        out.push_back({static_cast<std::uint32_t>(key.id), key.secret});
    return out;
}

NodeSettings settings_of(const operator_config::Site& site) {
    const operator_config::Mesh& mesh = *site.mesh;
    NodeSettings out;
    out.max_frame_bytes = max_datagram_bytes - Sealer::overhead_bytes;
    out.bytes_per_second = mesh.bytes_per_second;
    out.members = {.probe_period = mesh.probe_period,
                   .probe_timeout = mesh.probe_timeout,
                   .indirect_probe_count = mesh.indirect,
                   .suspicion_multiplier = mesh.suspicion,
                   .forget_after = mesh.forget_after,
                   .max_members = mesh.max_members,
                   .seeds = {}};
    for (const net::Endpoint& seed : mesh.seeds)
        out.members.seeds.push_back(address_of(seed));
    out.exchange_interval = 1h;
    if (!site.counts) return out;
    const operator_config::Counts& counts = *site.counts;
    out.counts_enabled = true;
    out.exchange_interval = counts.interval;
    out.rate = counts.rate;
    out.burst = counts.burst;
    out.limits = {.max_tenants = counts.max_tenants,
                  .max_lives = counts.max_lives,
                  .max_skew = counts.max_skew,
                  .fold_after = counts.fold_after};
    return out;
}

std::uint64_t random_seed() {
    std::uint64_t out = 0;
    ::randombytes_buf(&out, sizeof out);
    return out;
}

} // namespace

net::Endpoint endpoint_of(swim::Address address) {
    net::Endpoint out;
    out.address.sin_family = AF_INET;
    out.address.sin_addr.s_addr = htonl(address.host);
    out.address.sin_port = htons(address.port);
    return out;
}

Mesh::Mesh(net::Loop& loop, const operator_config::Site& site, const std::string& instance, bool wait)
    : loop_(loop), settings_(*site.mesh),
      snapshot_every_(site.counts ? site.counts->snapshot_every : Time(0)), sealer_(keys_of(settings_)),
      replay_(4 * settings_.max_members), timer_(loop.timer_wheel(), [this] { on_timer(); }),
      save_timer_(loop.timer_wheel(), [this] { save(); }), gone_timer_(loop.timer_wheel(),
                                                                       [this] {
                                                                           if (gone_) gone_();
                                                                       }),
      open_timer_(loop.timer_wheel(), [this] { open(true, true); }) {
    if (site.counts && !site.state_dir.empty()) snapshots_.emplace(site.state_dir, instance);
    const auto former = load();
    const std::uint64_t last = former && former->instance == instance ? former->number : 0;
    const net::Time now = loop_.now();
    const std::uint64_t number = counts::next_number(now, static_cast<std::uint32_t>(random_seed()), last);
    node_ = std::make_unique<Node>(settings_of(site), instance, number, address_of(settings_.advertise),
                                   random_seed(), now);
    if (former) take_over(*former);
    open(wait);
}

std::optional<Snapshot> Mesh::load() {
    if (!snapshots_) return std::nullopt;
    std::string note;
    auto former = snapshots_->load(note);
    if (!note.empty())
        log::event(spdlog::level::warn, "counts.state_put_aside", {{"why", note}}, "counts: " + note);
    return former;
}

void Mesh::take_over(const Snapshot& former) {
    for (const counts::Delta& delta : former.deltas)
        node_->count_store().load(delta, loop_.now());
    const std::uint64_t lives = node_->count_store().life_count() - 1;
    log::event(spdlog::level::info, "counts.state_read", {{"lives", lives}},
               "counts: " + std::to_string(lives) + " lives read from the last snapshot");
}

void Mesh::open(bool wait, bool waited) {
    socket_ = net::bind_udp_socket(settings_.listen);
    const net::Time now = loop_.now();
    if (!socket_.valid()) {
        if (!wait || errno != EADDRINUSE)
            throw std::system_error(errno, std::generic_category(),
                                    "cannot take datagrams at " + settings_.listen.text());
        open_timer_.arm(now + open_pause);
        return;
    }
    // A former run may have written more until just now.
    if (waited)
        if (const auto former = load()) take_over(*former);
    if (snapshots_) save_timer_.arm(now + snapshot_every_);
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    loop_.watch(socket_.get(), POLLIN, *this);
    log::event(spdlog::level::info, "mesh.open", {{"address", address().text()}},
               "mesh: datagrams at " + address().text());
    node_->start(now);
    flush();
}

Mesh::~Mesh() {
    if (socket_.valid()) loop_.unwatch(socket_.get());
}

void Mesh::update_settings(const operator_config::Site& site) {
    settings_ = *site.mesh;
    sealer_ = Sealer(keys_of(settings_));
    if (site.counts) snapshot_every_ = site.counts->snapshot_every;
    node_->update_settings(settings_of(site));
    if (is_open()) arm();
}

void Mesh::on_ready(short) {
    std::array<unsigned char, 2048> buffer{};
    for (int i = 0; i < datagrams_a_round; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto got = ::recvfrom(socket_.get(), buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0) break; // nothing more; what else may be wrong shows at the next one
        ++counters_.received;
        counters_.received_bytes += static_cast<std::uint64_t>(got);
        take({buffer.data(), static_cast<std::size_t>(got)},
             {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    }
    flush();
}

void Mesh::take(std::span<const unsigned char> datagram, swim::Address from) {
    if (!settings_.networks.contains(from.host)) return drop(DropReason::foreign_network);
    const Sealer::Opened opened = sealer_.open(datagram);
    if (!opened.good) return drop(opened.cause);
    const auto frame = decode(opened.plain);
    if (!frame) return drop(DropReason::malformed);
    if (frame->life == node_->members().self().id.life) return drop(DropReason::own);
    // A window of each sender refuses what comes twice. One that has just started has none: there, the time
    // does.
    const net::Time now = loop_.now();
    if (frame->sent < now - settings_.max_age || frame->sent > now + settings_.max_age)
        return drop(DropReason::too_old);
    if (!replay_.take(frame->life, frame->count)) return drop(DropReason::replayed);
    node_->receive(now, from, *frame);
}

void Mesh::flush() {
    for (OutgoingFrame& out : node_->take_sends()) {
        const Bytes plain = encode(out.frame);
        const Bytes sealed = sealer_.seal(plain);
        const sockaddr_in to = endpoint_of(out.to).address;
        if (sealed.size() > max_datagram_bytes || !settings_.networks.contains(out.to.host) ||
            ::sendto(socket_.get(), sealed.data(), sealed.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                     sizeof to) < 0) {
            ++counters_.unsent; // as good as lost on its way, which everything here stands
            continue;
        }
        ++counters_.sent;
        counters_.sent_bytes += sealed.size();
    }
    for (const swim::StateChange& change : node_->take_changes()) {
        const std::string_view state = swim::name_of(change.member.state);
        log::event(spdlog::level::info, "members.changed",
                   {{"member", change.member.id.name},
                    {"life", change.member.id.life},
                    {"state", state},
                    {"was", change.previous_state ? swim::name_of(*change.previous_state) : "unknown"}},
                   "members: " + change.member.id.name + " is " + std::string(state));
    }
    arm();
}

void Mesh::arm() { timer_.arm(std::max(node_->next_tick(), loop_.now())); }

void Mesh::on_timer() {
    node_->tick(loop_.now());
    flush();
}

void Mesh::save() {
    const net::Time now = loop_.now();
    save_timer_.arm(now + snapshot_every_);
    if (const auto failure = snapshots_->failure())
        log::event(spdlog::level::err, "counts.state_not_written", {{"why", *failure}},
                   "counts: " + *failure);
    counts::CountStore& book = node_->count_store();
    book.publish(now);
    snapshots_->save({book.self().instance, book.self().number, now, book.save(1U << 16U)});
}

void Mesh::leave(std::function<void()> gone) {
    gone_ = std::move(gone);
    open_timer_.disarm();
    if (is_open()) { // else another run of this instance has its place, its file too
        node_->leave(loop_.now());
        flush();
        if (snapshots_) save();
        save_timer_.disarm();
    }
    gone_timer_.arm(loop_.now() + linger);
}

} // namespace willowrill::gossip
