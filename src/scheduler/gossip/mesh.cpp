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

constexpr int max_datagrams_per_wakeup = 64; // bounds the delay of other events on the loop
constexpr int socket_buffer_bytes = 1 << 20; // absorbs bursts of replies
constexpr auto open_retry_interval = 200ms;  // between two attempts to bind an address that is in use
constexpr auto leave_linger = 200ms;         // after leaving, to answer requests for the final counts

swim::Address address_of(const net::Endpoint& endpoint) {
    return {ntohl(endpoint.address.sin_addr.s_addr), ntohs(endpoint.address.sin_port)};
}

std::vector<Key> keys_of(const operator_config::MeshSettings& mesh) {
    std::vector<Key> keys;
    keys.reserve(mesh.keys.size());
    for (const operator_config::SealingKey& key : mesh.keys)
        keys.push_back({static_cast<std::uint32_t>(key.id), key.secret});
    return keys;
}

NodeSettings settings_of(const operator_config::OperatorConfig& site) {
    const operator_config::MeshSettings& mesh = *site.mesh;
    NodeSettings settings;
    settings.max_frame_bytes = max_datagram_bytes - Sealer::overhead_bytes;
    settings.bytes_per_second = mesh.bytes_per_second;
    settings.members = {.probe_period = mesh.probe_period,
                        .probe_timeout = mesh.probe_timeout,
                        .indirect_probe_count = mesh.indirect_probes,
                        .suspicion_multiplier = mesh.suspicion_multiplier,
                        .forget_after = mesh.forget_after,
                        .max_members = mesh.max_members,
                        .seeds = {}};
    for (const net::Endpoint& seed : mesh.seeds)
        settings.members.seeds.push_back(address_of(seed));
    settings.exchange_interval = 1h;
    if (!site.counts) return settings;
    const operator_config::CountsSettings& counts = *site.counts;
    settings.counts_enabled = true;
    settings.exchange_interval = counts.interval;
    settings.rate = counts.rate;
    settings.burst = counts.burst;
    settings.limits = {.max_tenants = counts.max_tenants,
                       .max_lives = counts.max_lives,
                       .max_skew = counts.max_skew,
                       .fold_after = counts.fold_after};
    return settings;
}

std::uint64_t random_seed() {
    std::uint64_t seed = 0;
    ::randombytes_buf(&seed, sizeof seed);
    return seed;
}

} // namespace

net::Endpoint endpoint_of(swim::Address address) {
    net::Endpoint endpoint;
    endpoint.address.sin_family = AF_INET;
    endpoint.address.sin_addr.s_addr = htonl(address.host);
    endpoint.address.sin_port = htons(address.port);
    return endpoint;
}

Mesh::Mesh(net::Loop& loop, const operator_config::OperatorConfig& site, const std::string& instance,
           bool wait)
    : loop_(loop), settings_(*site.mesh),
      snapshot_interval_(site.counts ? site.counts->snapshot_every : Time(0)), sealer_(keys_of(settings_)),
      replay_filter_(4 * settings_.max_members), tick_timer_(loop.timer_wheel(), [this] { on_timer(); }),
      save_timer_(loop.timer_wheel(), [this] { save_snapshot(); }), leave_timer_(loop.timer_wheel(),
                                                                                 [this] {
                                                                                     if (on_left_) on_left_();
                                                                                 }),
      open_timer_(loop.timer_wheel(), [this] { open(true, true); }) {
    if (site.counts && !site.state_dir.empty()) snapshots_.emplace(site.state_dir, instance);
    const auto snapshot = load_snapshot();
    const std::uint64_t last_number = snapshot && snapshot->instance == instance ? snapshot->number : 0;
    const net::Time now = loop_.now();
    const std::uint64_t number =
        counts::next_life_number(now, static_cast<std::uint32_t>(random_seed()), last_number);
    node_ = std::make_unique<Node>(settings_of(site), instance, number, address_of(settings_.advertise),
                                   random_seed(), now);
    if (snapshot) restore(*snapshot);
    open(wait);
}

std::optional<Snapshot> Mesh::load_snapshot() {
    if (!snapshots_) return std::nullopt;
    std::string warning;
    auto snapshot = snapshots_->load(warning);
    if (!warning.empty())
        log::event(spdlog::level::warn, "counts.state_put_aside", {{"why", warning}}, "counts: " + warning);
    return snapshot;
}

void Mesh::restore(const Snapshot& snapshot) {
    for (const counts::Delta& delta : snapshot.deltas)
        node_->count_store().load(delta, loop_.now());
    const std::uint64_t lives = node_->count_store().life_count() - 1;
    log::event(spdlog::level::info, "counts.state_read", {{"lives", lives}},
               "counts: " + std::to_string(lives) + " lives read from the last snapshot");
}

void Mesh::open(bool wait, bool has_waited) {
    socket_ = net::bind_udp_socket(settings_.listen);
    const net::Time now = loop_.now();
    if (!socket_.valid()) {
        if (!wait || errno != EADDRINUSE)
            throw std::system_error(errno, std::generic_category(),
                                    "cannot receive datagrams at " + settings_.listen.text());
        open_timer_.arm(now + open_retry_interval);
        return;
    }
    // The earlier run may have written another snapshot before it exited.
    if (has_waited)
        if (const auto snapshot = load_snapshot()) restore(*snapshot);
    if (snapshots_) save_timer_.arm(now + snapshot_interval_);
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_SNDBUF, &socket_buffer_bytes, sizeof socket_buffer_bytes);
    loop_.watch(socket_.get(), POLLIN, *this);
    log::event(spdlog::level::info, "mesh.open", {{"address", address().text()}},
               "mesh: datagrams at " + address().text());
    node_->start(now);
    send_pending();
}

Mesh::~Mesh() {
    if (socket_.valid()) loop_.unwatch(socket_.get());
}

void Mesh::update_settings(const operator_config::OperatorConfig& site) {
    settings_ = *site.mesh;
    sealer_ = Sealer(keys_of(settings_));
    if (site.counts) snapshot_interval_ = site.counts->snapshot_every;
    node_->update_settings(settings_of(site));
    if (is_open()) arm_timer();
}

void Mesh::on_ready(short) {
    std::array<unsigned char, 2048> buffer{};
    for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto datagram_bytes = ::recvfrom(socket_.get(), buffer.data(), buffer.size(), 0,
                                               reinterpret_cast<sockaddr*>(&from), &size);
        if (datagram_bytes < 0) break; // nothing to read; a persistent error shows at the next call
        ++counters_.received;
        counters_.received_bytes += static_cast<std::uint64_t>(datagram_bytes);
        handle_datagram({buffer.data(), static_cast<std::size_t>(datagram_bytes)},
                        {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    }
    send_pending();
}

void Mesh::handle_datagram(std::span<const unsigned char> datagram, swim::Address from) {
    if (!settings_.networks.contains(from.host)) return count_drop(DropReason::foreign_network);
    const Sealer::Opened opened = sealer_.open(datagram);
    if (!opened.valid) return count_drop(opened.reason);
    const auto frame = decode(opened.plaintext);
    if (!frame) return count_drop(DropReason::malformed);
    if (frame->life == node_->members().self().id.life) return count_drop(DropReason::own);
    // The replay filter is empty after a start, so the age limit must reject old datagrams until it has
    // filled.
    const net::Time now = loop_.now();
    if (frame->sent_at < now - settings_.max_age || frame->sent_at > now + settings_.max_age)
        return count_drop(DropReason::too_old);
    if (!replay_filter_.accept(frame->life, frame->sequence_number)) return count_drop(DropReason::replayed);
    node_->receive(now, from, *frame);
}

void Mesh::send_pending() {
    for (OutgoingFrame& outgoing : node_->take_sends()) {
        const Bytes plaintext = encode(outgoing.frame);
        const Bytes sealed = sealer_.seal(plaintext);
        const sockaddr_in to = endpoint_of(outgoing.to).address;
        if (sealed.size() > max_datagram_bytes || !settings_.networks.contains(outgoing.to.host) ||
            ::sendto(socket_.get(), sealed.data(), sealed.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                     sizeof to) < 0) {
            ++counters_.unsent; // handled like a lost datagram, which the protocols tolerate
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
    arm_timer();
}

void Mesh::arm_timer() { tick_timer_.arm(std::max(node_->next_tick(), loop_.now())); }

void Mesh::on_timer() {
    node_->tick(loop_.now());
    send_pending();
}

void Mesh::save_snapshot() {
    const net::Time now = loop_.now();
    save_timer_.arm(now + snapshot_interval_);
    if (const auto failure = snapshots_->take_failure())
        log::event(spdlog::level::err, "counts.state_not_written", {{"why", *failure}},
                   "counts: " + *failure);
    counts::CountStore& count_store = node_->count_store();
    count_store.publish(now);
    snapshots_->save(
        {count_store.self().instance, count_store.self().number, now, count_store.save(1U << 16U)});
}

void Mesh::leave(std::function<void()> on_left) {
    on_left_ = std::move(on_left);
    open_timer_.disarm();
    if (is_open()) { // otherwise an earlier run still owns the address and the snapshot file
        node_->leave(loop_.now());
        send_pending();
        if (snapshots_) save_snapshot();
        save_timer_.disarm();
    }
    leave_timer_.arm(loop_.now() + leave_linger);
}

} // namespace willowrill::gossip
