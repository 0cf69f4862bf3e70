// Two runs of one scheduler at an upgrade. The new run takes the listener over from the old one, so that no
// connection that waits there is lost, and both stay within the limits of one.
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

// Where a run of the scheduler at this address waits for its successor. None without a folder, or where the
// path would be too long for a socket.
std::optional<std::string> door_path(const char* folder, const net::Endpoint& listen);

// What a predecessor hands over.
struct InheritedListener {
    net::Fd listener, link;
    std::size_t held = 0; // descriptors that it keeps for itself
};

// Asks the run that waits there. One that has died or does not answer within `at_most` hands over nothing.
std::optional<InheritedListener> inherit(const std::string& path, const net::Endpoint& listen,
                                         net::Duration at_most);

class Succession final : public core::PeerProcess {
  public:
    // The run that this is part of.
    class Run {
      public:
        virtual ~Run() = default;
        virtual const net::Fd& listener() const = 0;
        virtual std::size_t held() const = 0; // descriptors that it needs at most while another run lives
        virtual const std::unordered_set<std::string>& ids() const = 0; // of messages
        virtual void on_neighbour() = 0;            // another run came or went, or holds less
        virtual void on_successor(bool serves) = 0; // it accepts from now on, or is gone
    };

    Succession(net::Loop& loop, std::optional<std::string> path, std::optional<InheritedListener> inheritance,
               Run& run);
    ~Succession() override;

    void serve(); // tells the predecessor, and waits for a successor
    bool shared() const { return before_.fd.valid() || after_.fd.valid(); } // another run lives
    bool succeeded() const { return after_serves_; }
    std::size_t neighbour_holds() const { return neighbour_holds_; } // that of a predecessor

    void on_message_opened(const std::string& id) override { tell(id, true); }
    void on_message_closed(const std::string& id) override { tell(id, false); }
    bool holds(const std::string& id) const override;

  private:
    struct End final : net::Pollable {
        void on_ready(short events) override {
            if ((events & POLLOUT) != 0) room();
            if ((events & ~POLLOUT) != 0) action();
        }
        net::Fd fd{};
        std::function<void()> action{}, room{};
        std::unordered_set<std::uint64_t> ids{}; // of messages there, as hashes
        // Words it had no room for: of each message the last (at most as many as were open at once while it
        // did not read, and as they ended), and that this run serves.
        std::unordered_map<std::uint64_t, bool> late{};
        bool late_serves = false;
    };

    void open_door();
    void close_door();
    void watch(End& end);
    void close(End& end);
    void on_knock();
    void on_news_from_predecessor();
    void on_news_from_successor();
    std::optional<std::uint64_t> read(End& end, std::uint32_t wanted, bool& gone);
    void tell_held();
    void tell(const std::string& id, bool open);
    void tell_late(End& end);

    net::Loop& loop_;
    std::optional<std::string> path_;
    Run& run_;
    End door_, before_, after_;
    ino_t door_inode_ = 0;
    bool after_serves_ = false;
    std::size_t neighbour_holds_ = 0, reported_ = 0;
    net::Timer tell_;
};

} // namespace willowrill::hot_restart
