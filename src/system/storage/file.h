// A file with positional reads and writes. Owns its descriptor. Not thread-safe; every call may block on the
// disk.
#pragma once

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace willowrill::storage {

// Creates the folder, with those above it, unless it is there. Each new one is durable in the one above.
// Returns false and sets `errno` if it cannot be had.
bool create_folder(const std::filesystem::path& folder);

class File {
  public:
    // Return an empty optional and set `errno` if the file cannot be opened.
    static std::optional<File> open_or_create(const std::string& path);
    static std::optional<File> open(const std::string& path);

    File(File&& other) noexcept;
    File& operator=(File&& other) noexcept;
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    ~File();

    // Whether the file has no bytes or its size cannot be determined.
    bool is_empty() const;
    // Reads up to `size` bytes, fewer at the end of the file. Returns an empty optional on an I/O error.
    std::optional<std::string> read(std::size_t offset, std::size_t size) const;
    // Returns false unless all bytes were written.
    bool write(std::size_t offset, std::string_view bytes);
    // Makes written bytes durable. Returns false if they may not survive a power failure.
    bool sync();
    // Fills the first `size` bytes with zeros, to reserve the space before the disk becomes full.
    void preallocate(std::size_t size);

  private:
    explicit File(int descriptor) : descriptor_(descriptor) {}

    int descriptor_ = -1; // -1 after a move
};

} // namespace willowrill::storage
