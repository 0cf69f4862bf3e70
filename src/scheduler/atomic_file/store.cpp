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
constexpr std::size_t head = magic.size() + 4 + 8 + 8;

class File { // closes itself
  public:
    File(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~File() {
        if (fd_ >= 0) ::close(fd_);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    int get() const { return fd_; }

  private:
    int fd_;
};

template <class Number> void put(Bytes& out, Number number) {
    for (std::size_t i = 0; i < sizeof number; ++i)
        out.push_back(static_cast<unsigned char>(number >> (8 * i)));
}

template <class Number> Number get(std::span<const unsigned char> from) {
    Number out = 0;
    for (std::size_t i = 0; i < sizeof out; ++i)
        out |= static_cast<Number>(from[i]) << (8 * i);
    return out;
}

constexpr std::string_view mark = ".new-"; // then the writer's process and a number in it
std::atomic<unsigned> made{0};

bool writer_is_gone(std::string_view rest) {
    pid_t process = 0;
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), process);
    const bool ours = error == std::errc() && end != rest.data() + rest.size() && *end == '-' && process > 0;
    return ours && ::kill(process, 0) != 0 && errno == ESRCH;
}

int sync_path(const std::string& path, int flags) {
    const File file(path, flags);
    return file.get() >= 0 && ::fsync(file.get()) == 0 ? 0 : errno;
}

} // namespace

int FileSystem::write(const std::string& path, std::span<const unsigned char> bytes) {
    const File file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (file.get() < 0) return errno;
    while (!bytes.empty()) {
        const auto done = ::write(file.get(), bytes.data(), bytes.size());
        if (done < 0 && errno == EINTR) continue;
        if (done <= 0) return done < 0 ? errno : EIO;
        bytes = bytes.subspan(static_cast<std::size_t>(done));
    }
    return 0;
}

int FileSystem::sync(const std::string& path) { return sync_path(path, O_RDONLY); }
int FileSystem::sync_folder(const std::string& path) { return sync_path(path, O_RDONLY | O_DIRECTORY); }

int FileSystem::rename(const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int FileSystem::read(const std::string& path, Bytes& into, std::size_t most) {
    const File file(path, O_RDONLY);
    struct stat about {};
    if (file.get() < 0 || ::fstat(file.get(), &about) != 0) return errno;
    if (!S_ISREG(about.st_mode)) return EINVAL;
    if (static_cast<std::size_t>(about.st_size) > most) return EFBIG;
    into.resize(static_cast<std::size_t>(about.st_size));
    std::size_t have = 0;
    while (have < into.size()) {
        const auto got = ::read(file.get(), into.data() + have, into.size() - have);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0) return errno;
        if (got == 0) break;
        have += static_cast<std::size_t>(got);
    }
    into.resize(have);
    return 0;
}

void FileSystem::tidy(const std::string& folder, const std::string& prefix,
                      bool (*abandoned)(std::string_view rest)) {
    std::error_code error;
    std::vector<std::filesystem::path> found;
    for (std::filesystem::directory_iterator at(folder, error), end; !error && at != end;
         at.increment(error)) {
        const std::string name = at->path().filename().string();
        if (name.starts_with(prefix) && abandoned(std::string_view(name).substr(prefix.size())))
            found.push_back(at->path());
    }
    for (const auto& path : found)
        std::filesystem::remove(path, error);
}

const char* name_of(LoadStatus found) {
    static constexpr std::array<const char*, 6> names{"whole", "none", "torn", "foreign", "newer", "unread"};
    return names.at(static_cast<std::size_t>(found));
}

Bytes pack(std::span<const unsigned char> content, std::uint32_t format) {
    Bytes out(magic.begin(), magic.end());
    out.reserve(head + content.size());
    put(out, format);
    put(out, static_cast<std::uint64_t>(content.size()));
    put(out, static_cast<std::uint64_t>(XXH3_64bits_withSeed(content.data(), content.size(), format)));
    out.insert(out.end(), content.begin(), content.end());
    return out;
}

LoadStatus unpack(std::span<const unsigned char> file, std::uint32_t format,
                  std::span<const unsigned char>& content) {
    const std::size_t there = std::min(file.size(), magic.size());
    if (there == 0 ||
        !std::equal(file.begin(), file.begin() + static_cast<std::ptrdiff_t>(there), magic.begin()))
        return LoadStatus::unrecognized;
    if (file.size() < head) return LoadStatus::corrupt;
    const auto stated = get<std::uint32_t>(file.subspan(magic.size()));
    if (stated > format) return LoadStatus::newer_format;
    if (stated == 0) return LoadStatus::corrupt;
    content = file.subspan(head);
    if (get<std::uint64_t>(file.subspan(magic.size() + 4)) != content.size()) return LoadStatus::corrupt;
    const std::uint64_t sum = XXH3_64bits_withSeed(content.data(), content.size(), stated);
    return get<std::uint64_t>(file.subspan(magic.size() + 12)) == sum ? LoadStatus::intact
                                                                      : LoadStatus::corrupt;
}

AtomicFile::AtomicFile(std::string folder, std::string name, std::uint32_t format, FileSystem& disk)
    : folder_(std::move(folder)), name_(std::move(name)), path_(folder_ + "/" + name_),
      temporary_(path_ + std::string(mark) + std::to_string(::getpid()) + "-" + std::to_string(made++)),
      format_(format), disk_(disk) {}

std::optional<std::string> AtomicFile::save(std::span<const unsigned char> content) {
    const std::string& temporary = temporary_;
    const auto failed = [](const std::string& what, int error) {
        return "cannot " + what + ": " + std::strerror(error);
    };
    if (const int error = disk_.write(temporary, pack(content, format_)))
        return failed("write " + temporary, error);
    // Before the rename: else the name could reach the disk before what it names.
    if (const int error = disk_.sync(temporary)) return failed("sync " + temporary, error);
    if (const int error = disk_.rename(temporary, path_)) return failed("rename " + temporary, error);
    if (const int error = disk_.sync_folder(folder_)) return failed("sync " + folder_, error);
    return std::nullopt;
}

AtomicFile::LoadResult AtomicFile::load() {
    // What a process that died left half written; one that lives is another run beside this one.
    disk_.tidy(folder_, name_ + std::string(mark), writer_is_gone);
    LoadResult out;
    Bytes file;
    if (const int error = disk_.read(path_, file, max_bytes)) {
        out.status = error == ENOENT ? LoadStatus::missing : LoadStatus::unreadable;
        if (error != ENOENT) out.message = path_ + " cannot be read: " + std::strerror(error);
        return out;
    }
    std::span<const unsigned char> content;
    out.status = unpack(file, format_, content);
    if (out.status == LoadStatus::intact) {
        out.content.assign(content.begin(), content.end());
        return out;
    }
    const std::string aside = path_ + ".aside";
    const int error = disk_.rename(path_, aside);
    out.message = path_ + " is " + name_of(out.status) + " (" + std::to_string(file.size()) + " bytes); " +
                  (error == 0 ? "put aside as " + aside
                              : "it cannot be put aside: " + std::string(std::strerror(error)));
    return out;
}

} // namespace willowrill::atomic_file
