// A folder of its own under /tmp, gone with all that is in it when the object is.
#pragma once

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace willowrill::lab {

class Folder {
  public:
    Folder() { // throws std::system_error
        if (::mkdtemp(path.data()) == nullptr)
            throw std::system_error(errno, std::generic_category(), "no folder can be made in /tmp");
    }
    ~Folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    std::string path = "/tmp/willowrill-XXXXXX";
};

} // namespace willowrill::lab
