// Bytes from anywhere as a state file, and behind a good head as the snapshot in it.
#include "counts/book.h"
#include "mesh/frame.h"
#include "state/store.h"

#include <cstddef>
#include <cstdint>

using namespace std::chrono_literals;
namespace counts = willowrill::counts;
namespace state = willowrill::state;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::span<const unsigned char> bytes(data, size);
    std::span<const unsigned char> content;
    static_cast<void>(state::unpack(bytes, 1, content));
    const state::Bytes packed = state::pack(bytes, 1);
    if (state::unpack(packed, 1, content) != state::Found::whole || content.size() != size) __builtin_trap();
    const auto snapshot = willowrill::mesh::decode_snapshot(bytes);
    if (!snapshot) return 0;
    counts::Book book({.tenants = 20, .classes = 4, .lives = 10, .raises = 10}, {"self", 100, 1, 1}, 1000s);
    book.count(book.series("t", "c"), counts::Outcome::served);
    for (const counts::Delta& delta : snapshot->deltas)
        book.load(delta, 1001s);
    book.fold(1002s, false);
    if (book.low("t", "c", counts::Outcome::served) < 1 || book.lives() > 11) __builtin_trap();
    return 0;
}
