// A ring of preallocated files, each holding one record, twice. A record goes to the slot after the newest
// one and is synced in place: no file is made, grown or renamed while the system serves, and a torn write
// leaves the record before it. The second copy keeps the newest record readable where a bit of the first one
// rots: a reader could not tell that from a torn write, and would take the record before for the newest.
// Knows nothing of what the records mean. One thread; `open` and `write` wait for the disk.
#pragma once

#include "system/errors/error.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::storage {

// What a slot was found to hold.
enum class SlotContent {
    empty,   // never written
    valid,   // a whole record
    torn,    // a record of ours whose bytes do not match their checksum
    foreign, // not written by this program
    newer    // written by a later version of this program
};

class RecordRing {
  public:
    // Makes the files that are missing, reads those that are there, and writes the newest record anew: what a
    // killed process had written may so far stand in the system's cache alone. `room`: the longest record.
    static errors::Result<RecordRing> open(const std::filesystem::path& folder, std::string_view name,
                                           std::size_t slots, std::size_t room);
    RecordRing(RecordRing&& other) noexcept;
    RecordRing& operator=(RecordRing&&) = delete;
    RecordRing(const RecordRing&) = delete;
    ~RecordRing();

    // The newest whole record, if there is any.
    const std::optional<std::string>& newest() const { return newest_; }
    // What each slot held when the ring was opened, for the operator's log.
    const std::vector<SlotContent>& found() const { return found_; }

    // Returns once the record will survive a loss of power, or false where the disk did not take it or it is
    // longer than the room. After a failure the record is there or not; the next one goes to the same slot,
    // and counts only once it was read back from a file opened anew.
    bool write(std::string_view record);

  private:
    RecordRing() = default;
    bool write_slot(std::size_t slot, std::string_view bytes);
    bool reads_back(std::size_t slot, std::string_view bytes);

    std::vector<std::string> paths_;
    std::vector<int> files_;
    std::vector<SlotContent> found_;
    std::optional<std::string> newest_;
    std::uint64_t serial_ = 0;
    std::size_t next_slot_ = 0;
    std::size_t room_ = 0;
    bool suspect_ = false; // the last write failed
};

// The bytes of one copy of a record, and back; apart so that tests can tear them.
std::string encode_copy(std::uint64_t serial, std::string_view record);
SlotContent decode_copy(std::string_view bytes, std::uint64_t& serial, std::string& record);
// A slot's newest whole copy.
SlotContent decode_slot(std::string_view first_copy, std::string_view second_copy, std::uint64_t& serial,
                        std::string& record);
// Where the second copy begins.
std::size_t second_copy_at(std::size_t room);

} // namespace willowrill::storage
