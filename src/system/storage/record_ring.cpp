#include "system/storage/record_ring.h"

#include <boost/crc.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace willowrill::storage {
namespace {

// Of a copy on disk, in this order and little-endian; the checksum is of the serial and the record.
struct Header {
    std::array<char, 8> magic;
    std::uint32_t version;
    std::uint32_t checksum;
    std::uint64_t serial;
    std::uint64_t length;
};
static_assert(sizeof(Header) == 32);

constexpr std::array<char, 8> magic{'w', 'i', 'l', 'l', 'o', 'w', 'r', 'r'};
constexpr std::uint32_t version = 2;
constexpr std::size_t chunk = 65536;

std::uint32_t checksum_of(std::uint64_t serial, std::string_view record) {
    boost::crc_32_type crc;
    crc.process_bytes(&serial, sizeof serial);
    crc.process_bytes(record.data(), record.size());
    return crc.checksum();
}

bool write_all(int file, std::size_t at, std::string_view bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n =
            ::pwrite(file, bytes.data() + done, bytes.size() - done, static_cast<off_t>(at + done));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// Up to so many bytes; nothing where the disk reports an error.
std::optional<std::string> read_some(int file, std::size_t at, std::size_t bytes) {
    std::string out(bytes, '\0');
    std::size_t done = 0;
    while (done < bytes) {
        const ssize_t n = ::pread(file, out.data() + done, bytes - done, static_cast<off_t>(at + done));
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return std::nullopt;
        if (n == 0) break;
        done += static_cast<std::size_t>(n);
    }
    out.resize(done);
    return out;
}

// A copy's bytes as far as its own head says they go.
std::optional<std::string> read_copy(int file, std::size_t at, std::size_t room) {
    auto out = read_some(file, at, sizeof(Header));
    if (!out || out->size() < sizeof(Header)) return out;
    Header header{};
    std::memcpy(&header, out->data(), sizeof header);
    if (header.magic != magic || header.length > room) return out;
    const auto record = read_some(file, at + sizeof header, header.length);
    if (!record) return std::nullopt;
    return *out + *record;
}

// Room made now is room that a full disk cannot take away later.
void preallocate(int file, std::size_t bytes) {
    const std::string zeros(std::min(bytes, chunk), '\0');
    for (std::size_t done = 0; done < bytes; done += zeros.size())
        if (::pwrite(file, zeros.data(), zeros.size(), static_cast<off_t>(done)) < 0) return;
    ::fsync(file);
}

} // namespace

std::string encode_copy(std::uint64_t serial, std::string_view record) {
    const Header header{magic, version, checksum_of(serial, record), serial, record.size()};
    std::string out(sizeof header, '\0');
    std::memcpy(out.data(), &header, sizeof header);
    out.append(record);
    return out;
}

SlotContent decode_copy(std::string_view bytes, std::uint64_t& serial, std::string& record) {
    Header header{};
    if (std::ranges::all_of(bytes.substr(0, sizeof header), [](char c) { return c == '\0'; }))
        return SlotContent::empty;
    if (bytes.size() < sizeof header) return SlotContent::torn;
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.magic != magic) return SlotContent::foreign;
    if (header.version > version) return SlotContent::newer;
    if (header.length > bytes.size() - sizeof header) return SlotContent::torn;
    const std::string_view body = bytes.substr(sizeof header, header.length);
    if (checksum_of(header.serial, body) != header.checksum) return SlotContent::torn;
    serial = header.serial;
    record = std::string(body);
    return SlotContent::valid;
}

std::size_t second_copy_at(std::size_t room) { return sizeof(Header) + room; }

SlotContent decode_slot(std::string_view first_copy, std::string_view second_copy, std::uint64_t& serial,
                        std::string& record) {
    std::uint64_t first_serial = 0, second_serial = 0;
    std::string first_record, second_record;
    const SlotContent first = decode_copy(first_copy, first_serial, first_record);
    const SlotContent second = decode_copy(second_copy, second_serial, second_record);
    if (first != SlotContent::valid && second != SlotContent::valid)
        return first == SlotContent::empty ? second : first;
    const bool use_second =
        first != SlotContent::valid || (second == SlotContent::valid && second_serial > first_serial);
    serial = use_second ? second_serial : first_serial;
    record = std::move(use_second ? second_record : first_record);
    return SlotContent::valid;
}

errors::Result<RecordRing> RecordRing::open(const std::filesystem::path& folder, std::string_view name,
                                            std::size_t slots, std::size_t room) {
    using errors::Error;
    using errors::ErrorKind;
    RecordRing ring;
    ring.room_ = room;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        ring.paths_.push_back((folder / fmt::format("{}-{}.ring", name, slot)).string());
        const std::string& path = ring.paths_.back();
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (file < 0)
            return Error{ErrorKind::storage_failed,
                         fmt::format("cannot open {}: {}", path, std::strerror(errno))};
        ring.files_.push_back(file);
        struct stat status {};
        if (::fstat(file, &status) != 0 || status.st_size == 0) preallocate(file, 2 * second_copy_at(room));
        const auto first = read_copy(file, 0, room);
        const auto second = read_copy(file, second_copy_at(room), room);
        if (!first || !second) return Error{ErrorKind::storage_failed, fmt::format("cannot read {}", path)};
        std::uint64_t serial = 0;
        std::string record;
        const SlotContent content = decode_slot(*first, *second, serial, record);
        ring.found_.push_back(content);
        if (content != SlotContent::valid || serial <= ring.serial_) continue;
        ring.serial_ = serial;
        ring.newest_ = std::move(record);
        ring.next_slot_ = (slot + 1) % slots;
    }
    if (ring.newest_ && !ring.write(std::string(*ring.newest_)))
        return Error{ErrorKind::storage_failed, fmt::format("cannot write the newest {} anew", name)};
    return ring;
}

RecordRing::RecordRing(RecordRing&& other) noexcept
    : paths_(std::move(other.paths_)), files_(std::exchange(other.files_, {})),
      found_(std::move(other.found_)), newest_(std::move(other.newest_)), serial_(other.serial_),
      next_slot_(other.next_slot_), room_(other.room_), suspect_(other.suspect_) {}

RecordRing::~RecordRing() {
    for (const int file : files_)
        if (file >= 0) ::close(file);
}

bool RecordRing::write(std::string_view record) {
    if (record.size() > room_) return false;
    const std::size_t slot = next_slot_;
    // A serial is not used twice: one that failed may be there after all.
    const std::string bytes = encode_copy(++serial_, record);
    const bool was_suspect = std::exchange(suspect_, true);
    if (!write_slot(slot, bytes) || (was_suspect && !reads_back(slot, bytes))) return false;
    suspect_ = false;
    next_slot_ = (slot + 1) % files_.size();
    newest_ = std::string(record);
    return true;
}

bool RecordRing::write_slot(std::size_t slot, std::string_view bytes) {
    const int file = files_[slot];
    return write_all(file, 0, bytes) && write_all(file, second_copy_at(room_), bytes) &&
           ::fdatasync(file) == 0;
}

// An error that a sync reported once may not be reported again: the bytes themselves are looked at, through a
// file of its own.
bool RecordRing::reads_back(std::size_t slot, std::string_view bytes) {
    const int again = ::open(paths_[slot].c_str(), O_RDWR | O_CLOEXEC);
    if (again < 0) return false;
    ::close(std::exchange(files_[slot], again));
    return read_some(again, 0, bytes.size()) == bytes &&
           read_some(again, second_copy_at(room_), bytes.size()) == bytes;
}

} // namespace willowrill::storage
