// The carrier on loopback: what it drops, by cause; and what it does with its address and its file.
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

struct Rig {
    Rig() {
        std::string name = "/tmp/willowrill-mesh-XXXXXX";
        if (::mkdtemp(name.data()) != nullptr) folder = name;
        own.address.sin_family = AF_INET;
        out = net::Fd(::socket(AF_INET, SOCK_DGRAM, 0));
        own = *net::Endpoint::parse("127.0.0.1:0");
        REQUIRE(::bind(out.get(), reinterpret_cast<const sockaddr*>(&own.address), sizeof own.address) == 0);
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
    ~Rig() { std::filesystem::remove_all(folder); }
    static operator_config::Secret secret(unsigned char fill) {
        operator_config::Secret out{};
        out.fill(fill);
        return out;
    }
    static Sealer sealer(std::uint32_t id, unsigned char fill) {
        return Sealer(std::vector<Key>{{id, secret(fill)}});
    }
    // A word that would make a member known, were it taken.
    Frame frame(std::uint64_t count, net::Duration sent_ahead = 0s) const {
        const swim::Address address{0x7f000001, 9};
        return {77, count, loop.now() + sent_ahead,
                swim::Message{.kind = swim::MessageKind::sync, .updates = {{{"other", 77}, address}}}};
    }
    void send(Mesh& mesh, const Bytes& datagram) {
        const net::Endpoint to = mesh.address();
        const std::uint64_t before = mesh.counters().received;
        ::sendto(out.get(), datagram.data(), datagram.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to.address), sizeof to.address);
        for (int i = 0; i < 2000 && mesh.counters().received == before; ++i)
            loop.run_once(1ms);
        REQUIRE(mesh.counters().received == before + 1);
    }
    static std::uint64_t dropped(const Mesh& mesh, DropReason cause) {
        return mesh.counters().dropped[static_cast<std::size_t>(cause)];
    }

    net::Loop loop;
    net::Fd out;
    net::Endpoint own;
    operator_config::Site site;
    std::string folder;
};

TEST_CASE(
    "what is malformed, forged, foreign, old or a replay changes nothing, and is counted by its cause") {
    Rig rig;
    Mesh mesh(rig.loop, rig.site, "self");
    const Sealer good = Rig::sealer(5, 1);
    std::uint64_t all = 0;
    const auto drops = [&](DropReason cause, const Bytes& datagram) {
        const std::uint64_t before = Rig::dropped(mesh, cause);
        rig.send(mesh, datagram);
        std::uint64_t sum = 0;
        for (const std::uint64_t one : mesh.counters().dropped)
            sum += one;
        CHECK(sum == ++all);
        CHECK(Rig::dropped(mesh, cause) == before + 1);
        CHECK(mesh.node().members().others().empty());
    };
    drops(DropReason::malformed, Bytes(10, 'x'));
    drops(DropReason::malformed, good.seal(Bytes(100, 0)));
    drops(DropReason::forged, Rig::sealer(5, 2).seal(encode(rig.frame(1))));
    drops(DropReason::unknown_key, Rig::sealer(6, 1).seal(encode(rig.frame(1))));
    Bytes newer = good.seal(encode(rig.frame(1)));
    newer[1] = 9;
    drops(DropReason::unknown_format, newer);
    drops(DropReason::too_old, good.seal(encode(rig.frame(1, -31s))));
    drops(DropReason::too_old, good.seal(encode(rig.frame(1, 31s))));
    Frame own = rig.frame(1);
    own.life = mesh.node().members().self().id.life;
    drops(DropReason::own, good.seal(encode(own)));
    rig.site.mesh->networks = {};
    rig.site.mesh->networks.add("10.0.0.0/8");
    mesh.update_settings(rig.site);
    drops(DropReason::foreign_network, good.seal(encode(rig.frame(1))));
    rig.site.mesh->networks.add("127.0.0.0/8");
    mesh.update_settings(rig.site);

    const Bytes taken = good.seal(encode(rig.frame(1)));
    rig.send(mesh, taken);
    CHECK(mesh.node().members().others().size() == 1);
    rig.send(mesh, taken);
    CHECK(Rig::dropped(mesh, DropReason::replayed) == 1);
}

TEST_CASE("a second run of one instance waits for the address, and has what the first one wrote last") {
    Rig rig;
    rig.site.state_dir = rig.folder;
    auto first = std::make_unique<Mesh>(rig.loop, rig.site, "self");
    rig.site.mesh->listen = rig.site.mesh->advertise = first->address();
    CHECK_THROWS_AS(Mesh(rig.loop, rig.site, "self"), std::system_error); // no upgrade: an error at the start
    Mesh second(rig.loop, rig.site, "self", true);
    CHECK_FALSE(second.is_open());
    CHECK(second.node().count_store().self().number > 0);
    first->node().count_store().count(first->node().count_store().series("a", "c"), counts::Outcome::served);
    second.node().count_store().count(second.node().count_store().series("a", "c"), counts::Outcome::served);
    bool gone = false;
    first->leave([&] { gone = true; });
    for (int i = 0; i < 5000 && !gone; ++i)
        rig.loop.run_once(1ms);
    REQUIRE(gone);
    first.reset();
    for (int i = 0; i < 5000 && !second.is_open(); ++i)
        rig.loop.run_once(1ms);
    REQUIRE(second.is_open());
    CHECK(second.node().count_store().low_total("a", "c", counts::Outcome::served) == 2);
}

// The one place where two threads of the program meet; `.ci/run` runs it under ThreadSanitizer, too.
TEST_CASE("snapshots: given faster than they are written, the one taken last is on disk at the end") {
    Rig rig;
    std::uint64_t taken = 0;
    {
        SnapshotStore snapshots(rig.folder, "self");
        std::uint64_t seen = 0;
        for (std::uint64_t number = 1; number <= 300; ++number) {
            if (snapshots.save({.instance = "self", .number = number})) taken = number;
            CHECK(snapshots.written() >= std::exchange(seen, snapshots.written()));
            CHECK_FALSE(snapshots.take_failure());
        }
    } // writes what it was given last
    std::string note;
    SnapshotStore snapshots(rig.folder, "self");
    const auto loaded = snapshots.load(note);
    REQUIRE(loaded);
    CHECK(loaded->number == taken);
    std::filesystem::remove_all(rig.folder); // as good as a full one
    while (!snapshots.save({.instance = "self", .number = 1})) {
    }
    std::optional<std::string> failure;
    for (int i = 0; i < 20000 && !failure; ++i) {
        rig.loop.run_once(1ms);
        failure = snapshots.take_failure();
    }
    REQUIRE(failure);
    CHECK(failure->find("cannot write") != std::string::npos);
    CHECK_FALSE(snapshots.take_failure()); // told once
}

TEST_CASE("a torn or foreign file is put aside, and the instance goes on without") {
    Rig rig;
    rig.site.state_dir = rig.folder;
    std::uint64_t number = 0;
    {
        Mesh mesh(rig.loop, rig.site, "self");
        mesh.node().count_store().count(mesh.node().count_store().series("a", "c"), counts::Outcome::served);
        for (int i = 0; i < 5000 && mesh.snapshots_written() < 2; ++i)
            rig.loop.run_once(1ms);
        REQUIRE(mesh.snapshots_written() >= 2);
        number = mesh.node().count_store().self().number;
    }
    const std::string file = rig.folder + "/counts-self.state";
    {
        Mesh mesh(rig.loop, rig.site, "self");
        CHECK(mesh.node().count_store().low_total("a", "c", counts::Outcome::served) == 1);
        CHECK(mesh.node().count_store().self().number > number);
    }
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
    {
        Mesh mesh(rig.loop, rig.site, "self");
        CHECK(mesh.node().count_store().life_count() == 1);
        CHECK(std::filesystem::exists(file + ".aside"));
    }
    std::ofstream(file) << "not ours";
    Mesh mesh(rig.loop, rig.site, "self");
    CHECK(mesh.node().count_store().life_count() == 1);
}

} // namespace
} // namespace willowrill::gossip
