// The carrier of a node: one UDP socket on the loop, timers on the wheel, the seal, and snapshots. What is
// malformed, forged, replayed or foreign ends here, counted by cause.
#pragma once

#include "scheduler/gossip/node.h"
#include "scheduler/gossip/seal.h"
#include "scheduler/gossip/snapshots.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"
#include "scheduler/operator_config/site.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace willowrill::gossip {

struct MeshCounters {
    std::uint64_t received = 0, received_bytes = 0, sent = 0, sent_bytes = 0;
    std::uint64_t unsent = 0; // the system had no room for them, or no way there
    std::array<std::uint64_t, drop_reason_count> dropped{};
};

net::Endpoint endpoint_of(swim::Address address);

class Mesh final : private net::Pollable {
  public:
    // Throws std::system_error where the address cannot be had. `instance` is the name among the instances.
    // `wait`: a former run of this instance still has the address; it is taken over when that one is gone,
    // and until then this one counts without a word to anyone.
    Mesh(net::Loop& loop, const operator_config::Site& site, const std::string& instance, bool wait = false);
    ~Mesh() override;

    void update_settings(const operator_config::Site&
                             site); // keys, networks, times and bytes a second; the rest waits for a restart

    // The last words; goes on to answer for a moment, until `gone` says so.
    void leave(std::function<void()> gone);

    Node& node() { return *node_; }
    const Node& node() const { return *node_; }
    const MeshCounters& counters() const { return counters_; }
    net::Endpoint address() const { return net::local_address(socket_); }
    bool is_open() const { return socket_.valid(); }
    std::uint64_t snapshots_written() const { return snapshots_ ? snapshots_->written() : 0; }

  private:
    void on_ready(short events) override;
    void open(bool wait, bool waited = false);
    std::optional<Snapshot> load();
    void take_over(const Snapshot& former);
    void take(std::span<const unsigned char> datagram, swim::Address from);
    void drop(DropReason cause) { ++counters_.dropped[static_cast<std::size_t>(cause)]; }
    void on_timer();
    void flush(); // what the node wants sent, and told
    void arm();
    void save();

    net::Loop& loop_;
    operator_config::Mesh settings_;
    Time snapshot_every_{0};
    net::Fd socket_;
    Sealer sealer_;
    Replay replay_;
    std::optional<Snapshots> snapshots_;
    std::unique_ptr<Node> node_;
    net::Timer timer_, save_timer_, gone_timer_, open_timer_;
    std::function<void()> gone_;
    MeshCounters counters_;
};

} // namespace willowrill::gossip
