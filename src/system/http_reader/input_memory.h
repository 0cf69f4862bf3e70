// What all that comes in to a process may hold together: requests, responses and messages that are being read
// or used.
#pragma once

#include "system/budget/byte_budget.h"

#include <cstddef>
#include <memory>

namespace willowrill::http_reader {

// Of the process's memory; what is left is for the program, the state and small parts of each connection.
inline constexpr std::size_t input_memory_divisor = 2;
// Beside it, for responses that are held until they are complete: without room they are passed on as they
// come.
inline constexpr std::size_t response_memory_divisor = 8;
inline constexpr std::size_t bytes_per_mb = 1U << 20U;

inline std::shared_ptr<budget::ByteBudget> make_input_memory(std::size_t process_memory_mb) {
    return std::make_shared<budget::ByteBudget>(process_memory_mb * bytes_per_mb / input_memory_divisor);
}

inline std::shared_ptr<budget::ByteBudget> make_response_memory(std::size_t process_memory_mb) {
    return std::make_shared<budget::ByteBudget>(process_memory_mb * bytes_per_mb / response_memory_divisor);
}

} // namespace willowrill::http_reader
