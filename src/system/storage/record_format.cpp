#include "system/storage/record_format.h"

#include <boost/crc.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace willowrill::storage {
namespace {

// The header on disk: fields in this order, little-endian. The checksum covers the serial and the record.
struct Header {
    std::array<char, 8> magic;
    std::uint32_t version;
    std::uint32_t checksum;
    std::uint64_t serial;
    std::uint64_t length;
};
static_assert(sizeof(Header) == header_size);

constexpr std::array<char, 8> magic{'w', 'i', 'l', 'l', 'o', 'w', 'r', 'r'};

std::uint32_t checksum_of(std::uint64_t serial, std::string_view record) {
    boost::crc_32_type crc;
    crc.process_bytes(&serial, sizeof serial);
    crc.process_bytes(record.data(), record.size());
    return crc.checksum();
}

} // namespace

std::string encode_copy(std::uint64_t serial, std::string_view record, RecordFormat format) {
    const Header header{magic, static_cast<std::uint32_t>(format), checksum_of(serial, record), serial,
                        record.size()};
    std::string copy(sizeof header, '\0');
    std::memcpy(copy.data(), &header, sizeof header);
    copy.append(record);
    return copy;
}

DecodedRecord decode_copy(std::string_view bytes) {
    Header header{};
    if (std::ranges::all_of(bytes.substr(0, sizeof header), [](char c) { return c == '\0'; }))
        return {SlotContent::empty, {}, 0, {}};
    if (bytes.size() < sizeof header) return {SlotContent::torn, {}, 0, {}};
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.magic != magic) return {SlotContent::foreign, {}, 0, {}};
    if (header.version > static_cast<std::uint32_t>(newest_format)) return {SlotContent::newer, {}, 0, {}};
    if (header.length > bytes.size() - sizeof header) return {SlotContent::torn, {}, 0, {}};
    const std::string_view record = bytes.substr(sizeof header, header.length);
    if (checksum_of(header.serial, record) != header.checksum) return {SlotContent::torn, {}, 0, {}};
    return {SlotContent::valid, static_cast<RecordFormat>(header.version), header.serial,
            std::string(record)};
}

DecodedRecord decode_slot(std::string_view first_copy, std::string_view second_copy) {
    DecodedRecord first = decode_copy(first_copy);
    DecodedRecord second = decode_copy(second_copy);
    const bool first_valid = first.content == SlotContent::valid;
    const bool second_valid = second.content == SlotContent::valid;
    if (first_valid && second_valid) return second.serial > first.serial ? second : first;
    if (first_valid) return first;
    if (second_valid) return second;
    return first.content == SlotContent::empty ? second : first;
}

std::size_t record_length_in_header(std::string_view bytes) {
    Header header{};
    if (bytes.size() < sizeof header) return 0;
    std::memcpy(&header, bytes.data(), sizeof header);
    return header.magic == magic ? header.length : 0;
}

} // namespace willowrill::storage
