#include "system/storage/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace willowrill::storage {
namespace {

constexpr std::size_t chunk_size = 65536;
constexpr mode_t created_mode = 0644;

} // namespace

std::optional<File> File::open_or_create(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, created_mode);
    if (descriptor < 0) return std::nullopt;
    return File(descriptor);
}

std::optional<File> File::open(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return std::nullopt;
    return File(descriptor);
}

File::File(File&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

File& File::operator=(File&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

File::~File() {
    if (descriptor_ >= 0) ::close(descriptor_);
}

bool File::is_empty() const {
    struct stat status {};
    return ::fstat(descriptor_, &status) != 0 || status.st_size == 0;
}

std::optional<std::string> File::read(std::size_t offset, std::size_t size) const {
    std::string out(size, '\0');
    std::size_t done = 0;
    while (done < size) {
        const ssize_t n =
            ::pread(descriptor_, out.data() + done, size - done, static_cast<off_t>(offset + done));
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return std::nullopt;
        if (n == 0) break;
        done += static_cast<std::size_t>(n);
    }
    out.resize(done);
    return out;
}

bool File::write(std::size_t offset, std::string_view bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::pwrite(descriptor_, bytes.data() + done, bytes.size() - done,
                                   static_cast<off_t>(offset + done));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

bool File::sync() { return ::fdatasync(descriptor_) == 0; }

void File::preallocate(std::size_t size) {
    const std::string zeros(std::min(size, chunk_size), '\0');
    for (std::size_t done = 0; done < size; done += zeros.size())
        if (::pwrite(descriptor_, zeros.data(), zeros.size(), static_cast<off_t>(done)) < 0) return;
    ::fsync(descriptor_);
}

} // namespace willowrill::storage
