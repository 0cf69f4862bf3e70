// Bytes from anywhere as a state file, and behind a good head as the snapshot in it.
#include "scheduler/atomic_file/store.h"
#include "scheduler/counts/book.h"
#include "scheduler/gossip/frame.h"

#include <cstddef>
#include <cstdint>

using namespace std::chrono_literals;
namespace counts = willowrill::counts;
namespace atomic_file = willowrill::atomic_file;

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer calls it by this name
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::span<const unsigned char> bytes(data, size);
    std::span<const unsigned char> content;
    static_cast<void>(atomic_file::unpack(bytes, 1, content));
    const atomic_file::Bytes packed = atomic_file::pack(bytes, 1);
    if (atomic_file::unpack(packed, 1, content) != atomic_file::LoadStatus::intact || content.size() != size)
        __builtin_trap();
    const auto snapshot = willowrill::gossip::decode_snapshot(bytes);
    if (!snapshot) return 0;
    counts::CountStore book(
        {.max_tenants = 20, .max_classes = 4, .max_lives = 10, .max_fold_corrections = 10},
        {"self", 100, 1, 1}, 1000s);
    book.count(book.series("t", "c"), counts::Outcome::served);
    for (const counts::Delta& delta : snapshot->deltas)
        book.load(delta, 1001s);
    book.fold(1002s, false);
    if (book.low_total("t", "c", counts::Outcome::served) < 1 || book.life_count() > 11) __builtin_trap();
    return 0;
}
