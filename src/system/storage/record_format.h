// The bytes of a record on disk. A slot holds two copies of one record, each behind a header with a checksum:
// a write that was cut off leaves a copy that is torn, and a bit that rots in one copy leaves the other.
// Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::storage {

// The format of records, which stands in their header: a program refuses records of later formats than it
// knows. The bytes are alike; a record of the second format holds what only programs understand that know of
// cluster versions.
enum class RecordFormat : std::uint32_t { initial = 2, cluster_version = 3 };
inline constexpr RecordFormat newest_format = RecordFormat::cluster_version;

// What a slot, or one copy in it, was found to hold.
enum class SlotContent {
    empty,   // never written
    valid,   // a complete record
    torn,    // a record of ours whose bytes do not match their checksum
    foreign, // not written by this program
    newer    // written by a later version of this program
};

struct DecodedRecord {
    SlotContent content = SlotContent::empty;
    RecordFormat format = RecordFormat::initial; // where valid
    std::uint64_t serial = 0; // where valid; of two records the one with the higher serial is newer
    std::string record;       // where valid
};

// One copy: its header, then the record.
std::string encode_copy(std::uint64_t serial, std::string_view record,
                        RecordFormat format = RecordFormat::initial);
// `bytes`: the beginning of a copy, at least as far as its record goes; what follows is ignored.
DecodedRecord decode_copy(std::string_view bytes);
// A slot's newest complete copy.
DecodedRecord decode_slot(std::string_view first_copy, std::string_view second_copy);

// Of a copy, in bytes.
inline constexpr std::size_t header_size = 32;
// How long the record is that this header announces; 0 where it is no header of ours.
std::size_t announced_length(std::string_view header);
// Where the second copy begins in a slot whose records have at most this many bytes.
constexpr std::size_t second_copy_offset(std::size_t record_capacity) {
    return header_size + record_capacity;
}

} // namespace willowrill::storage
