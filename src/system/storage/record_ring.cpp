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
        std::optional<DecodedRecord> found = ring.read_slot(ring.slots_.back().file);
        if (!found) return Error{ErrorKind::storage_failed, fmt::format("cannot read {}", path)};
        ring.found_.push_back(found->content);
        if (found->content == SlotContent::newer)
            return Error{ErrorKind::unsupported_version,
                         fmt::format("{} was written by a later version of this program", path)};
        if (found->content != SlotContent::valid || found->serial <= ring.serial_) continue;
        ring.serial_ = found->serial;
        ring.format_ = found->format;
        ring.newest_ = std::move(found->record);
        ring.next_slot_ = (index + 1) % slots;
    }
    if (ring.newest_ && !ring.write(std::string(*ring.newest_)))
        return Error{ErrorKind::storage_failed, fmt::format("cannot write the newest {} anew", name)};
    return ring;
}

bool RecordRing::open_slot(std::string path) {
    std::optional<File> file = File::open_or_create(path);
    if (!file) return false;
    if (file->is_empty()) file->preallocate(2 * second_copy_offset(record_capacity_));
    slots_.push_back({std::move(path), std::move(*file)});
    return true;
}

// Nothing where the disk reports an error.
std::optional<DecodedRecord> RecordRing::read_slot(const File& file) const {
    const auto first = read_copy(file, 0);
    const auto second = read_copy(file, second_copy_offset(record_capacity_));
    if (!first || !second) return std::nullopt;
    return decode_slot(*first, *second);
}

// A copy's bytes as far as its own header says they go.
std::optional<std::string> RecordRing::read_copy(const File& file, std::size_t offset) const {
    auto header = file.read(offset, header_size);
    if (!header) return std::nullopt;
    const std::size_t length = announced_length(*header);
    if (length == 0 || length > record_capacity_) return header;
    const auto record = file.read(offset + header_size, length);
    if (!record) return std::nullopt;
    return *header + *record;
}

bool RecordRing::write(std::string_view record, RecordFormat format) {
    if (record.size() > record_capacity_) return false;
    Slot& slot = slots_[next_slot_];
    // A serial is not used twice: one that failed may be there after all.
    const std::string copy = encode_copy(++serial_, record, format);
    const bool was_suspect = std::exchange(suspect_, true);
    if (!write_slot(slot, copy) || (was_suspect && !reads_back(slot, copy))) return false;
    suspect_ = false;
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

// An error that a sync reported once may not be reported again: the bytes themselves are looked at, through a
// file opened anew.
bool RecordRing::reads_back(Slot& slot, std::string_view copy) {
    std::optional<File> again = File::open(slot.path);
    if (!again) return false;
    slot.file = std::move(*again);
    return slot.file.read(0, copy.size()) == copy &&
           slot.file.read(second_copy_offset(record_capacity_), copy.size()) == copy;
}

} // namespace willowrill::storage
