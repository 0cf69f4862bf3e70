#include "system/control/replica_store_thread.h"

#include "system/logging/log.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds reopen_period{500};

} // namespace

// State shared by the thread and the event loop. Owned by both, so that it outlives the `ReplicaStoreThread`
// if a disk operation does not return.
struct ReplicaStoreThread::Shared {
    std::mutex mutex;
    std::condition_variable wakeup;
    std::deque<replication::Save> requests; // bounded: the replica sends no requests to an unresponsive disk
    asio::io_context* loop = nullptr;       // null once the `ReplicaStoreThread` is destroyed
    std::filesystem::path folder;
    OnEvent on_event; // accessed on the event loop's thread only

    void post_event(const std::shared_ptr<Shared>& self, replication::Event event) {
        const std::lock_guard lock(mutex);
        if (loop == nullptr) return;
        asio::post(*loop, [self, event = std::move(event)] {
            if (self->on_event) self->on_event(event);
        });
    }

    // Waits for the next request. Returns nullopt once the `ReplicaStoreThread` is destroyed.
    std::optional<replication::Save> wait_for_request() {
        std::unique_lock lock(mutex);
        wakeup.wait(lock, [this] { return loop == nullptr || !requests.empty(); });
        if (loop == nullptr) return std::nullopt;
        replication::Save request = std::move(requests.front());
        requests.pop_front();
        return request;
    }

    // Waits for `reopen_period`. Returns false if the `ReplicaStoreThread` is destroyed meanwhile.
    bool wait_before_reopen() {
        std::unique_lock lock(mutex);
        return !wakeup.wait_for(lock, reopen_period, [this] { return loop == nullptr; });
    }

    std::unique_ptr<ReplicaStore> open() {
        for (std::string last_error;;) {
            auto store = ReplicaStore::open(folder);
            if (store) return std::move(store.value());
            if (std::exchange(last_error, store.error().detail) != store.error().detail)
                logging::error("disk-unusable").text("detail", last_error);
            if (!wait_before_reopen()) return nullptr;
        }
    }

    static void run(const std::shared_ptr<Shared>& self) {
        const std::unique_ptr<ReplicaStore> store = self->folder.empty() ? nullptr : self->open();
        if (!store && !self->folder.empty()) return;
        self->post_event(self, store ? store->load() : replication::Loaded{});
        while (const auto request = self->wait_for_request()) {
            if (!store || store->save(*request))
                self->post_event(self, replication::Saved{request->save_id});
            else
                self->post_event(self, replication::SaveFailed{request->save_id});
        }
    }
};

ReplicaStoreThread::ReplicaStoreThread(asio::io_context& loop, std::filesystem::path folder, OnEvent on_event)
    : shared_(std::make_shared<Shared>()) {
    shared_->loop = &loop;
    shared_->folder = std::move(folder);
    shared_->on_event = std::move(on_event);
    std::thread(Shared::run, shared_).detach();
}

ReplicaStoreThread::~ReplicaStoreThread() {
    const std::lock_guard lock(shared_->mutex);
    shared_->loop = nullptr;
    shared_->on_event = nullptr;
    shared_->wakeup.notify_all();
}

void ReplicaStoreThread::save(replication::Save request) {
    const std::lock_guard lock(shared_->mutex);
    shared_->requests.push_back(std::move(request));
    shared_->wakeup.notify_all();
}

} // namespace willowrill::control
