// The simulator's wire: one JSON line in, one JSON line out. Translation only; what is decided is decided in
// the library.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace willowrill::simulator_adapter {

// The input is not what the wire allows. The text is one plain line.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class Instance;

// Hosts the instances of one process. They share nothing but this table.
class Host {
  public:
    Host();
    ~Host();

    // Handles one batch and returns its reply, without the line's end. The line is used up. Throws WireError.
    std::string_view handle_line(std::string& line);

    // How many names of jobs and workers are held, over all instances.
    std::size_t names_held() const;

  private:
    struct Buffers;
    std::map<long long, std::unique_ptr<Instance>> instances_;
    std::unique_ptr<Buffers> buffers_;
};

} // namespace willowrill::simulator_adapter
