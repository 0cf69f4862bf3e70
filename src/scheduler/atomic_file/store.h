// One file that is replaced whole: written to a temporary name, synced, renamed, and the folder synced.
// Whatever moment the process or the machine dies at, the next one reads the former content or the new one,
// never a mixture; what is damaged all the same is told from what was never ours, and put aside rather than
// destroyed.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace willowrill::atomic_file {

using Bytes = std::vector<unsigned char>;

// The system calls, one by one, so that tests can fail or end at each. Results as errno; 0 is success.
class FileSystem {
  public:
    virtual ~FileSystem() = default;
    virtual int write(const std::string& path, std::span<const unsigned char> bytes); // creates or empties it
    virtual int sync(const std::string& path);
    virtual int rename(const std::string& from, const std::string& to);
    virtual int sync_folder(const std::string& path);
    virtual int read(const std::string& path, Bytes& into, std::size_t most);
    // Removes the folder's files whose names are `prefix` and what `abandoned` knows.
    virtual void tidy(const std::string& folder, const std::string& prefix,
                      bool (*abandoned)(std::string_view rest));
};

enum class LoadStatus : std::uint8_t {
    intact,
    missing,      // there is no file
    corrupt,      // ours, but its length or checksum does not fit
    unrecognized, // not ours, or empty
    newer_format, // of a later version of the program
    unreadable    // the system says no
};
const char* name_of(LoadStatus found);

// Magic, format, length and checksum stand before the content.
Bytes pack(std::span<const unsigned char> content, std::uint32_t format);
LoadStatus unpack(std::span<const unsigned char> file, std::uint32_t format,
                  std::span<const unsigned char>& content);

class AtomicFile {
  public:
    static constexpr std::size_t max_bytes = 1U << 30U;

    AtomicFile(std::string folder, std::string name, std::uint32_t format, FileSystem& disk);

    // An error in one sentence for the operators, or nothing. The former content stays readable until the new
    // one is.
    std::optional<std::string> save(std::span<const unsigned char> content);
    struct LoadResult {
        LoadStatus status{};
        Bytes content;
        std::string message; // for the operators: what was wrong, and where the file is now
    };
    // What is of no use is renamed, and the place is free.
    LoadResult load();

    const std::string& path() const { return path_; }

  private:
    std::string folder_, name_, path_, temporary_; // the last: no other process's, nor another store's here
    std::uint32_t format_;
    FileSystem& disk_;
};

} // namespace willowrill::atomic_file
