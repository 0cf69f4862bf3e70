// A folder of a test's own, removed with all that is in it at the end.
#pragma once

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

class ScratchFolder {
  public:
    // Throws std::system_error where no folder can be made.
    ScratchFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "willowrill-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) throw std::system_error(errno, std::generic_category(), name);
        path_ = name;
    }
    ~ScratchFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    ScratchFolder(const ScratchFolder&) = delete;
    ScratchFolder& operator=(const ScratchFolder&) = delete;
    const std::filesystem::path& path() const { return path_; }

  private:
    std::filesystem::path path_;
};
