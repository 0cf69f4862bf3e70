// Tests of `Mesh` on the loopback interface: drop reasons, address handover between two runs, and snapshots.
#include "scheduler/gossip/mesh.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <utility>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

struct MeshFixture {
    MeshFixture() {
        std::string name = "/tmp/willowrill-mesh-XXXXXX";
        if (::mkdtemp(name.data()) != nullptr) directory = name;
        sender_address.address.sin_family = AF_INET;
        sender_socket = net::Fd(::socket(AF_INET, SOCK_DGRAM, 0));
        sender_address = *net::Endpoint::parse("127.0.0.1:0");
        REQUIRE(::bind(sender_socket.get(), reinterpret_cast<const sockaddr*>(&sender_address.address),
                       sizeof sender_address.address) == 0);
        site.mesh.emplace();
        site.mesh->listen = site.mesh->advertise = *net::Endpoint::parse("127.0.0.1:0");
        site.mesh->networks.add("127.0.0.0/8");
        site.mesh->keys = {{.id = 5, .file = "", .secret = secret(1)}};
        site.mesh->bytes_per_second = 1'000'000;
        site.mesh->probe_period = 1h;
        site.mesh->probe_timeout = 1s;
        site.mesh->forget_after = 1h;
        site.mesh->max_age = 30s;
        site.mesh->max_members = 10;
        site.counts.emplace();
        site.counts->interval = 1h;
        site.counts->rate = 10;
        site.counts->fold_after = 1h;
        site.counts->snapshot_every = 50ms;
        site.counts->max_tenants = 10;
        site.counts->max_lives = 10;
    }
    ~MeshFixture() { std::filesystem::remove_all(directory); }
    static operator_config::Secret secret(unsigned char fill) {
        operator_config::Secret result{};
        result.fill(fill);
        return result;
    }
    static Sealer sealer(std::uint32_t id, unsigned char fill) {
        return Sealer(std::vector<Key>{{id, secret(fill)}});
    }
    // A frame that adds a member if it is accepted.
    Frame frame(std::uint64_t count, net::Duration sent_ahead = 0s) const {
        const swim::Address address{0x7f000001, 9};
        return {77, count, loop.now() + sent_ahead,
                swim::Message{.kind = swim::MessageKind::sync, .updates = {{{"other", 77}, address}}}};
    }
    void send(Mesh& mesh, const Bytes& datagram) {
        const net::Endpoint to = mesh.address();
        const std::uint64_t before = mesh.counters().received;
        ::sendto(sender_socket.get(), datagram.data(), datagram.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to.address), sizeof to.address);
        for (int i = 0; i < 2000 && mesh.counters().received == before; ++i)
            loop.run_once(1ms);
        REQUIRE(mesh.counters().received == before + 1);
    }
    static std::uint64_t dropped(const Mesh& mesh, DropReason reason) {
        return mesh.counters().dropped[static_cast<std::size_t>(reason)];
    }

    net::Loop loop;
    net::Fd sender_socket;
    net::Endpoint sender_address;
    operator_config::OperatorConfig site;
    std::string directory;
};

TEST_CASE("malformed, forged, foreign, old and replayed datagrams are dropped and counted by reason") {
    MeshFixture fixture;
    Mesh mesh(fixture.loop, fixture.site, "self");
    const Sealer good = MeshFixture::sealer(5, 1);
    std::uint64_t total_drops = 0;
    const auto expect_drop = [&](DropReason reason, const Bytes& datagram) {
        const std::uint64_t before = MeshFixture::dropped(mesh, reason);
        fixture.send(mesh, datagram);
        std::uint64_t sum = 0;
        for (const std::uint64_t count : mesh.counters().dropped)
            sum += count;
        CHECK(sum == ++total_drops);
        CHECK(MeshFixture::dropped(mesh, reason) == before + 1);
        CHECK(mesh.node().members().others().empty());
    };
    expect_drop(DropReason::malformed, Bytes(10, 'x'));
    expect_drop(DropReason::malformed, good.seal(Bytes(100, 0)));
    expect_drop(DropReason::forged, MeshFixture::sealer(5, 2).seal(encode(fixture.frame(1))));
    expect_drop(DropReason::unknown_key, MeshFixture::sealer(6, 1).seal(encode(fixture.frame(1))));
    Bytes newer = good.seal(encode(fixture.frame(1)));
    newer[1] = 9;
    expect_drop(DropReason::unknown_format, newer);
    expect_drop(DropReason::too_old, good.seal(encode(fixture.frame(1, -31s))));
    expect_drop(DropReason::too_old, good.seal(encode(fixture.frame(1, 31s))));
    Frame own_frame = fixture.frame(1);
    own_frame.life = mesh.node().members().self().id.life;
    expect_drop(DropReason::own, good.seal(encode(own_frame)));
    fixture.site.mesh->networks = {};
    fixture.site.mesh->networks.add("10.0.0.0/8");
    mesh.update_settings(fixture.site);
    expect_drop(DropReason::foreign_network, good.seal(encode(fixture.frame(1))));
    fixture.site.mesh->networks.add("127.0.0.0/8");
    mesh.update_settings(fixture.site);

    const Bytes last_accepted = good.seal(encode(fixture.frame(1)));
    fixture.send(mesh, last_accepted);
    CHECK(mesh.node().members().others().size() == 1);
    fixture.send(mesh, last_accepted);
    CHECK(MeshFixture::dropped(mesh, DropReason::replayed) == 1);
}

TEST_CASE("a second run of an instance waits for the address and loads the last snapshot of the first run") {
    MeshFixture fixture;
    fixture.site.state_dir = fixture.directory;
    auto first = std::make_unique<Mesh>(fixture.loop, fixture.site, "self");
    fixture.site.mesh->listen = fixture.site.mesh->advertise = first->address();
    CHECK_THROWS_AS(Mesh(fixture.loop, fixture.site, "self"), std::system_error); // an error without `wait`
    Mesh second(fixture.loop, fixture.site, "self", true);
    CHECK_FALSE(second.is_open());
    CHECK(second.node().count_store().self().number > 0);
    first->node().count_store().count(first->node().count_store().series("a", "c"), counts::Outcome::served);
    second.node().count_store().count(second.node().count_store().series("a", "c"), counts::Outcome::served);
    bool has_left = false;
    first->leave([&] { has_left = true; });
    for (int i = 0; i < 5000 && !has_left; ++i)
        fixture.loop.run_once(1ms);
    REQUIRE(has_left);
    first.reset();
    for (int i = 0; i < 5000 && !second.is_open(); ++i)
        fixture.loop.run_once(1ms);
    REQUIRE(second.is_open());
    CHECK(second.node().count_store().low_total("a", "c", counts::Outcome::served) == 2);
}

// Snapshots are written by a second thread; `.ci/run` runs this test under ThreadSanitizer, too.
TEST_CASE(
    "when snapshots are saved faster than they can be written, the last accepted one is on disk at the end") {
    MeshFixture fixture;
    std::uint64_t last_accepted = 0;
    {
        SnapshotStore snapshots(fixture.directory, "self");
        std::uint64_t seen = 0;
        for (std::uint64_t number = 1; number <= 300; ++number) {
            if (snapshots.save({.instance = "self", .number = number})) last_accepted = number;
            CHECK(snapshots.written() >= std::exchange(seen, snapshots.written()));
            CHECK_FALSE(snapshots.take_failure());
        }
    } // the destructor waits for the last write
    std::string warning;
    SnapshotStore snapshots(fixture.directory, "self");
    const auto loaded = snapshots.load(warning);
    REQUIRE(loaded);
    CHECK(loaded->number == last_accepted);
    std::filesystem::remove_all(fixture.directory); // makes the next write fail
    while (!snapshots.save({.instance = "self", .number = 1})) {
    }
    std::optional<std::string> failure;
    for (int i = 0; i < 20000 && !failure; ++i) {
        fixture.loop.run_once(1ms);
        failure = snapshots.take_failure();
    }
    REQUIRE(failure);
    CHECK(failure->find("cannot write") != std::string::npos);
    CHECK_FALSE(snapshots.take_failure()); // reported once
}

TEST_CASE("a truncated or foreign snapshot file is moved aside, and the instance starts without it") {
    MeshFixture fixture;
    fixture.site.state_dir = fixture.directory;
    std::uint64_t number = 0;
    {
        Mesh mesh(fixture.loop, fixture.site, "self");
        mesh.node().count_store().count(mesh.node().count_store().series("a", "c"), counts::Outcome::served);
        for (int i = 0; i < 5000 && mesh.snapshots_written() < 2; ++i)
            fixture.loop.run_once(1ms);
        REQUIRE(mesh.snapshots_written() >= 2);
        number = mesh.node().count_store().self().number;
    }
    const std::string file = fixture.directory + "/counts-self.state";
    {
        Mesh mesh(fixture.loop, fixture.site, "self");
        CHECK(mesh.node().count_store().low_total("a", "c", counts::Outcome::served) == 1);
        CHECK(mesh.node().count_store().self().number > number);
    }
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
    {
        Mesh mesh(fixture.loop, fixture.site, "self");
        CHECK(mesh.node().count_store().life_count() == 1);
        CHECK(std::filesystem::exists(file + ".aside"));
    }
    std::ofstream(file) << "not ours";
    Mesh mesh(fixture.loop, fixture.site, "self");
    CHECK(mesh.node().count_store().life_count() == 1);
}

} // namespace
} // namespace willowrill::gossip
