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
    settings.members = {.period = 1s, .timeout = 100ms, .forget_after = 60s, .max_members = 20};
    settings.counts = true;
    settings.limits = {.tenants = 20, .classes = 4, .lives = 10, .fold_after = 60s, .raises = 10};
    settings.interval = 100ms;
    settings.rate = settings.burst = 10;
    settings.bytes_per_second = 1'000'000;
    settings.payload = gossip::largest_datagram - gossip::Sealer::overhead;
    gossip::Node node(settings, "self", 100, {0x7f000001, 1}, 1, 1000s);
    node.book().count(node.book().series("t", "c"), willowrill::counts::Outcome::served);
    node.start(1000s);
    node.receive(1001s, {0x7f000001, 2}, *frame);
    node.tick(1002s);
    node.receive(1003s, {0x7f000001, 2}, *frame);
    static_cast<void>(node.book().totals(1004s));
    // What it says next must be what others can read.
    for (const gossip::Outgoing& out : node.sends()) {
        const gossip::Bytes said = gossip::encode(out.frame);
        if (said.size() > settings.payload || !gossip::decode(said)) __builtin_trap();
    }
    if (node.book().low("t", "c", willowrill::counts::Outcome::served) < 1) __builtin_trap();
    if (node.book().lives() > 10 || node.members().others().size() > 20) __builtin_trap();
    return 0;
}
