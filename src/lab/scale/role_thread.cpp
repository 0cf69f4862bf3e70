#include "lab/scale/role_thread.h"

#include <ctime>

namespace willowrill::lab::scale {

RoleThread::RoleThread() : thread_([this] { run(); }) {}

RoleThread::~RoleThread() {
    stopped_ = true;
    thread_.join();
}

void RoleThread::run() {
    while (!stopped_) {
        loop_.run_once(most_wait);
        std::vector<std::function<void()>> tasks;
        {
            const std::lock_guard lock(mutex_);
            tasks.swap(tasks_);
        }
        for (const auto& task : tasks)
            task();
    }
}

std::chrono::nanoseconds RoleThread::processor_time() {
    return call([] {
        timespec spent{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
    });
}

} // namespace willowrill::lab::scale
