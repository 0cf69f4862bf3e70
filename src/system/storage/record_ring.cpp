#include "system/storage/record_ring.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace willowrill::storage {
namespace {

using errors::Error;
using errors::ErrorKind;

} // namespace

errors::Result<RecordRing> RecordRing::open(const std::filesystem::path& folder, std::string_view name,
                                            std::size_t slots, std::size_t record_capacity) {
    RecordRing ring;
    ring.record_capacity_ = record_capacity;
    for (std::size_t index = 0; index < slots; ++index) {
        const std::string path = (folder / fmt::format("{}-{}.ring", name, index)).string();
        if (!ring.open_slot(path))
            return Error{ErrorKind::storage_failed,
                         fmt::format("cannot open {}: {}", path, std::strerror(errno))};
        std::optional<DecodedRecord> decoded = ring.read_slot(ring.slots_.back().file);
        if (!decoded) return Error{ErrorKind::storage_failed, fmt::format("cannot read {}", path)};
        ring.slot_contents_.push_back(decoded->content);
        if (decoded->content == SlotContent::newer)
            return Error{ErrorKind::unsupported_version,
                         fmt::format("{} was written by a later version of this program", path)};
        if (decoded->content != SlotContent::valid || decoded->serial <= ring.serial_) continue;
        ring.serial_ = decoded->serial;
        ring.format_ = decoded->format;
        ring.newest_ = std::move(decoded->record);
        ring.next_slot_ = (index + 1) % slots;
    }
    if (ring.newest_ && !ring.write(std::string(*ring.newest_)))
        return Error{ErrorKind::storage_failed, fmt::format("cannot rewrite the newest {} record", name)};
    return ring;
}

bool RecordRing::open_slot(std::string path) {
    std::optional<File> file = File::open_or_create(path);
    if (!file) return false;
    if (file->is_empty()) file->preallocate(2 * second_copy_offset(record_capacity_));
    slots_.push_back({std::move(path), std::move(*file)});
    return true;
}

// Returns an empty optional on an I/O error.
std::optional<DecodedRecord> RecordRing::read_slot(const File& file) const {
    const auto first = read_copy(file, 0);
    const auto second = read_copy(file, second_copy_offset(record_capacity_));
    if (!first || !second) return std::nullopt;
    return decode_slot(*first, *second);
}

// Reads a copy's header and as many record bytes as the header states.
std::optional<std::string> RecordRing::read_copy(const File& file, std::size_t offset) const {
    auto header = file.read(offset, header_size);
    if (!header) return std::nullopt;
    const std::size_t length = record_length_in_header(*header);
    if (length == 0 || length > record_capacity_) return header;
    const auto record = file.read(offset + header_size, length);
    if (!record) return std::nullopt;
    return *header + *record;
}

bool RecordRing::write(std::string_view record, RecordFormat format) {
    if (record.size() > record_capacity_) return false;
    Slot& slot = slots_[next_slot_];
    // A serial is never reused: a record whose write failed may be on disk nevertheless.
    const std::string copy = encode_copy(++serial_, record, format);
    const bool previous_write_failed = std::exchange(last_write_failed_, true);
    if (!write_slot(slot, copy) || (previous_write_failed && !read_back_matches(slot, copy))) return false;
    last_write_failed_ = false;
    format_ = format;
    next_slot_ = (next_slot_ + 1) % slots_.size();
    newest_ = std::string(record);
    return true;
}

bool RecordRing::write_slot(Slot& slot, std::string_view copy) {
    const bool written =
        slot.file.write(0, copy) && slot.file.write(second_copy_offset(record_capacity_), copy);
    return written && slot.file.sync();
}

// Reads the copies back through a reopened file, because the system may report a sync error only once.
bool RecordRing::read_back_matches(Slot& slot, std::string_view copy) {
    std::optional<File> reopened = File::open(slot.path);
    if (!reopened) return false;
    slot.file = std::move(*reopened);
    return slot.file.read(0, copy.size()) == copy &&
           slot.file.read(second_copy_offset(record_capacity_), copy.size()) == copy;
}

} // namespace willowrill::storage
