// Bytes from anywhere as a datagram: first as they come, then as what a peer with the key might say to a
// running node.
#include "scheduler/gossip/node.h"
#include "scheduler/gossip/seal.h"

#include <cstddef>
#include <cstdint>

using namespace std::chrono_literals;
namespace gossip = willowrill::gossip;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::span<const unsigned char> bytes(data, size);
    static const gossip::Sealer sealer(std::vector<gossip::Key>{{.id = 1, .secret = {}}});
    static_cast<void>(sealer.open(bytes));
    const auto frame = gossip::decode(bytes);
    if (!frame) return 0;
    gossip::NodeSettings settings;
    settings.members = {.probe_period = 1s, .probe_timeout = 100ms, .forget_after = 60s, .max_members = 20};
    settings.counts_enabled = true;
    settings.limits = {
        .max_tenants = 20, .max_classes = 4, .max_lives = 10, .fold_after = 60s, .max_fold_corrections = 10};
    settings.exchange_interval = 100ms;
    settings.rate = settings.burst = 10;
    settings.bytes_per_second = 1'000'000;
    settings.max_frame_bytes = gossip::max_datagram_bytes - gossip::Sealer::overhead_bytes;
    gossip::Node node(settings, "self", 100, {0x7f000001, 1}, 1, 1000s);
    node.count_store().count(node.count_store().series("t", "c"), willowrill::counts::Outcome::served);
    node.start(1000s);
    node.receive(1001s, {0x7f000001, 2}, *frame);
    node.tick(1002s);
    node.receive(1003s, {0x7f000001, 2}, *frame);
    static_cast<void>(node.count_store().totals(1004s));
    // What it says next must be what others can read.
    for (const gossip::OutgoingFrame& out : node.take_sends()) {
        const gossip::Bytes said = gossip::encode(out.frame);
        if (said.size() > settings.max_frame_bytes || !gossip::decode(said)) __builtin_trap();
    }
    if (node.count_store().low_total("t", "c", willowrill::counts::Outcome::served) < 1) __builtin_trap();
    if (node.count_store().life_count() > 10 || node.members().others().size() > 20) __builtin_trap();
    return 0;
}
