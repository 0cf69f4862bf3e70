// The ring of records: what is read after a tear at any byte, and what is told apart.
#include "control/disk.h"
#include "storage/record_ring.h"

#include "expect.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace willowrill::storage;
namespace fs = std::filesystem;

namespace {

class Folder {
  public:
    Folder() {
        std::string name = (fs::temp_directory_path() / "willowrill-XXXXXX").string();
        path_ = mkdtemp(name.data());
    }
    ~Folder() { fs::remove_all(path_); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    const fs::path& path() const { return path_; }

  private:
    fs::path path_;
};

std::string read(const fs::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

void write(const fs::path& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc)
        .write(bytes.data(), static_cast<long>(bytes.size()));
}

RecordRing open(const Folder& folder) {
    auto ring = RecordRing::open(folder.path(), "r", 3, 4096);
    cr_assert(static_cast<bool>(ring));
    return std::move(ring.value());
}

} // namespace

Test(ring, a_new_one_is_empty) {
    const Folder folder;
    const RecordRing ring = open(folder);
    cr_assert_not(ring.newest().has_value());
    for (const SlotContent content : ring.found())
        cr_assert(content == SlotContent::empty);
}

Test(ring, the_newest_record_is_read_back_round_and_round) {
    const Folder folder;
    for (int i = 0; i < 20; ++i) {
        RecordRing ring = open(folder);
        if (i > 0) expect_text(ring.newest()->c_str(), ("record " + std::to_string(i - 1)).c_str());
        cr_assert(ring.write("record " + std::to_string(i)));
    }
}

Test(ring, files_are_made_once_and_do_not_grow) {
    const Folder folder;
    RecordRing ring = open(folder);
    const auto before = fs::file_size(folder.path() / "r-0.ring");
    for (int i = 0; i < 9; ++i)
        ring.write(std::string(1000, 'x'));
    cr_assert_eq(before, fs::file_size(folder.path() / "r-0.ring"));
    cr_assert_eq(std::distance(fs::directory_iterator(folder.path()), fs::directory_iterator()), 3);
}

// The write of a record may stop at any byte: what was there before is read, or the whole new one.
Test(ring, a_tear_at_any_byte_leaves_the_record_before) {
    const Folder folder;
    {
        RecordRing ring = open(folder);
        ring.write("first");
        ring.write("second");
    }
    const fs::path third = folder.path() / "r-2.ring";
    const std::string old = read(third), fresh = encode_slot(3, "the third record");
    for (std::size_t cut = 0; cut <= fresh.size(); ++cut) {
        std::string torn = old;
        torn.replace(0, cut, fresh.substr(0, cut));
        write(third, torn);
        const RecordRing ring = open(folder);
        const bool whole = cut == fresh.size();
        expect_text(ring.newest()->c_str(), whole ? "the third record" : "second",
                    "cut at " + std::to_string(cut));
        if (cut > 0 && !whole) cr_assert(ring.found()[2] != SlotContent::valid);
    }
}

Test(ring, a_flipped_bit_anywhere_is_noticed) {
    const std::string good = encode_slot(5, "payload");
    for (std::size_t at = 0; at < good.size(); ++at) {
        std::string bad = good;
        bad[at] = static_cast<char>(bad[at] ^ 0x10);
        std::uint64_t serial = 0;
        std::string record;
        cr_assert(decode_slot(bad, serial, record) != SlotContent::valid, "byte %zu", at);
    }
}

Test(ring, foreign_and_newer_are_told_apart) {
    std::uint64_t serial = 0;
    std::string record, newer = encode_slot(1, "x");
    newer[8] = 9; // the version
    cr_assert(decode_slot("something else that is long enough for a head", serial, record) ==
              SlotContent::foreign);
    cr_assert(decode_slot(newer, serial, record) == SlotContent::newer);
    cr_assert(decode_slot("willow", serial, record) == SlotContent::torn);
}

Test(ring, a_record_longer_than_the_room_made_is_kept_whole) {
    const Folder folder;
    const std::string large(100000, 'y');
    { open(folder).write(large); }
    cr_assert_eq(open(folder).newest()->size(), large.size());
}

Test(ring, a_folder_that_is_not_there_is_an_error) {
    const auto ring = RecordRing::open("/nonexistent/folder", "r", 3, 4096);
    cr_assert_not(static_cast<bool>(ring));
    cr_assert(ring.error().kind == willowrill::errors::ErrorKind::storage_failed);
}

Test(disk, register_and_state_come_back) {
    using namespace willowrill::replication;
    const Folder folder;
    const EpochRecord record{4, "a:1", {"a:1", "b:1"}, {"a:1", "b:1", "c:1"}};
    const WitnessRegister stored{5, record, record, true};
    {
        auto disk = std::move(willowrill::control::Disk::open(folder.path()).value());
        cr_assert_not(disk->load_register().has_value());
        cr_assert(disk->save(stored));
        cr_assert(disk->save(ReplicatedState{{4, 2}, std::make_shared<const std::string>("content")}));
    }
    auto disk = std::move(willowrill::control::Disk::open(folder.path()).value());
    cr_assert(disk->load_register() == stored);
    cr_assert(disk->load_state()->position == (Position{4, 2}));
    expect_text(disk->load_state()->content->c_str(), "content");
}
