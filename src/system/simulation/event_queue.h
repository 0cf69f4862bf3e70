// Virtual time and chance: what is due happens in the order of its time, then in the order in which it was
// asked for. One seed replays a whole run.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

namespace willowrill::simulation {

using Time = std::chrono::milliseconds;

class EventQueue {
  public:
    explicit EventQueue(std::uint64_t seed) : random_(seed) {}

    Time now() const { return now_; }

    void after(Time delay, std::function<void()> act) {
        queue_.push({now_ + delay, ++serial_, std::move(act)});
    }

    void run_until(Time end) {
        while (!queue_.empty() && queue_.top().at <= end) {
            const std::function<void()> act = std::move(const_cast<Entry&>(queue_.top()).act);
            now_ = queue_.top().at;
            queue_.pop();
            act();
        }
        now_ = end;
    }

    // In [0, 1).
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    // In [0, below).
    std::int64_t uniform(std::int64_t below) {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(random_);
    }
    std::size_t index(std::size_t size) {
        return static_cast<std::size_t>(uniform(static_cast<std::int64_t>(size)));
    }
    std::uint64_t draw() { return random_(); }

  private:
    struct Entry {
        Time at{0};
        std::uint64_t serial = 0;
        std::function<void()> act;
        bool operator<(const Entry& other) const {
            return std::tie(other.at, other.serial) < std::tie(at, serial);
        }
    };
    Time now_{0};
    std::uint64_t serial_ = 0;
    std::priority_queue<Entry> queue_;
    std::mt19937_64 random_;
};

} // namespace willowrill::simulation
