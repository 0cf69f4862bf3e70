// A ring of preallocated files, each a slot that holds one record, twice. A record goes to the slot after the
// newest one and is synced in place: no file is made, grown or renamed while the system serves, and a torn
// write leaves the record before it. The second copy keeps the newest record readable where a bit of the
// first one rots: a reader could not tell that from a torn write, and would take the record before for the
// newest. Knows nothing of what the records mean. One thread; `open` and `write` wait for the disk.
#pragma once

#include "system/errors/error.h"
#include "system/storage/file.h"
#include "system/storage/record_format.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::storage {

class RecordRing {
  public:
    // Makes the files NAME-0.ring, NAME-1.ring, ... that are missing, reads those that are there, and writes
    // the newest record anew: what a killed process had written may so far stand in the system's cache alone.
    // `record_capacity`: the longest record, in bytes. An error of the kind storage_failed where a file
    // cannot be opened or read, or the newest record not be written; of the kind unsupported_version, and
    // nothing is written, where a later version of this program has written a record.
    static errors::Result<RecordRing> open(const std::filesystem::path& folder, std::string_view name,
                                           std::size_t slots, std::size_t record_capacity);

    // The newest complete record, if there is any.
    const std::optional<std::string>& newest() const { return newest_; }
    // What each slot held when the ring was opened, for the operators' log.
    const std::vector<SlotContent>& slot_contents() const { return found_; }

    // Returns once the record will survive a loss of power, or false where the disk did not take it or it is
    // longer than the capacity. After a failure the record is there or not; the next one goes to the same
    // slot, and counts only once it was read back from a file opened anew.
    bool write(std::string_view record) { return write(record, format_); }
    // Likewise, with a format that is no earlier than that of the records written before.
    bool write(std::string_view record, RecordFormat format);
    // Of the newest record.
    RecordFormat format() const { return format_; }

  private:
    struct Slot {
        std::string path;
        File file;
    };

    RecordRing() = default;
    bool open_slot(std::string path);
    std::optional<DecodedRecord> read_slot(const File& file) const;
    std::optional<std::string> read_copy(const File& file, std::size_t offset) const;
    bool write_slot(Slot& slot, std::string_view copy);
    bool reads_back(Slot& slot, std::string_view copy);

    std::vector<Slot> slots_;
    std::vector<SlotContent> found_;
    std::optional<std::string> newest_;
    RecordFormat format_ = RecordFormat::initial;
    std::uint64_t serial_ = 0; // the highest that was used
    std::size_t next_slot_ = 0;
    std::size_t record_capacity_ = 0;
    bool suspect_ = false; // the last write failed
};

} // namespace willowrill::storage
