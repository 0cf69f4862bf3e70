// A ring of preallocated files, each holding one record. A record goes to the slot after the newest one and
// is synced in place: no file is made, grown or renamed while the system serves, and a torn write leaves the
// record before it. Knows nothing of what the records mean. One thread.
#pragma once

#include "errors/error.h"

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
    // Makes the files that are missing and reads those that are there. `slot_bytes`: room made beforehand; a
    // longer record is tried all the same and fails on a full disk.
    static errors::Result<RecordRing> open(const std::filesystem::path& folder, std::string_view name,
                                           std::size_t slots, std::size_t slot_bytes);
    RecordRing(RecordRing&& other) noexcept;
    RecordRing& operator=(RecordRing&&) = delete;
    RecordRing(const RecordRing&) = delete;
    ~RecordRing();

    // The newest whole record, if there is any.
    const std::optional<std::string>& newest() const { return newest_; }
    // What each slot held when the ring was opened, for the operator's log.
    const std::vector<SlotContent>& found() const { return found_; }

    // Returns once the record will survive a loss of power, or false where the disk did not take it.
    bool write(std::string_view record);

  private:
    RecordRing() = default;

    std::vector<int> files_;
    std::vector<SlotContent> found_;
    std::optional<std::string> newest_;
    std::uint64_t serial_ = 0;
    std::size_t next_slot_ = 0;
};

// The bytes of a slot for a record, and back; apart so that tests can tear them.
std::string encode_slot(std::uint64_t serial, std::string_view record);
SlotContent decode_slot(std::string_view bytes, std::uint64_t& serial, std::string& record);

} // namespace willowrill::storage
