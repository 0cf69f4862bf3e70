// The on-disk format of records. A slot holds two copies of one record, each preceded by a header with a
// checksum. The checksum reveals a torn write, and a bit error in one copy leaves the other copy intact. All
// functions are pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace willowrill::storage {

// The record format stored in the header. A program rejects formats later than those it knows. Both formats
// have the same layout; a `cluster_version` record has content that requires support for cluster versions.
enum class RecordFormat : std::uint32_t { initial = 2, cluster_version = 3 };
inline constexpr RecordFormat newest_format = RecordFormat::cluster_version;

// The content found in a slot or in one copy.
enum class SlotContent {
    empty,   // never written
    valid,   // a complete record
    torn,    // a record of this program that fails its checksum
    foreign, // not written by this program
    newer    // written by a later version of this program
};

struct DecodedRecord {
    SlotContent content = SlotContent::empty;
    RecordFormat format = RecordFormat::initial; // where valid
    std::uint64_t serial = 0;                    // where valid; newer records have higher serials
    std::string record;                          // where valid
};

// Encodes one copy: the header followed by the record.
std::string encode_copy(std::uint64_t serial, std::string_view record,
                        RecordFormat format = RecordFormat::initial);
// Decodes one copy. `bytes` must contain the whole copy; trailing bytes are ignored.
DecodedRecord decode_copy(std::string_view bytes);
// Returns the newest valid copy of a slot.
DecodedRecord decode_slot(std::string_view first_copy, std::string_view second_copy);

// Size of a copy's header in bytes.
inline constexpr std::size_t header_size = 32;
// The record length in bytes stored in a header; 0 if the header is incomplete or has another magic.
std::size_t record_length_in_header(std::string_view header);
// The offset of the second copy in a slot for records of at most `record_capacity` bytes.
constexpr std::size_t second_copy_offset(std::size_t record_capacity) {
    return header_size + record_capacity;
}

} // namespace willowrill::storage
