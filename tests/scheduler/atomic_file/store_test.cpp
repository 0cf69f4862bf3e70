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

// An in-memory file system that keeps what was written apart from what survives a power loss, and fails or
// throws `Crash` at a chosen call.
struct FakeFileSystem final : FileSystem {
    struct Crash {};
    struct Content {
        Bytes current, durable;
    };

    bool crashes_now() { return ++calls == crash_at; }
    int injected_error() { return calls == fail_at ? EIO : 0; }

    int write(const std::string& path, std::span<const unsigned char> data) override {
        const bool crashed = crashes_now();
        auto& file = names[path];
        if (!file) file = std::make_shared<Content>();
        // A crash during a write leaves a part of the content.
        const std::size_t written = crashed ? data.size() / 2 : data.size();
        file->current.assign(data.begin(), data.begin() + static_cast<std::ptrdiff_t>(written));
        if (crashed) throw Crash();
        return injected_error();
    }
    int sync(const std::string& path) override {
        if (crashes_now()) throw Crash();
        if (injected_error()) return EIO;
        names.at(path)->durable = names.at(path)->current;
        return 0;
    }
    int rename(const std::string& from, const std::string& to) override {
        std::exchange(before_rename, [] {})();
        if (crashes_now()) throw Crash();
        if (injected_error()) return EIO;
        names[to] = names.at(from);
        names.erase(from);
        return 0;
    }
    int sync_directory(const std::string&) override {
        if (crashes_now()) throw Crash();
        if (injected_error()) return EIO;
        durable_names = names;
        return 0;
    }
    int read(const std::string& path, Bytes& content, std::size_t) override {
        if (!names.contains(path)) return ENOENT;
        content = names.at(path)->current;
        return 0;
    }
    // `names_survive`: the system has written the directory entries without `sync_directory`.
    void lose_power(bool names_survive) {
        if (!names_survive) names = durable_names;
        for (auto& [name, file] : names)
            file->current = file->durable;
    }

    std::function<void()> before_rename = [] {};
    int calls = 0, crash_at = -1, fail_at = -1;
    std::map<std::string, std::shared_ptr<Content>> names, durable_names;
};

TEST_CASE("saved content is loaded, also after a power loss") {
    FakeFileSystem file_system;
    AtomicFile file("/d", "f", 1, file_system);
    CHECK(file.load().status == LoadStatus::missing);
    CHECK_FALSE(file.save(bytes("one")));
    file_system.lose_power(false);
    const auto loaded = file.load();
    CHECK(loaded.status == LoadStatus::intact);
    CHECK(loaded.content == bytes("one"));
}

TEST_CASE("a crash or power loss at any call leaves the old or the new content intact") {
    for (const bool power_lost : {false, true}) {
        for (const bool names_survive : {false, true}) {
            for (int call = 1; call <= 4; ++call) {
                CAPTURE(call);
                FakeFileSystem file_system;
                AtomicFile file("/d", "f", 1, file_system);
                REQUIRE_FALSE(file.save(bytes("old")));
                file_system.calls = 0;
                file_system.crash_at = call;
                CHECK_THROWS_AS(file.save(bytes("new one")), FakeFileSystem::Crash);
                file_system.crash_at = -1;
                if (power_lost) file_system.lose_power(names_survive);
                const auto loaded = file.load();
                REQUIRE(loaded.status == LoadStatus::intact);
                CHECK((loaded.content == bytes("old") || loaded.content == bytes("new one")));
                CHECK_FALSE(file.save(bytes("next"))); // leftovers of the crash do not interfere
                CHECK(file.load().content == bytes("next"));
            }
        }
    }
}

TEST_CASE("a failed call is reported with its path, and the old content stays") {
    for (int call = 1; call <= 3; ++call) {
        FakeFileSystem file_system;
        AtomicFile file("/d", "f", 1, file_system);
        REQUIRE_FALSE(file.save(bytes("old")));
        file_system.calls = 0;
        file_system.fail_at = call;
        const auto failed = file.save(bytes("new"));
        REQUIRE(failed);
        CHECK(failed->find("/d") != std::string::npos);
        CHECK(file.load().content == bytes("old"));
    }
}

// During an upgrade two processes of one instance write the same file. With a shared temporary name, one
// process renames the file that the other has just truncated, and a crash of the other destroys the old
// content too.
TEST_CASE("two processes that save the same file leave it intact") {
    FakeFileSystem file_system;
    AtomicFile first("/d", "f", 1, file_system), second("/d", "f", 1, file_system);
    REQUIRE_FALSE(first.save(bytes("old")));
    file_system.before_rename = [&] {
        file_system.calls = 0;
        file_system.crash_at = 1;
        CHECK_THROWS_AS(second.save(bytes("of the other")), FakeFileSystem::Crash);
        file_system.crash_at = -1;
    };
    first.save(bytes("new"));
    CHECK(first.load().status == LoadStatus::intact);
}

TEST_CASE(
    "two real processes, one of them killed while it saves, leave an intact file and no temporary files") {
    const lab::Folder folder_guard;
    const std::string& folder = folder_guard.path;
    FileSystem file_system;
    const Bytes large(1U << 20U, 'x');
    REQUIRE_FALSE(AtomicFile(folder, "f", 1, file_system).save(large));
    for (int round = 0; round < 10; ++round) {
        std::array<int, 2> ready{};
        REQUIRE(::pipe(ready.data()) == 0);
        const pid_t child = ::fork();
        if (child == 0) { // writes until it is killed
            FileSystem child_file_system;
            AtomicFile file(folder, "f", 1, child_file_system);
            file.save(large);
            if (::write(ready[1], "r", 1) != 1) ::_exit(1);
            for (;;)
                file.save(large);
        }
        char ready_byte = 0;
        CHECK(::read(ready[0], &ready_byte, 1) == 1);
        AtomicFile parent_file(folder, "f", 1, file_system);
        for (int i = 0; i < 3 + round; ++i)
            CHECK_FALSE(parent_file.save(large));
        ::kill(child, SIGKILL);
        ::waitpid(child, nullptr, 0);
        ::close(ready[0]);
        ::close(ready[1]);
        const auto loaded = parent_file.load();
        CHECK(loaded.status == LoadStatus::intact);
        CHECK(loaded.content == large);
    }
    CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 1); // no temporary files
}

TEST_CASE("corrupt, unrecognized and newer files are distinguished, renamed and named in the message") {
    const Bytes intact = pack(bytes("content"), 1);
    const auto status_of = [](const Bytes& packed) {
        std::span<const unsigned char> content;
        return unpack(packed, 1, content);
    };
    CHECK(status_of(intact) == LoadStatus::intact);
    for (std::size_t size = 1; size < intact.size(); ++size)
        CHECK(status_of(Bytes(intact.begin(), intact.begin() + static_cast<std::ptrdiff_t>(size))) ==
              LoadStatus::corrupt);
    for (std::size_t position = 8; position < intact.size(); ++position) {
        Bytes flipped = intact;
        flipped[position] ^= 1U;
        const LoadStatus status = status_of(flipped);
        CHECK((status == LoadStatus::corrupt || status == LoadStatus::newer_format));
    }
    CHECK(status_of({}) == LoadStatus::unrecognized);
    CHECK(status_of(bytes("{\"json\": true, \"long enough for a head\": 1}")) == LoadStatus::unrecognized);
    CHECK(status_of(pack(bytes("x"), 2)) == LoadStatus::newer_format);

    FakeFileSystem file_system;
    AtomicFile file("/d", "f", 1, file_system);
    file_system.write("/d/f", bytes("something else"));
    const auto loaded = file.load();
    CHECK(loaded.status == LoadStatus::unrecognized);
    CHECK(loaded.message.find("foreign") != std::string::npos);
    CHECK(file_system.names.contains("/d/f.aside")); // kept for inspection
    CHECK(file.load().status == LoadStatus::missing);
}

} // namespace
} // namespace willowrill::atomic_file
