// A file that is replaced atomically: the new content is written to a temporary file, synced and renamed, and
// the directory is synced. Whenever the process or the machine crashes, the next load returns the old content
// or the new one, never a mixture. A file that is corrupt nevertheless is distinguished from one that this
// class did not write; either is renamed rather than deleted.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::atomic_file {

using Bytes = std::vector<unsigned char>;

// The file operations as virtual functions, so that tests can inject a failure or a crash at each of them.
// They return an errno value, 0 for success.
class FileSystem {
  public:
    virtual ~FileSystem() = default;
    virtual int write(const std::string& path, std::span<const unsigned char> bytes); // creates or truncates
    virtual int sync(const std::string& path);
    virtual int rename(const std::string& from, const std::string& to);
    virtual int sync_directory(const std::string& path);
    // Fails with EFBIG if the file is larger than `max_file_bytes`, and with EINVAL if it is not a regular
    // file.
    virtual int read(const std::string& path, Bytes& content, std::size_t max_file_bytes);
    // Removes the files of the directory whose name is `prefix` and a suffix for which `is_abandoned` is
    // true. Errors are ignored.
    virtual void remove_abandoned_files(const std::string& directory, const std::string& prefix,
                                        bool (*is_abandoned)(std::string_view suffix));
};

enum class LoadStatus : std::uint8_t {
    intact,
    missing,      // the file does not exist
    corrupt,      // truncated, or the length, checksum or format in the header is wrong
    unrecognized, // the magic number is missing, or the file is empty
    newer_format, // written by a later version of the program
    unreadable    // the system cannot read it
};
// The word used in messages and logs.
const char* name_of(LoadStatus status);

// Prepends a header to the content: magic number, format version, length and checksum.
Bytes pack(std::span<const unsigned char> content, std::uint32_t format);
// Checks the header of a packed file. `content` becomes a view into `file` once the header can be read.
LoadStatus unpack(std::span<const unsigned char> file, std::uint32_t format,
                  std::span<const unsigned char>& content);

// Loads and saves one such file.
class AtomicFile {
  public:
    static constexpr std::size_t max_bytes = 1U << 30U;

    AtomicFile(std::string directory, std::string name, std::uint32_t format, FileSystem& file_system);

    // Returns an error message for operators, or nothing on success. The old content stays readable until the
    // new one is.
    std::optional<std::string> save(std::span<const unsigned char> content);
    struct LoadResult {
        LoadStatus status{};
        Bytes content;
        std::string message; // for operators: what is wrong with the file, and where it is now
    };
    // A file that cannot be used is renamed to `<name>.aside`, so that the next `save` does not replace it.
    LoadResult load();

    const std::string& path() const { return path_; }

  private:
    std::string directory_, name_, path_, temporary_path_; // `temporary_path_` is unique to this object
    std::uint32_t format_;
    FileSystem& file_system_;
};

} // namespace willowrill::atomic_file
