// How the memory of a process is divided between all that comes in to it: whatever is read beyond a small
// part of each connection is reserved here first. Pure; one thread.
#pragma once

#include "system/budget/byte_budget.h"

#include <cstddef>
#include <memory>

namespace willowrill::budget {

struct InputMemory {
    static constexpr std::size_t bytes_per_mb = 1U << 20U;
    // What is left is for the program, its state, and the small parts of connections.
    static constexpr std::size_t requests_divisor = 2;
    static constexpr std::size_t responses_divisor = 8;
    static constexpr std::size_t peers_divisor = 8;

    explicit InputMemory(std::size_t process_memory_mb)
        : requests(part(process_memory_mb, requests_divisor)),
          responses(part(process_memory_mb, responses_divisor)),
          peers(part(process_memory_mb, peers_divisor)) {}

    std::size_t reserved() const { return requests->reserved() + responses->reserved() + peers->reserved(); }

    // Requests of clients and operators, and buffers of connections: who has no room is rejected.
    std::shared_ptr<ByteBudget> requests;
    // Responses of workers that are held until they are complete: without room they are passed on as they
    // come.
    std::shared_ptr<ByteBudget> responses;
    // Messages of other processes of the system, which requests are not to crowd out.
    std::shared_ptr<ByteBudget> peers;

  private:
    static std::shared_ptr<ByteBudget> part(std::size_t process_memory_mb, std::size_t divisor) {
        return std::make_shared<ByteBudget>(process_memory_mb * bytes_per_mb / divisor);
    }
};

} // namespace willowrill::budget
