// The ring of records: what is read after a tear at any byte, and what is told apart.
#include "system/compression/compression.h"
#include "system/configuration/control_state.h"
#include "system/control/replica_store.h"
#include "system/storage/record_ring.h"

#include "support/expect.h"
#include "support/scratch_folder.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace willowrill::storage;
namespace fs = std::filesystem;

namespace {

std::string read(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void write(const fs::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc)
        .write(bytes.data(), static_cast<long>(bytes.size()));
}

RecordRing open(const ScratchFolder& folder) {
    auto ring = RecordRing::open(folder.path(), "r", 3, 4096);
    cr_assert(static_cast<bool>(ring));
    return std::move(ring.value());
}

} // namespace

Test(ring, a_new_one_is_empty) {
    const ScratchFolder folder;
    const RecordRing ring = open(folder);
    cr_assert_not(ring.newest().has_value());
    for (const SlotContent content : ring.slot_contents())
        cr_assert(content == SlotContent::empty);
}

Test(ring, the_newest_record_is_read_back_round_and_round) {
    const ScratchFolder folder;
    for (int i = 0; i < 20; ++i) {
        RecordRing ring = open(folder);
        if (i > 0) expect_text(ring.newest()->c_str(), ("record " + std::to_string(i - 1)).c_str());
        cr_assert(ring.write("record " + std::to_string(i)));
    }
}

Test(ring, files_are_made_once_and_do_not_grow) {
    const ScratchFolder folder;
    RecordRing ring = open(folder);
    const auto before = fs::file_size(folder.path() / "r-0.ring");
    for (int i = 0; i < 9; ++i)
        ring.write(std::string(1000, 'x'));
    cr_assert_eq(before, fs::file_size(folder.path() / "r-0.ring"));
    cr_assert_eq(std::distance(fs::directory_iterator(folder.path()), fs::directory_iterator()), 3);
}

namespace {

constexpr std::size_t record_capacity = 4096;

// A slot's bytes with a record in both copies.
std::string slot_bytes(std::uint64_t serial, const std::string& record) {
    std::string out = encode_copy(serial, record);
    out.resize(second_copy_offset(record_capacity), '\0');
    return out + encode_copy(serial, record);
}

} // namespace

// The write of a record may stop at any byte: what was there before is read, or the whole new one.
Test(ring, a_tear_at_any_byte_leaves_the_record_before) {
    const ScratchFolder folder;
    {
        RecordRing ring = open(folder);
        ring.write("first");
        ring.write("second");
    }
    const fs::path third = folder.path() / "r-2.ring";
    const std::string old = read(third), fresh = slot_bytes(3, "the third record");
    const std::size_t first_copy = encode_copy(3, "the third record").size();
    for (std::size_t cut = 0; cut <= fresh.size(); cut += cut < 2 * first_copy ? 1 : 7) {
        const ScratchFolder copy;
        fs::copy(folder.path(), copy.path(), fs::copy_options::recursive);
        std::string torn = old;
        torn.replace(0, cut, fresh.substr(0, cut));
        write(copy.path() / "r-2.ring", torn);
        const RecordRing ring = open(copy);
        const bool whole = cut >= first_copy;
        expect_text(ring.newest()->c_str(), whole ? "the third record" : "second",
                    "cut at " + std::to_string(cut));
        if (cut > 0 && !whole) cr_assert(ring.slot_contents()[2] != SlotContent::valid);
    }
}

// A bit that rots in the newest record must not make the one before it the newest.
Test(ring, a_flipped_bit_in_the_newest_record_loses_nothing) {
    const ScratchFolder folder;
    {
        RecordRing ring = open(folder);
        ring.write("first");
        ring.write("second");
    }
    const fs::path newest = folder.path() / "r-1.ring";
    const std::string good = read(newest);
    const std::size_t length = encode_copy(2, "second").size();
    for (const std::size_t start : {std::size_t{0}, second_copy_offset(record_capacity)}) {
        for (std::size_t at = start; at < start + length; ++at) {
            const ScratchFolder copy;
            fs::copy(folder.path(), copy.path(), fs::copy_options::recursive);
            std::string bad = good;
            bad[at] = static_cast<char>(bad[at] ^ 0x10);
            write(copy.path() / "r-1.ring", bad);
            expect_text(open(copy).newest()->c_str(), "second", "byte " + std::to_string(at));
        }
    }
}

Test(ring, a_flipped_bit_anywhere_is_noticed) {
    const std::string good = encode_copy(5, "payload");
    for (std::size_t at = 0; at < good.size(); ++at) {
        std::string bad = good;
        bad[at] = static_cast<char>(bad[at] ^ 0x10);
        cr_assert(decode_copy(bad).content != SlotContent::valid, "byte %zu", at);
    }
}

// What a killed process wrote may stand in the system's cache alone: a reader makes it durable before it
// counts.
Test(ring, what_is_read_is_written_anew) {
    const ScratchFolder folder;
    {
        RecordRing ring = open(folder);
        ring.write("first");
    }
    const std::string before = read(folder.path() / "r-1.ring");
    open(folder);
    cr_assert(read(folder.path() / "r-1.ring") != before);
    fs::remove(folder.path() / "r-0.ring");
    expect_text(open(folder).newest()->c_str(), "first");
}

Test(ring, foreign_and_newer_are_told_apart) {
    std::string newer = encode_copy(1, "x");
    newer[8] = 9; // the version
    cr_assert(decode_copy("something else that is long enough for a head").content == SlotContent::foreign);
    cr_assert(decode_copy(newer).content == SlotContent::newer);
    cr_assert(decode_copy("willow").content == SlotContent::torn);
}

Test(ring, a_record_longer_than_the_capacity_is_refused) {
    const ScratchFolder folder;
    {
        RecordRing ring = open(folder);
        cr_assert(ring.write(std::string(record_capacity, 'x')));
        cr_assert_not(ring.write(std::string(record_capacity + 1, 'y')));
        cr_assert_eq(ring.newest()->size(), record_capacity);
    }
    expect_text(*open(folder).newest(), std::string(record_capacity, 'x'));
}

Test(ring, a_folder_that_is_not_there_is_an_error) {
    const auto ring = RecordRing::open("/nonexistent/folder", "r", 3, 4096);
    cr_assert_not(static_cast<bool>(ring));
    cr_assert(ring.error().kind == willowrill::errors::ErrorKind::storage_failed);
}

namespace {

std::unique_ptr<willowrill::control::ReplicaStore> open_disk(const ScratchFolder& folder) {
    auto disk = willowrill::control::ReplicaStore::open(folder.path());
    cr_assert(static_cast<bool>(disk));
    return std::move(disk.value());
}

} // namespace

Test(disk, register_and_state_come_back) {
    using namespace willowrill::replication;
    const ScratchFolder folder;
    const EpochRecord record{4, "a:1", {"a:1", "b:1"}, {"a:1", "b:1", "c:1"}};
    const WitnessRegister stored{5, record, record, true};
    {
        const auto disk = open_disk(folder);
        cr_assert_not(disk->load().witness_register.has_value());
        cr_assert(disk->save({1, stored}));
        cr_assert(
            disk->save({2, ReplicatedState{{4, 2}, std::make_shared<const std::string>("content\nmore")}}));
    }
    const Loaded found = open_disk(folder)->load();
    cr_assert(found.witness_register == stored);
    cr_assert(found.state->position == (Position{4, 2}));
    expect_text(found.state->content->c_str(), "content\nmore");
}

// The largest state that an order may ask for is kept whole; one beyond the room is refused, and so is what
// comes behind it, until the member starts to restore its records.
Test(disk, after_a_refused_record_all_are_refused_until_it_restores) {
    using namespace willowrill::replication;
    const ScratchFolder folder;
    const auto disk = open_disk(folder);
    // Random bytes, which no packing makes shorter.
    const auto random_state = [](std::size_t bytes) {
        std::mt19937_64 random(5);
        std::string out;
        while (out.size() < bytes)
            out.push_back(static_cast<char>(random()));
        return std::make_shared<const std::string>(std::move(out));
    };
    const auto large = random_state(willowrill::configuration::max_record_bytes);
    const auto too_large = random_state(2 * large->size());
    cr_assert(disk->save({1, ReplicatedState{{4, 1}, large}}));
    cr_assert_not(disk->save({2, ReplicatedState{{4, 2}, too_large}}));
    cr_assert_not(disk->save({3, WitnessRegister{}}));
    cr_assert(disk->save({4, WitnessRegister{}, true}));
    cr_assert(disk->save({5, WitnessRegister{}}));
    cr_assert(*open_disk(folder)->load().state->content == *large);
}

Test(disk, a_long_state_is_packed_and_a_damaged_one_is_not_taken_for_another) {
    using namespace willowrill::replication;
    const ScratchFolder folder;
    const auto content = std::make_shared<const std::string>(willowrill::configuration::max_state_bytes, 'x');
    cr_assert(open_disk(folder)->save({1, ReplicatedState{{4, 1}, content}}));
    cr_assert(*open_disk(folder)->load().state->content == *content);
    const std::string packed = willowrill::compression::compress(*content);
    cr_assert_lt(packed.size(), 10'000U);
    cr_assert(!willowrill::compression::decompress(packed, content->size() - 1));
    cr_assert(!willowrill::compression::decompress(packed.substr(0, packed.size() / 2), content->size()));
    expect_text(*willowrill::compression::decompress("{plain}", 10), "{plain}");
}

Test(ring, a_record_of_a_later_program_is_refused_by_name_and_nothing_is_written) {
    const ScratchFolder scratch;
    {
        auto ring = RecordRing::open(scratch.path(), "state", 3, 100);
        cr_assert(ring.value().write("of this version"));
    }
    const std::filesystem::path slot = scratch.path() / "state-1.ring";
    std::string newer = encode_copy(9, "of a later one");
    newer[8] = 9; // the format
    {
        std::fstream file(slot, std::ios::binary | std::ios::in | std::ios::out);
        file.write(newer.data(), static_cast<std::streamsize>(newer.size()));
        file.seekp(static_cast<std::streamoff>(second_copy_offset(100)));
        file.write(newer.data(), static_cast<std::streamsize>(newer.size()));
    }
    const auto ring = RecordRing::open(scratch.path(), "state", 3, 100);
    cr_assert_not(static_cast<bool>(ring));
    cr_assert(ring.error().kind == willowrill::errors::ErrorKind::unsupported_version);
    cr_assert(ring.error().detail.find("state-1.ring") != std::string::npos);
    std::ifstream file(slot, std::ios::binary);
    std::string found(newer.size(), ' ');
    file.read(found.data(), static_cast<std::streamsize>(found.size()));
    cr_assert(found == newer);
}

Test(ring, the_format_of_the_newest_record_is_kept_over_a_start) {
    const ScratchFolder scratch;
    {
        auto ring = RecordRing::open(scratch.path(), "state", 3, 100);
        cr_assert(ring.value().write("first"));
        cr_assert(ring.value().format() == RecordFormat::initial);
        cr_assert(ring.value().write("second", RecordFormat::cluster_version));
    }
    auto ring = RecordRing::open(scratch.path(), "state", 3, 100);
    cr_assert(ring.value().format() == RecordFormat::cluster_version);
    cr_assert(ring.value().newest() == "second");
    cr_assert(ring.value().write("third"));
    cr_assert(ring.value().format() == RecordFormat::cluster_version);
}
