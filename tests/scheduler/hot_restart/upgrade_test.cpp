// Two runs of one scheduler side by side: what is handed over, and what happens when either dies or hangs.
#include "lab/folder.h"
#include "scheduler/hot_restart/succession.h"
#include "support/sockets.h"

#include <doctest/doctest.h>

#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>

namespace willowrill::testing {
namespace {

using lab::Folder, hot_restart::Succession;

struct FakeRun final : Succession::Run {
    FakeRun(net::Loop& loop, const std::string& door, std::optional<hot_restart::InheritedListener> from)
        : fd(from ? std::move(from->listener) : net::listen_on(*net::Endpoint::parse("127.0.0.1:0"), true)),
          succession(loop, door, std::move(from), *this) {}
    const net::Fd& listener() const override { return fd; }
    std::size_t held() const override { return holds; }
    const std::unordered_set<std::string>& ids() const override { return open; }
    void on_neighbour() override { ++changes; }
    void on_successor(bool serves) override { successor = serves; }

    net::Fd fd;
    std::size_t holds = 100;
    std::unordered_set<std::string> open;
    int changes = 0;
    std::optional<bool> successor;
    Succession succession;
};

std::optional<hot_restart::InheritedListener> ask(net::Loop& loop, const std::string& door,
                                                  const net::Endpoint& address) {
    auto answer = std::async(std::launch::async, [&] { return hot_restart::inherit(door, address, 10s); });
    CHECK(settle(loop, [&] { return answer.wait_for(0s) == std::future_status::ready; }));
    return answer.get();
}

} // namespace

TEST_CASE(
    "upgrade: the listener is handed over with what waits there, and either run grows when it is alone") {
    const Folder folder;
    const std::string door = folder.path + "/door";
    std::ofstream(door) << "stale";
    net::Loop loop;
    auto old_run = std::make_unique<FakeRun>(loop, door, std::nullopt);
    const net::Endpoint address = net::local_address(old_run->fd);
    CHECK_FALSE(hot_restart::inherit(door, address, 10s)); // nobody waits behind a stale file
    old_run->succession.serve();
    old_run->open = {"a"};
    struct stat file {};
    REQUIRE(::stat(door.c_str(), &file) == 0);
    CHECK((file.st_mode & 0777) == 0600);
    const auto waiting = call(loop, address); // in the queue, not accepted

    FakeRun new_run(loop, door, ask(loop, door, address));
    CHECK(new_run.succession.shared());
    CHECK(new_run.succession.neighbour_holds() == 100);
    CHECK(old_run->succession.shared());
    CHECK(old_run->changes > 0); // made room before it told what it holds
    CHECK_FALSE(old_run->succession.succeeded());
    new_run.succession.serve();
    CHECK(settle(loop, [&] { return old_run->succession.succeeded(); }));
    CHECK(old_run->successor == true);
    CHECK(settle(loop, [&] { return new_run.succession.holds("a"); })); // open before the new run came
    old_run->succession.on_message_closed("a");
    old_run->succession.on_message_opened("b");
    new_run.succession.on_message_opened("c");
    CHECK(settle(loop, [&] { return new_run.succession.holds("b") && old_run->succession.holds("c"); }));
    CHECK_FALSE(new_run.succession.holds("a"));
    CHECK_FALSE(new_run.succession.holds("c")); // its own
    old_run->holds = 60;
    CHECK(settle(loop, [&] { return new_run.succession.neighbour_holds() == 60; }));
    old_run.reset(); // and its copy of the listener with it
    CHECK(settle(loop, [&] { return !new_run.succession.shared(); }));
    CHECK(new_run.succession.neighbour_holds() == 0);
    CHECK_FALSE(new_run.succession.holds("b"));
    CHECK(net::accept_from(new_run.fd).valid());
    CHECK(std::filesystem::exists(door)); // it is the new run's by now
}

// A run that is stopped for a while does not read, and its socket takes some hundred words.
TEST_CASE("upgrade: what is told to a run that does not read for a while reaches it all the same") {
    const Folder folder;
    const std::string door = folder.path + "/door";
    net::Loop loop;
    FakeRun old_run(loop, door, std::nullopt);
    old_run.succession.serve();
    for (int i = 0; i < 5000; ++i)
        old_run.open.insert("before " + std::to_string(i));
    FakeRun new_run(loop, door, ask(loop, door, net::local_address(old_run.fd)));
    for (int i = 0; i < 5000; ++i) {
        old_run.succession.on_message_opened("old " + std::to_string(i));
        new_run.succession.on_message_opened("new " + std::to_string(i));
        if (i % 2 == 0) old_run.succession.on_message_closed("old " + std::to_string(i));
    }
    new_run.succession.serve();
    CHECK(settle(loop, [&] { return old_run.successor == true; }));
    const auto all_known = [&] {
        for (int i = 0; i < 5000; ++i) {
            const std::string at = std::to_string(i);
            if (!new_run.succession.holds("before " + at) || !old_run.succession.holds("new " + at) ||
                new_run.succession.holds("old " + at) != (i % 2 != 0))
                return false;
        }
        return true;
    };
    CHECK(settle(loop, all_known));
}

TEST_CASE("upgrade: when the new run dies, the old one serves on and can be succeeded by another") {
    const Folder folder;
    const std::string door = folder.path + "/door";
    net::Loop loop;
    FakeRun old_run(loop, door, std::nullopt);
    const net::Endpoint address = net::local_address(old_run.fd);
    old_run.succession.serve();
    {
        FakeRun dies(loop, door, ask(loop, door, address));
        dies.succession.serve();
        CHECK(settle(loop, [&] { return old_run.succession.succeeded(); }));
    }
    CHECK(settle(loop, [&] { return !old_run.succession.shared(); }));
    CHECK(old_run.successor == false);
    CHECK(ask(loop, door, address));
}

TEST_CASE("upgrade: a predecessor that hangs or holds another address hands over nothing") {
    const Folder folder;
    const std::string door = folder.path + "/door";
    net::Loop loop;
    FakeRun old_run(loop, door, std::nullopt);
    old_run.succession.serve();
    CHECK_FALSE(hot_restart::inherit(door, net::local_address(old_run.fd), 1ms)); // its loop stands still
    CHECK_FALSE(ask(loop, door, *net::Endpoint::parse("127.0.0.1:1")));
    CHECK(net::listen_on(net::local_address(old_run.fd), true).valid()); // the way that is left
    CHECK_FALSE(hot_restart::door_path(std::string(200, 'a').c_str(), {}));
    CHECK_FALSE(hot_restart::door_path(nullptr, {}));
}

} // namespace willowrill::testing
