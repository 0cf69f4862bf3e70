// Connects a `Node` to a UDP socket, timers, encryption and snapshots. Datagrams that are malformed, forged,
// replayed or from foreign networks are dropped here and counted by reason.
#pragma once

#include "scheduler/gossip/node.h"
#include "scheduler/gossip/seal.h"
#include "scheduler/gossip/snapshots.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"
#include "scheduler/operator_config/operator_config.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::gossip {

struct MeshCounters {
    std::uint64_t received = 0, received_bytes = 0, sent = 0, sent_bytes = 0;
    std::uint64_t unsent = 0; // rejected by the system, too large, or to a foreign network
    std::array<std::uint64_t, drop_reason_count> dropped{};
};

net::Endpoint endpoint_of(swim::Address address);

// Runs on the thread of its event loop.
class Mesh final : private net::Pollable {
  public:
    // `instance` is this instance's name among the instances. Throws std::system_error if the address cannot
    // be bound. With `wait`, an address that is still in use by an earlier run of this instance is not an
    // error: the mesh retries until the address is free, and counts without exchanging messages until then.
    Mesh(net::Loop& loop, const operator_config::OperatorConfig& site, const std::string& instance,
         bool wait = false);
    ~Mesh() override;

    // Applies reloaded keys, networks, times and the byte limit. Other settings require a restart.
    void update_settings(const operator_config::OperatorConfig& site);

    // Leaves the fleet. Continues to answer requests for a moment, then calls `on_left`.
    void leave(std::function<void()> on_left);

    Node& node() { return *node_; }
    const Node& node() const { return *node_; }
    const MeshCounters& counters() const { return counters_; }
    net::Endpoint address() const { return net::local_address(socket_); }
    bool is_open() const { return socket_.valid(); }
    std::uint64_t snapshots_written() const { return snapshots_ ? snapshots_->written() : 0; }

  private:
    void on_ready(short events) override;
    void open(bool wait, bool has_waited = false);
    std::optional<Snapshot> load_snapshot();
    void restore(const Snapshot& snapshot);
    void handle_datagram(std::span<const unsigned char> datagram, swim::Address from);
    void count_drop(DropReason reason) { ++counters_.dropped[static_cast<std::size_t>(reason)]; }
    void on_timer();
    void send_pending(); // sends the node's queued frames and logs membership changes
    void arm_timer();
    void save_snapshot();

    net::Loop& loop_;
    operator_config::MeshSettings settings_;
    Time snapshot_interval_{0};
    net::Fd socket_;
    Sealer sealer_;
    ReplayFilter replay_filter_;
    std::optional<SnapshotStore> snapshots_;
    std::unique_ptr<Node> node_;
    net::Timer tick_timer_, save_timer_, leave_timer_, open_timer_;
    std::function<void()> on_left_;
    MeshCounters counters_;
};

} // namespace willowrill::gossip
