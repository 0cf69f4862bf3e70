// The subset of HTTP/1.1 that the program needs: an incremental parser of requests and responses, and
// functions that write them. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace willowrill::net::http {

inline constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;
// Input limit of a `Connection` that carries HTTP. The buffer need not hold a whole message, as the parser
// consumes partial ones.
inline constexpr std::size_t input_buffer_bytes = std::size_t{16} * 1024;

// Start line and header fields of a message.
struct Head {
    std::string method, target;                              // requests only
    int status = 0;                                          // responses only
    int minor = 1;                                           // HTTP/1.minor
    std::vector<std::pair<std::string, std::string>> fields; // names in lower case

    // The value of the first field with this name, which must be in lower case; null if there is none.
    const std::string* find(std::string_view name) const;
    // Whether a comma-separated field such as Connection contains `token`. Both must be in lower case.
    bool has_token(std::string_view name, std::string_view token) const;
    bool keeps_alive() const;
};

// Parses one message at a time from pieces of any size. After `done`, `restart` prepares it for the next one.
class Parser {
  public:
    enum class Kind { request, response };
    enum class State { start, fields, body, until_close, chunk_size, chunk, chunk_end, trailers, done, bad };

    explicit Parser(Kind kind) : kind_(kind) {}

    // Returns how many bytes were consumed: fewer than given only at the end of the message or on an error.
    std::size_t feed(std::string_view bytes);
    void end_of_input(); // completes a response without a length; an error for any other incomplete message
    void restart();

    State state() const { return state_; }
    bool done() const { return state_ == State::done; }
    bool bad() const { return state_ == State::bad; }
    // Whether any byte of the current message has been consumed.
    bool begun() const { return state_ != State::start || !line_.empty(); }
    bool head_done() const { return state_ > State::fields && !bad(); }
    int error() const { return error_; } // HTTP status that reports the error; valid when `bad`
    const Head& head() const { return head_; }
    std::string& body() { return body_; } // the caller may consume it; `max_body_bytes` limits its size

  private:
    std::optional<std::string_view> take_line(std::string_view& bytes);
    void on_line(std::string_view line);
    void on_start(std::string_view line);
    void on_field(std::string_view line);
    void on_head_end();
    void on_chunk_size(std::string_view line);
    void add_body(std::string_view& bytes);
    void fail(int status);

    Kind kind_;
    State state_ = State::start;
    int error_ = 0;
    Head head_;
    std::string line_, body_;
    std::size_t head_bytes_ = 0;
    std::uint64_t remaining_bytes_ = 0; // of the body or the current chunk
};

// Serialize a message with its body and add `Content-Length`, except to an empty GET or an interim response.
// `request_method`: of the request that is answered; the response to a HEAD has no body, and the length of
// the one that a GET gets.
using Fields = std::vector<std::pair<std::string_view, std::string>>;
std::string write_request(std::string_view method, std::string_view target, const Fields& fields,
                          std::string_view body);
std::string write_response(int status, const Fields& fields, std::string_view body,
                           std::string_view request_method = "GET");

// Parses an unsigned integer. Signs, spaces, prefixes, trailing characters and overflow are errors.
std::optional<std::uint64_t> parse_unsigned(std::string_view text, int base = 10);

} // namespace willowrill::net::http
