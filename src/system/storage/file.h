// A file that is read and written at stated places. Owns its descriptor. One thread; every call may wait for
// the disk.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::storage {

class File {
  public:
    // Nothing where the file cannot be opened; `errno` says why.
    static std::optional<File> open_or_create(const std::string& path);
    static std::optional<File> open(const std::string& path);

    File(File&& other) noexcept;
    File& operator=(File&& other) noexcept;
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    ~File();

    // Of no bytes, or of a size that cannot be told.
    bool is_empty() const;
    // Up to so many bytes, fewer at the end of the file; nothing where the disk reports an error.
    std::optional<std::string> read(std::size_t offset, std::size_t size) const;
    // False where not everything was written.
    bool write(std::size_t offset, std::string_view bytes);
    // False where the written bytes may not survive a loss of power.
    bool sync();
    // Fills so many bytes with zeros: room made now is room that a full disk cannot take away later.
    void preallocate(std::size_t size);

  private:
    explicit File(int descriptor) : descriptor_(descriptor) {}

    int descriptor_ = -1; // -1 once moved from
};

} // namespace willowrill::storage
