#include "system/storage/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace willowrill::storage {
namespace {

constexpr std::size_t preallocation_chunk_bytes = 65536;
constexpr mode_t new_file_mode = 0644;
constexpr mode_t new_folder_mode = 0755;

bool sync_folder(const std::filesystem::path& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

} // namespace

bool create_folder(const std::filesystem::path& folder) {
    std::error_code ignored;
    if (folder.empty() || std::filesystem::is_directory(folder, ignored)) return true;
    const std::filesystem::path parent = folder.has_parent_path() ? folder.parent_path() : ".";
    if (!create_folder(parent)) return false;
    if (::mkdir(folder.c_str(), new_folder_mode) != 0 && errno != EEXIST) return false;
    return sync_folder(parent);
}

std::optional<File> File::open_or_create(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, new_file_mode);
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
    std::string bytes(size, '\0');
    std::size_t bytes_done = 0;
    while (bytes_done < size) {
        const ssize_t count = ::pread(descriptor_, bytes.data() + bytes_done, size - bytes_done,
                                      static_cast<off_t>(offset + bytes_done));
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) return std::nullopt;
        if (count == 0) break;
        bytes_done += static_cast<std::size_t>(count);
    }
    bytes.resize(bytes_done);
    return bytes;
}

bool File::write(std::size_t offset, std::string_view bytes) {
    std::size_t bytes_done = 0;
    while (bytes_done < bytes.size()) {
        const ssize_t count = ::pwrite(descriptor_, bytes.data() + bytes_done, bytes.size() - bytes_done,
                                       static_cast<off_t>(offset + bytes_done));
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        bytes_done += static_cast<std::size_t>(count);
    }
    return true;
}

bool File::sync() { return ::fdatasync(descriptor_) == 0; }

void File::preallocate(std::size_t size) {
    const std::string zeros(std::min(size, preallocation_chunk_bytes), '\0');
    for (std::size_t bytes_done = 0; bytes_done < size; bytes_done += zeros.size())
        if (::pwrite(descriptor_, zeros.data(), zeros.size(), static_cast<off_t>(bytes_done)) < 0) return;
    ::fsync(descriptor_);
}

} // namespace willowrill::storage
