// The simulator's wire protocol: each request and each reply is one line of JSON. This adapter only
// translates; all decisions are made by the library.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace willowrill::simulator_adapter {

// The input violates the protocol. `what()` is one line.
class WireError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

class Instance;

// Hosts the dispatcher instances of one process. The instances share no state.
class Host {
  public:
    Host();
    ~Host();

    // Handles one batch and returns its reply without a newline; the reply is valid until the next call.
    // Parsing modifies `line`. Throws WireError.
    std::string_view handle_line(std::string& line);

    // Returns the number of job and worker names that all instances hold.
    std::size_t tracked_name_count() const;

  private:
    struct Buffers;
    std::map<long long, std::unique_ptr<Instance>> instances_;
    std::unique_ptr<Buffers> buffers_;
};

} // namespace willowrill::simulator_adapter
