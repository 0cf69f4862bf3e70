#include "lab/folder.h"
#include "scheduler/atomic_file/store.h"

#include <doctest/doctest.h>

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <utility>

namespace willowrill::atomic_file {
namespace {

Bytes bytes(const std::string& text) { return {text.begin(), text.end()}; }

// A disk in memory that tells what was written from what would survive the loss of power, and dies at a
// chosen call.
struct Fake final : FileSystem {
    struct Death {};
    struct Content {
        Bytes now, on_disk;
    };

    bool dies() { return ++calls == die_at; }
    int fails() { return calls == fail_at ? EIO : 0; }

    int write(const std::string& path, std::span<const unsigned char> data) override {
        const bool dead = dies();
        auto& file = names[path];
        if (!file) file = std::make_shared<Content>();
        // A death in the middle of a write leaves some of it.
        const std::size_t done = dead ? data.size() / 2 : data.size();
        file->now.assign(data.begin(), data.begin() + static_cast<std::ptrdiff_t>(done));
        if (dead) throw Death();
        return fails();
    }
    int sync(const std::string& path) override {
        if (dies()) throw Death();
        if (fails()) return EIO;
        names.at(path)->on_disk = names.at(path)->now;
        return 0;
    }
    int rename(const std::string& from, const std::string& to) override {
        std::exchange(before_rename, [] {})();
        if (dies()) throw Death();
        if (fails()) return EIO;
        names[to] = names.at(from);
        names.erase(from);
        return 0;
    }
    int sync_folder(const std::string&) override {
        if (dies()) throw Death();
        if (fails()) return EIO;
        names_on_disk = names;
        return 0;
    }
    int read(const std::string& path, Bytes& into, std::size_t) override {
        if (!names.contains(path)) return ENOENT;
        into = names.at(path)->now;
        return 0;
    }
    // `names_survive`: the system wrote the folder's names by itself before the power went.
    void lose_power(bool names_survive) {
        if (!names_survive) names = names_on_disk;
        for (auto& [name, file] : names)
            file->now = file->on_disk;
    }

    std::function<void()> before_rename = [] {};
    int calls = 0, die_at = -1, fail_at = -1;
    std::map<std::string, std::shared_ptr<Content>> names, names_on_disk;
};

TEST_CASE("what was saved is read, and again after the loss of power") {
    Fake disk;
    AtomicFile store("/d", "f", 1, disk);
    CHECK(store.load().status == LoadStatus::missing);
    CHECK_FALSE(store.save(bytes("one")));
    disk.lose_power(false);
    const auto loaded = store.load();
    CHECK(loaded.status == LoadStatus::intact);
    CHECK(loaded.content == bytes("one"));
}

TEST_CASE("a death between any two calls, with or without power, leaves the old or the new, whole") {
    for (const bool power_lost : {false, true}) {
        for (const bool names_survive : {false, true}) {
            for (int at = 1; at <= 4; ++at) {
                CAPTURE(at);
                Fake disk;
                AtomicFile store("/d", "f", 1, disk);
                REQUIRE_FALSE(store.save(bytes("old")));
                disk.calls = 0;
                disk.die_at = at;
                CHECK_THROWS_AS(store.save(bytes("new one")), Fake::Death);
                disk.die_at = -1;
                if (power_lost) disk.lose_power(names_survive);
                const auto loaded = store.load();
                REQUIRE(loaded.status == LoadStatus::intact);
                CHECK((loaded.content == bytes("old") || loaded.content == bytes("new one")));
                CHECK_FALSE(store.save(bytes("next"))); // what the dead one left is in nobody's way
                CHECK(store.load().content == bytes("next"));
            }
        }
    }
}

TEST_CASE("a call that fails is told in a sentence, and the old stays") {
    for (int at = 1; at <= 3; ++at) {
        Fake disk;
        AtomicFile store("/d", "f", 1, disk);
        REQUIRE_FALSE(store.save(bytes("old")));
        disk.calls = 0;
        disk.fail_at = at;
        const auto failed = store.save(bytes("new"));
        REQUIRE(failed);
        CHECK(failed->find("/d") != std::string::npos);
        CHECK(store.load().content == bytes("old"));
    }
}

// Two runs at an upgrade have one folder and one instance's name. They wrote to one temporary name, and the
// death of one while the other renamed took the old content with it.
TEST_CASE("two processes that write one file leave it whole") {
    Fake disk;
    AtomicFile one("/d", "f", 1, disk), two("/d", "f", 1, disk);
    REQUIRE_FALSE(one.save(bytes("old")));
    disk.before_rename = [&] {
        disk.calls = 0;
        disk.die_at = 1;
        CHECK_THROWS_AS(two.save(bytes("of the other")), Fake::Death);
        disk.die_at = -1;
    };
    one.save(bytes("new"));
    CHECK(one.load().status == LoadStatus::intact);
}

TEST_CASE(
    "two real processes, one of them killed while it writes, leave a file whole and nothing beside it") {
    const lab::Folder own;
    const std::string& folder = own.path;
    FileSystem disk;
    const Bytes large(1U << 20U, 'x');
    REQUIRE_FALSE(AtomicFile(folder, "f", 1, disk).save(large));
    for (int round = 0; round < 10; ++round) {
        std::array<int, 2> ready{};
        REQUIRE(::pipe(ready.data()) == 0);
        const pid_t child = ::fork();
        if (child == 0) { // writes until it is killed
            FileSystem its_own;
            AtomicFile store(folder, "f", 1, its_own);
            store.save(large);
            if (::write(ready[1], "r", 1) != 1) ::_exit(1);
            for (;;)
                store.save(large);
        }
        char word = 0;
        CHECK(::read(ready[0], &word, 1) == 1);
        AtomicFile here(folder, "f", 1, disk);
        for (int i = 0; i < 3 + round; ++i)
            CHECK_FALSE(here.save(large));
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        ::close(ready[0]);
        ::close(ready[1]);
        const auto loaded = here.load();
        CHECK(loaded.status == LoadStatus::intact);
        CHECK(loaded.content == large);
    }
    CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 1); // the file alone
}

TEST_CASE("torn, foreign and newer files are told apart, put aside and named") {
    const Bytes good = pack(bytes("content"), 1);
    const auto found = [](const Bytes& file) {
        std::span<const unsigned char> content;
        return unpack(file, 1, content);
    };
    CHECK(found(good) == LoadStatus::intact);
    for (std::size_t size = 1; size < good.size(); ++size)
        CHECK(found(Bytes(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(size))) ==
              LoadStatus::corrupt);
    for (std::size_t at = 8; at < good.size(); ++at) {
        Bytes flipped = good;
        flipped[at] ^= 1U;
        const LoadStatus what = found(flipped);
        CHECK((what == LoadStatus::corrupt || what == LoadStatus::newer_format));
    }
    CHECK(found({}) == LoadStatus::unrecognized);
    CHECK(found(bytes("{\"json\": true, \"long enough for a head\": 1}")) == LoadStatus::unrecognized);
    CHECK(found(pack(bytes("x"), 2)) == LoadStatus::newer_format);

    Fake disk;
    AtomicFile store("/d", "f", 1, disk);
    disk.write("/d/f", bytes("something else"));
    const auto loaded = store.load();
    CHECK(loaded.status == LoadStatus::unrecognized);
    CHECK(loaded.message.find("foreign") != std::string::npos);
    CHECK(disk.names.contains("/d/f.aside")); // nothing is destroyed
    CHECK(store.load().status == LoadStatus::missing);
}

} // namespace
} // namespace willowrill::atomic_file
