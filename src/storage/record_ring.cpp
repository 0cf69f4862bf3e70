#include "storage/record_ring.h"

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

// On disk, in this order and little-endian: magic, version, serial, length, checksum of all that and the
// record.
struct Header {
    std::array<char, 8> magic;
    std::uint32_t version;
    std::uint32_t checksum;
    std::uint64_t serial;
    std::uint64_t length;
};
static_assert(sizeof(Header) == 32);

constexpr std::array<char, 8> magic{'w', 'i', 'l', 'l', 'o', 'w', 'r', 'r'};
constexpr std::uint32_t version = 1;
constexpr std::size_t chunk = 65536;

std::uint32_t checksum_of(std::uint64_t serial, std::string_view record) {
    boost::crc_32_type crc;
    crc.process_bytes(&serial, sizeof serial);
    crc.process_bytes(record.data(), record.size());
    return crc.checksum();
}

bool write_all(int file, std::string_view bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::pwrite(file, bytes.data() + done, bytes.size() - done, static_cast<off_t>(done));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

std::string read_all(int file) {
    std::string out;
    std::array<char, chunk> buffer{};
    for (;;) {
        const ssize_t n = ::pread(file, buffer.data(), buffer.size(), static_cast<off_t>(out.size()));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return out;
        out.append(buffer.data(), static_cast<std::size_t>(n));
    }
}

// Room made now is room that a full disk cannot take away later.
void preallocate(int file, std::size_t bytes) {
    const std::string zeros(std::min(bytes, chunk), '\0');
    for (std::size_t done = 0; done < bytes; done += zeros.size())
        if (::pwrite(file, zeros.data(), zeros.size(), static_cast<off_t>(done)) < 0) return;
    ::fsync(file);
}

} // namespace

std::string encode_slot(std::uint64_t serial, std::string_view record) {
    const Header header{magic, version, checksum_of(serial, record), serial, record.size()};
    std::string out(sizeof header, '\0');
    std::memcpy(out.data(), &header, sizeof header);
    out.append(record);
    return out;
}

SlotContent decode_slot(std::string_view bytes, std::uint64_t& serial, std::string& record) {
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

errors::Result<RecordRing> RecordRing::open(const std::filesystem::path& folder, std::string_view name,
                                            std::size_t slots, std::size_t slot_bytes) {
    RecordRing ring;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        const std::string path = (folder / fmt::format("{}-{}.ring", name, slot)).string();
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
        if (file < 0)
            return errors::Error{errors::ErrorKind::storage_failed,
                                 fmt::format("cannot open {}: {}", path, std::strerror(errno))};
        ring.files_.push_back(file);
        struct stat status {};
        if (::fstat(file, &status) != 0 || status.st_size == 0) preallocate(file, slot_bytes);
        std::uint64_t serial = 0;
        std::string record;
        const SlotContent content = decode_slot(read_all(file), serial, record);
        ring.found_.push_back(content);
        if (content != SlotContent::valid || serial <= ring.serial_) continue;
        ring.serial_ = serial;
        ring.newest_ = std::move(record);
        ring.next_slot_ = (slot + 1) % slots;
    }
    return ring;
}

RecordRing::RecordRing(RecordRing&& other) noexcept
    : files_(std::exchange(other.files_, {})), found_(std::move(other.found_)),
      newest_(std::move(other.newest_)), serial_(other.serial_), next_slot_(other.next_slot_) {}

RecordRing::~RecordRing() {
    for (const int file : files_)
        ::close(file);
}

bool RecordRing::write(std::string_view record) {
    const int file = files_[next_slot_];
    if (!write_all(file, encode_slot(serial_ + 1, record)) || ::fdatasync(file) != 0) return false;
    ++serial_;
    next_slot_ = (next_slot_ + 1) % files_.size();
    newest_ = std::string(record);
    return true;
}

} // namespace willowrill::storage
