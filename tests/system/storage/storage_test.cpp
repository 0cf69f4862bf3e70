// Tests of the record ring and of `ReplicaStore`: torn writes, bit errors, foreign and newer formats.
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

std::string read_file(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void write_file(const fs::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc)
        .write(bytes.data(), static_cast<long>(bytes.size()));
}

RecordRing open_ring(const ScratchFolder& folder) {
    auto ring = RecordRing::open(folder.path(), "r", 3, 4096);
    cr_assert(static_cast<bool>(ring));
    return std::move(ring.value());
}

} // namespace

Test(ring, a_new_ring_is_empty) {
    const ScratchFolder folder;
    const RecordRing ring = open_ring(folder);
    cr_assert_not(ring.newest().has_value());
    for (const SlotContent content : ring.slot_contents())
        cr_assert(content == SlotContent::empty);
}

Test(ring, the_newest_record_is_read_back_after_each_reopening) {
    const ScratchFolder folder;
    for (int i = 0; i < 20; ++i) {
        RecordRing ring = open_ring(folder);
        if (i > 0) expect_text(ring.newest()->c_str(), ("record " + std::to_string(i - 1)).c_str());
        cr_assert(ring.write("record " + std::to_string(i)));
    }
}

Test(ring, files_are_created_once_and_do_not_grow) {
    const ScratchFolder folder;
    RecordRing ring = open_ring(folder);
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

// A write may be cut off at any byte; afterwards either the previous or the complete new record is read.
Test(ring, a_write_torn_at_any_byte_leaves_the_previous_record) {
    const ScratchFolder folder;
    {
        RecordRing ring = open_ring(folder);
        ring.write("first");
        ring.write("second");
    }
    const fs::path third = folder.path() / "r-2.ring";
    const std::string old_bytes = read_file(third), new_bytes = slot_bytes(3, "the third record");
    const std::size_t first_copy = encode_copy(3, "the third record").size();
    for (std::size_t cut = 0; cut <= new_bytes.size(); cut += cut < 2 * first_copy ? 1 : 7) {
        const ScratchFolder copy;
        fs::copy(folder.path(), copy.path(), fs::copy_options::recursive);
        std::string torn = old_bytes;
        torn.replace(0, cut, new_bytes.substr(0, cut));
        write_file(copy.path() / "r-2.ring", torn);
        const RecordRing ring = open_ring(copy);
        const bool is_complete = cut >= first_copy;
        expect_text(ring.newest()->c_str(), is_complete ? "the third record" : "second",
                    "cut at " + std::to_string(cut));
        if (cut > 0 && !is_complete) cr_assert(ring.slot_contents()[2] != SlotContent::valid);
    }
}

// Guards against falling back to the previous record after a bit error in the newest one.
Test(ring, a_flipped_bit_in_the_newest_record_loses_nothing) {
    const ScratchFolder folder;
    {
        RecordRing ring = open_ring(folder);
        ring.write("first");
        ring.write("second");
    }
    const fs::path newest = folder.path() / "r-1.ring";
    const std::string valid_bytes = read_file(newest);
    const std::size_t length = encode_copy(2, "second").size();
    for (const std::size_t start : {std::size_t{0}, second_copy_offset(record_capacity)}) {
        for (std::size_t offset = start; offset < start + length; ++offset) {
            const ScratchFolder copy;
            fs::copy(folder.path(), copy.path(), fs::copy_options::recursive);
            std::string damaged_bytes = valid_bytes;
            damaged_bytes[offset] = static_cast<char>(damaged_bytes[offset] ^ 0x10);
            write_file(copy.path() / "r-1.ring", damaged_bytes);
            expect_text(open_ring(copy).newest()->c_str(), "second", "byte " + std::to_string(offset));
        }
    }
}

Test(ring, a_flipped_bit_anywhere_is_detected) {
    const std::string valid_bytes = encode_copy(5, "payload");
    for (std::size_t offset = 0; offset < valid_bytes.size(); ++offset) {
        std::string damaged_bytes = valid_bytes;
        damaged_bytes[offset] = static_cast<char>(damaged_bytes[offset] ^ 0x10);
        cr_assert(decode_copy(damaged_bytes).content != SlotContent::valid, "byte %zu", offset);
    }
}

// A record written by a killed process may only be in the page cache, so opening the ring rewrites it.
Test(ring, the_newest_record_is_rewritten_on_open) {
    const ScratchFolder folder;
    {
        RecordRing ring = open_ring(folder);
        ring.write("first");
    }
    const std::string before = read_file(folder.path() / "r-1.ring");
    open_ring(folder);
    cr_assert(read_file(folder.path() / "r-1.ring") != before);
    fs::remove(folder.path() / "r-0.ring");
    expect_text(open_ring(folder).newest()->c_str(), "first");
}

Test(ring, foreign_and_newer_content_is_distinguished) {
    std::string newer = encode_copy(1, "x");
    newer[8] = 9; // the version
    cr_assert(decode_copy("something else that is long enough for a head").content == SlotContent::foreign);
    cr_assert(decode_copy(newer).content == SlotContent::newer);
    cr_assert(decode_copy("willow").content == SlotContent::torn);
}

Test(ring, a_record_longer_than_the_capacity_is_refused) {
    const ScratchFolder folder;
    {
        RecordRing ring = open_ring(folder);
        cr_assert(ring.write(std::string(record_capacity, 'x')));
        cr_assert_not(ring.write(std::string(record_capacity + 1, 'y')));
        cr_assert_eq(ring.newest()->size(), record_capacity);
    }
    expect_text(*open_ring(folder).newest(), std::string(record_capacity, 'x'));
}

Test(ring, a_missing_folder_is_an_error) {
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

Test(disk, register_and_state_are_loaded_after_reopening) {
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

// A state of the maximum size is stored. A larger one fails, and so do all further saves until one that is a
// restoration.
Test(disk, after_a_failed_save_all_saves_fail_until_a_restoration) {
    using namespace willowrill::replication;
    const ScratchFolder folder;
    const auto disk = open_disk(folder);
    // Random bytes, which cannot be compressed.
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

Test(disk, a_long_state_is_compressed_and_damaged_data_is_rejected) {
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

Test(ring, a_record_of_a_later_version_is_an_error_naming_the_file_and_nothing_is_written) {
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

Test(ring, the_format_of_the_newest_record_is_kept_across_a_restart) {
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

// Guards against a system that never starts: a core member without its data folder waited for it for ever.
Test(replica_store, a_data_folder_that_is_missing_is_created) {
    const ScratchFolder folder;
    const fs::path missing = folder.path() / "a" / "b";
    cr_assert(static_cast<bool>(willowrill::control::ReplicaStore::open(missing)));
    cr_assert(fs::is_directory(missing));
}

// Guards against faults that are hidden: what is no folder stays an error that names it.
Test(replica_store, a_data_path_that_is_a_file_is_an_error_that_names_it) {
    const ScratchFolder folder;
    write_file(folder.path() / "file", "x");
    for (const fs::path& path : {folder.path() / "file", folder.path() / "file" / "below"}) {
        const auto store = willowrill::control::ReplicaStore::open(path);
        cr_assert_not(static_cast<bool>(store));
        cr_assert_neq(store.error().detail.find(path.string()), std::string::npos, "%s",
                      store.error().detail.c_str());
    }
}
