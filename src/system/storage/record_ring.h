// A ring of preallocated files, each a slot that holds two copies of one record. A record is written to the
// slot after the newest one and synced in place: no file is created, grown or renamed in operation, and a
// torn write leaves the previous record intact. The second copy keeps the newest record readable after a bit
// error in the first one: a reader could not distinguish that from a torn write and would fall back to the
// previous record. Does not interpret the records. Not thread-safe; `open` and `write` block on the disk.
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
    // Opens the files NAME-0.ring, NAME-1.ring, ..., creating missing ones, and rewrites the newest record,
    // which may only be in the page cache if the process that wrote it was killed. `record_capacity`: the
    // maximum size of a record in bytes. Returns an error of kind storage_failed if a file cannot be opened
    // or read or the newest record cannot be rewritten; of kind unsupported_version, without rewriting a
    // record, if a record was written by a later version of this program.
    static errors::Result<RecordRing> open(const std::filesystem::path& folder, std::string_view name,
                                           std::size_t slots, std::size_t record_capacity);

    // The newest complete record, if any.
    const std::optional<std::string>& newest() const { return newest_; }
    // The content of each slot when the ring was opened, for the log.
    const std::vector<SlotContent>& slot_contents() const { return slot_contents_; }

    // Returns true once the record is durable; false if the write failed or the record exceeds the capacity.
    // After a failed write the record may or may not be stored; the next write uses the same slot and
    // succeeds only if the record can be read back from a reopened file.
    bool write(std::string_view record) { return write(record, format_); }
    // Same, with a format that must not be earlier than that of the records written before.
    bool write(std::string_view record, RecordFormat format);
    // The format of the newest record.
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
    bool read_back_matches(Slot& slot, std::string_view copy);

    std::vector<Slot> slots_;
    std::vector<SlotContent> slot_contents_;
    std::optional<std::string> newest_;
    RecordFormat format_ = RecordFormat::initial;
    std::uint64_t serial_ = 0; // the highest serial used
    std::size_t next_slot_ = 0;
    std::size_t record_capacity_ = 0;
    bool last_write_failed_ = false;
};

} // namespace willowrill::storage
