// Hot restart: during an upgrade the new process of a scheduler inherits the listening socket from the old
// one, so that no queued connection is lost, and both together stay within the limits of one process.
#pragma once

#include "scheduler/core/host.h"
#include "scheduler/net/loop.h"
#include "scheduler/net/socket.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace willowrill::hot_restart {

// The Unix socket at which the scheduler that listens on `listen` waits for its successor. None if
// `directory` is null or empty, or if the path would be too long for a socket.
std::optional<std::string> handover_socket_path(const char* directory, const net::Endpoint& listen);

// What a predecessor hands over: the listener, and the connection that both processes keep open.
struct InheritedListener {
    net::Fd listener, connection;
    std::size_t reserved_descriptors = 0; // that the predecessor keeps for itself
};

// Asks the process that listens at `path` for its listener. Returns nothing if there is no such process, or
// if it does not answer within `timeout` or listens on another address. Blocks the calling thread.
std::optional<InheritedListener> request_listener(const std::string& path, const net::Endpoint& listen,
                                                  net::Duration timeout);

// Connects this process with its predecessor and its successor. It reports to both which messages are open
// here, so that no message is accepted twice.
class HotRestart final : public core::PeerProcess {
  public:
    // The process that takes part in the hot restart.
    class Delegate {
      public:
        virtual ~Delegate() = default;
        virtual const net::Fd& listener() const = 0;
        // The most descriptors that this process needs while another one is running.
        virtual std::size_t required_descriptors() const = 0;
        virtual const std::unordered_set<std::string>& message_ids() const = 0; // of open messages
        // Another process connected or disconnected, or reports another number of descriptors. Also called
        // before this process reports its own.
        virtual void on_peer_changed() = 0;
        // The successor accepts connections from now on, or has disconnected.
        virtual void on_successor_changed(bool serves) = 0;
    };

    HotRestart(net::Loop& loop, std::optional<std::string> path, std::optional<InheritedListener> inherited,
               Delegate& delegate);
    ~HotRestart() override;

    // Tells the predecessor that this process accepts connections, and listens for a successor.
    void start_serving();
    bool has_peer() const { return predecessor_.fd.valid() || successor_.fd.valid(); }
    bool successor_serves() const { return successor_serves_; }
    std::size_t predecessor_descriptors() const { return predecessor_descriptors_; } // 0 without one

    void on_message_opened(const std::string& id) override { notify_peers(id, true); }
    void on_message_closed(const std::string& id) override { notify_peers(id, false); }
    bool holds(const std::string& id) const override;

  private:
    struct Channel final : net::Pollable {
        void on_ready(short events) override {
            if ((events & POLLOUT) != 0) on_writable();
            if ((events & ~POLLOUT) != 0) on_readable();
        }
        net::Fd fd{};
        std::function<void()> on_readable{}, on_writable{};
        std::unordered_set<std::uint64_t> message_ids{}; // open in the peer, as hashes
        // Records that the socket could not take: for each message the last one (true: opened), and whether
        // the notice that this process serves is still to be sent. There is at most one record for each
        // message that was open, or was closed, while the peer did not read.
        std::unordered_map<std::uint64_t, bool> pending{};
        bool pending_serving = false;
    };

    void open_listening_channel();
    void close_listening_channel();
    void watch(Channel& channel);
    void close(Channel& channel);
    void on_connect();
    void on_predecessor_readable();
    void on_successor_readable();
    std::optional<std::uint64_t> receive(Channel& channel, std::uint32_t wanted_kind, bool& disconnected);
    void report_descriptors();
    void notify_peers(const std::string& id, bool open);
    void send_pending(Channel& channel);

    net::Loop& loop_;
    std::optional<std::string> path_;
    Delegate& delegate_;
    Channel listening_channel_, predecessor_, successor_;
    ino_t socket_inode_ = 0;
    bool successor_serves_ = false;
    std::size_t predecessor_descriptors_ = 0, reported_descriptors_ = 0;
    net::Timer report_timer_;
};

} // namespace willowrill::hot_restart
