// Hot restart with two processes of one scheduler: what is handed over, and how either copes when the other
// crashes or hangs.
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

using lab::Folder, hot_restart::HotRestart;

struct FakeProcess final : HotRestart::Delegate {
    FakeProcess(net::Loop& loop, const std::string& socket_path,
                std::optional<hot_restart::InheritedListener> inherited)
        : fd(inherited ? std::move(inherited->listener)
                       : net::listen_on(*net::Endpoint::parse("127.0.0.1:0"), true)),
          restart(loop, socket_path, std::move(inherited), *this) {}
    const net::Fd& listener() const override { return fd; }
    std::size_t required_descriptors() const override { return descriptors; }
    const std::unordered_set<std::string>& message_ids() const override { return open_messages; }
    void on_peer_changed() override { ++peer_changes; }
    void on_successor_changed(bool serves) override { successor_serves = serves; }

    net::Fd fd;
    std::size_t descriptors = 100;
    std::unordered_set<std::string> open_messages;
    int peer_changes = 0;
    std::optional<bool> successor_serves;
    HotRestart restart;
};

std::optional<hot_restart::InheritedListener>
request_listener_from(net::Loop& loop, const std::string& socket_path, const net::Endpoint& address) {
    auto listener = std::async(std::launch::async,
                               [&] { return hot_restart::request_listener(socket_path, address, 10s); });
    CHECK(run_until(loop, [&] { return listener.wait_for(0s) == std::future_status::ready; }));
    return listener.get();
}

} // namespace

TEST_CASE("upgrade: the listener is handed over with its queued connections, and limits grow once a process "
          "is alone") {
    const Folder folder;
    const std::string socket_path = folder.path + "/door";
    std::ofstream(socket_path) << "stale";
    net::Loop loop;
    auto old_process = std::make_unique<FakeProcess>(loop, socket_path, std::nullopt);
    const net::Endpoint address = net::local_address(old_process->fd);
    CHECK_FALSE(
        hot_restart::request_listener(socket_path, address, 10s)); // a stale file, no listening socket
    old_process->restart.start_serving();
    old_process->open_messages = {"a"};
    struct stat socket_status {};
    REQUIRE(::stat(socket_path.c_str(), &socket_status) == 0);
    CHECK((socket_status.st_mode & 0777) == 0600);
    const auto waiting = connect_peer(loop, address); // in the queue, not accepted

    FakeProcess new_process(loop, socket_path, request_listener_from(loop, socket_path, address));
    CHECK(new_process.restart.has_peer());
    CHECK(new_process.restart.predecessor_descriptors() == 100);
    CHECK(old_process->restart.has_peer());
    CHECK(old_process->peer_changes > 0); // reduced its limits before it reported its descriptors
    CHECK_FALSE(old_process->restart.successor_serves());
    new_process.restart.start_serving();
    CHECK(run_until(loop, [&] { return old_process->restart.successor_serves(); }));
    CHECK(old_process->successor_serves == true);
    CHECK(run_until(
        loop, [&] { return new_process.restart.holds("a"); })); // opened before the new process connected
    old_process->restart.on_message_closed("a");
    old_process->restart.on_message_opened("b");
    new_process.restart.on_message_opened("c");
    CHECK(run_until(loop, [&] { return new_process.restart.holds("b") && old_process->restart.holds("c"); }));
    CHECK_FALSE(new_process.restart.holds("a"));
    CHECK_FALSE(new_process.restart.holds("c")); // its own message
    old_process->descriptors = 60;
    CHECK(run_until(loop, [&] { return new_process.restart.predecessor_descriptors() == 60; }));
    old_process.reset(); // also closes its copy of the listener
    CHECK(run_until(loop, [&] { return !new_process.restart.has_peer(); }));
    CHECK(new_process.restart.predecessor_descriptors() == 0);
    CHECK_FALSE(new_process.restart.holds("b"));
    CHECK(net::accept_from(new_process.fd).valid());
    CHECK(std::filesystem::exists(socket_path)); // now the new process's socket
}

// A stopped process does not read, and its socket buffer holds only some hundred records.
TEST_CASE("upgrade: records for a process that does not read for a while are delivered later") {
    const Folder folder;
    const std::string socket_path = folder.path + "/door";
    net::Loop loop;
    FakeProcess old_process(loop, socket_path, std::nullopt);
    old_process.restart.start_serving();
    for (int i = 0; i < 5000; ++i)
        old_process.open_messages.insert("before " + std::to_string(i));
    FakeProcess new_process(loop, socket_path,
                            request_listener_from(loop, socket_path, net::local_address(old_process.fd)));
    for (int i = 0; i < 5000; ++i) {
        old_process.restart.on_message_opened("old " + std::to_string(i));
        new_process.restart.on_message_opened("new " + std::to_string(i));
        if (i % 2 == 0) old_process.restart.on_message_closed("old " + std::to_string(i));
    }
    new_process.restart.start_serving();
    CHECK(run_until(loop, [&] { return old_process.successor_serves == true; }));
    const auto all_known = [&] {
        for (int i = 0; i < 5000; ++i) {
            const std::string at = std::to_string(i);
            if (!new_process.restart.holds("before " + at) || !old_process.restart.holds("new " + at) ||
                new_process.restart.holds("old " + at) != (i % 2 != 0))
                return false;
        }
        return true;
    };
    CHECK(run_until(loop, all_known));
}

TEST_CASE("upgrade: when the new process dies, the old one goes on serving and accepts another successor") {
    const Folder folder;
    const std::string socket_path = folder.path + "/door";
    net::Loop loop;
    FakeProcess old_process(loop, socket_path, std::nullopt);
    const net::Endpoint address = net::local_address(old_process.fd);
    old_process.restart.start_serving();
    {
        FakeProcess short_lived(loop, socket_path, request_listener_from(loop, socket_path, address));
        short_lived.restart.start_serving();
        CHECK(run_until(loop, [&] { return old_process.restart.successor_serves(); }));
    }
    CHECK(run_until(loop, [&] { return !old_process.restart.has_peer(); }));
    CHECK(old_process.successor_serves == false);
    CHECK(request_listener_from(loop, socket_path, address));
}

TEST_CASE("upgrade: a predecessor that hangs or listens on another address hands over nothing") {
    const Folder folder;
    const std::string socket_path = folder.path + "/door";
    net::Loop loop;
    FakeProcess old_process(loop, socket_path, std::nullopt);
    old_process.restart.start_serving();
    CHECK_FALSE(hot_restart::request_listener(socket_path, net::local_address(old_process.fd),
                                              1ms)); // its event loop does not run
    CHECK_FALSE(request_listener_from(loop, socket_path, *net::Endpoint::parse("127.0.0.1:1")));
    CHECK(net::listen_on(net::local_address(old_process.fd), true)
              .valid()); // SO_REUSEPORT still allows a second listener
    CHECK_FALSE(hot_restart::handover_socket_path(std::string(200, 'a').c_str(), {}));
    CHECK_FALSE(hot_restart::handover_socket_path(nullptr, {}));
}

} // namespace willowrill::testing
