// A thread with a loop of its own, for all members of one role: the processor time of the role is that of its
// thread. Other threads speak to it by `call` alone.
#pragma once

#include "net/loop.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace willowrill::lab::scale {

class RoleThread {
  public:
    RoleThread();
    ~RoleThread(); // ends the thread; what was built within by `call` is to be gone by then
    RoleThread(const RoleThread&) = delete;
    RoleThread& operator=(const RoleThread&) = delete;

    net::Loop& loop() { return loop_; } // within `call` only

    // Runs it in the thread and gives what it gives. Exceptions come through.
    template <class Action> auto call(Action action) -> decltype(action()) {
        std::packaged_task<decltype(action())()> task(std::move(action));
        auto result = task.get_future();
        {
            const std::lock_guard lock(mutex_);
            tasks_.emplace_back([&task] { task(); });
        }
        return result.get();
    }
    // The thread's processor time so far.
    std::chrono::nanoseconds processor_time();

  private:
    static constexpr std::chrono::milliseconds most_wait{2}; // until a call is seen
    void run();

    net::Loop loop_;
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_; // at most one for each thread that calls
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

} // namespace willowrill::lab::scale
