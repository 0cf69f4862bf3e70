#include "scheduler/atomic_file/store.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace willowrill::atomic_file {
namespace {

constexpr std::array<unsigned char, 8> magic{'W', 'L', 'W', 'S', 'T', 'A', 'T', 'E'};
constexpr std::size_t header_bytes = magic.size() + 4 + 8 + 8;

class FileDescriptor { // closed by the destructor
  public:
    FileDescriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~FileDescriptor() {
        if (fd_ >= 0) ::close(fd_);
    }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;
    int get() const { return fd_; }

  private:
    int fd_;
};

template <class Number> void append_little_endian(Bytes& bytes, Number number) {
    for (std::size_t i = 0; i < sizeof number; ++i)
        bytes.push_back(static_cast<unsigned char>(number >> (8 * i)));
}

template <class Number> Number read_little_endian(std::span<const unsigned char> bytes) {
    Number number = 0;
    for (std::size_t i = 0; i < sizeof number; ++i)
        number |= static_cast<Number>(bytes[i]) << (8 * i);
    return number;
}

// A temporary file is called <name>.new-<process id>-<number>; the number is unique within the process.
constexpr std::string_view temporary_infix = ".new-";
std::atomic<unsigned> temporary_count{0};

// Whether the process named by a temporary file's suffix, `<process id>-<number>`, no longer exists.
bool is_writer_dead(std::string_view suffix) {
    pid_t process = 0;
    const auto [end, error] = std::from_chars(suffix.data(), suffix.data() + suffix.size(), process);
    const bool is_valid =
        error == std::errc() && end != suffix.data() + suffix.size() && *end == '-' && process > 0;
    return is_valid && ::kill(process, 0) != 0 && errno == ESRCH;
}

int sync_path(const std::string& path, int flags) {
    const FileDescriptor file(path, flags);
    return file.get() >= 0 && ::fsync(file.get()) == 0 ? 0 : errno;
}

} // namespace

int FileSystem::write(const std::string& path, std::span<const unsigned char> bytes) {
    const FileDescriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (file.get() < 0) return errno;
    while (!bytes.empty()) {
        const auto written = ::write(file.get(), bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return written < 0 ? errno : EIO;
        bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
    return 0;
}

int FileSystem::sync(const std::string& path) { return sync_path(path, O_RDONLY); }
int FileSystem::sync_directory(const std::string& path) { return sync_path(path, O_RDONLY | O_DIRECTORY); }

int FileSystem::rename(const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int FileSystem::read(const std::string& path, Bytes& content, std::size_t max_file_bytes) {
    const FileDescriptor file(path, O_RDONLY);
    struct stat file_status {};
    if (file.get() < 0 || ::fstat(file.get(), &file_status) != 0) return errno;
    if (!S_ISREG(file_status.st_mode)) return EINVAL;
    if (static_cast<std::size_t>(file_status.st_size) > max_file_bytes) return EFBIG;
    content.resize(static_cast<std::size_t>(file_status.st_size));
    std::size_t bytes_read = 0;
    while (bytes_read < content.size()) {
        const auto chunk = ::read(file.get(), content.data() + bytes_read, content.size() - bytes_read);
        if (chunk < 0 && errno == EINTR) continue;
        if (chunk < 0) return errno;
        if (chunk == 0) break;
        bytes_read += static_cast<std::size_t>(chunk);
    }
    content.resize(bytes_read);
    return 0;
}

void FileSystem::remove_abandoned_files(const std::string& directory, const std::string& prefix,
                                        bool (*is_abandoned)(std::string_view suffix)) {
    std::error_code error;
    std::vector<std::filesystem::path> abandoned_paths;
    for (std::filesystem::directory_iterator at(directory, error), end; !error && at != end;
         at.increment(error)) {
        const std::string name = at->path().filename().string();
        if (name.starts_with(prefix) && is_abandoned(std::string_view(name).substr(prefix.size())))
            abandoned_paths.push_back(at->path());
    }
    for (const auto& path : abandoned_paths)
        std::filesystem::remove(path, error);
}

const char* name_of(LoadStatus status) {
    static constexpr std::array<const char*, 6> names{"whole", "none", "torn", "foreign", "newer", "unread"};
    return names.at(static_cast<std::size_t>(status));
}

Bytes pack(std::span<const unsigned char> content, std::uint32_t format) {
    Bytes packed(magic.begin(), magic.end());
    packed.reserve(header_bytes + content.size());
    append_little_endian(packed, format);
    append_little_endian(packed, static_cast<std::uint64_t>(content.size()));
    append_little_endian(
        packed, static_cast<std::uint64_t>(XXH3_64bits_withSeed(content.data(), content.size(), format)));
    packed.insert(packed.end(), content.begin(), content.end());
    return packed;
}

LoadStatus unpack(std::span<const unsigned char> file, std::uint32_t format,
                  std::span<const unsigned char>& content) {
    const std::size_t compared = std::min(file.size(), magic.size());
    if (compared == 0 ||
        !std::equal(file.begin(), file.begin() + static_cast<std::ptrdiff_t>(compared), magic.begin()))
        return LoadStatus::unrecognized;
    if (file.size() < header_bytes) return LoadStatus::corrupt;
    const auto stored_format = read_little_endian<std::uint32_t>(file.subspan(magic.size()));
    if (stored_format > format) return LoadStatus::newer_format;
    if (stored_format == 0) return LoadStatus::corrupt;
    content = file.subspan(header_bytes);
    if (read_little_endian<std::uint64_t>(file.subspan(magic.size() + 4)) != content.size())
        return LoadStatus::corrupt;
    const std::uint64_t checksum = XXH3_64bits_withSeed(content.data(), content.size(), stored_format);
    return read_little_endian<std::uint64_t>(file.subspan(magic.size() + 12)) == checksum
               ? LoadStatus::intact
               : LoadStatus::corrupt;
}

AtomicFile::AtomicFile(std::string directory, std::string name, std::uint32_t format, FileSystem& file_system)
    : directory_(std::move(directory)), name_(std::move(name)), path_(directory_ + "/" + name_),
      temporary_path_(path_ + std::string(temporary_infix) + std::to_string(::getpid()) + "-" +
                      std::to_string(temporary_count++)),
      format_(format), file_system_(file_system) {}

std::optional<std::string> AtomicFile::save(std::span<const unsigned char> content) {
    const std::string& temporary_path = temporary_path_;
    const auto failed = [](const std::string& operation, int error) {
        return "cannot " + operation + ": " + std::strerror(error);
    };
    if (const int error = file_system_.write(temporary_path, pack(content, format_)))
        return failed("write " + temporary_path, error);
    // The content must be durable before the rename: otherwise the new name could reach the disk first.
    if (const int error = file_system_.sync(temporary_path)) return failed("sync " + temporary_path, error);
    if (const int error = file_system_.rename(temporary_path, path_))
        return failed("rename " + temporary_path, error);
    if (const int error = file_system_.sync_directory(directory_)) return failed("sync " + directory_, error);
    return std::nullopt;
}

AtomicFile::LoadResult AtomicFile::load() {
    // Removes temporary files of dead processes. Those of a live process belong to another instance of the
    // scheduler that runs side by side with this one during an upgrade.
    file_system_.remove_abandoned_files(directory_, name_ + std::string(temporary_infix), is_writer_dead);
    LoadResult result;
    Bytes file;
    if (const int error = file_system_.read(path_, file, max_bytes)) {
        result.status = error == ENOENT ? LoadStatus::missing : LoadStatus::unreadable;
        if (error != ENOENT) result.message = path_ + " cannot be read: " + std::strerror(error);
        return result;
    }
    std::span<const unsigned char> content;
    result.status = unpack(file, format_, content);
    if (result.status == LoadStatus::intact) {
        result.content.assign(content.begin(), content.end());
        return result;
    }
    const std::string aside_path = path_ + ".aside";
    const int error = file_system_.rename(path_, aside_path);
    result.message = path_ + " is " + name_of(result.status) + " (" + std::to_string(file.size()) +
                     " bytes); " +
                     (error == 0 ? "put aside as " + aside_path
                                 : "it cannot be put aside: " + std::string(std::strerror(error)));
    return result;
}

} // namespace willowrill::atomic_file
