// HTTP/1.1 as far as the program needs it: an incremental parser of requests and answers. No sockets here.
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
// What a connection reads ahead of the parser, which takes all that is there.
inline constexpr std::size_t input_buffer_bytes = std::size_t{16} * 1024;

struct Head {
    std::string method, target;                              // of a request
    int status = 0;                                          // of an answer
    int minor = 1;                                           // HTTP/1.minor
    std::vector<std::pair<std::string, std::string>> fields; // names in lower case

    const std::string* find(std::string_view name) const; // the first of that name, which is in lower case
    bool has_token(std::string_view name, std::string_view token) const; // in a list such as Connection's
    bool keeps_alive() const;
};

// Takes in one message piece by piece. After `done`, `restart` makes it ready for the next.
class Parser {
  public:
    enum class Kind { request, response };
    enum class State { start, fields, body, until_close, chunk_size, chunk, chunk_end, trailers, done, bad };

    explicit Parser(Kind kind) : kind_(kind) {}

    std::size_t feed(std::string_view bytes); // how many were used; stops behind the end of the message
    void end_of_input();                      // an answer without a length ends here, any other is bad
    void restart();

    State state() const { return state_; }
    bool done() const { return state_ == State::done; }
    bool bad() const { return state_ == State::bad; }
    bool begun() const { return state_ != State::start || !line_.empty(); }
    bool head_done() const { return state_ > State::fields && !bad(); }
    int error() const { return error_; } // when bad: the status that tells a client so
    const Head& head() const { return head_; }
    std::string& body() { return body_; } // may be emptied on the way; the limit is on what it holds

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
    std::size_t head_size_ = 0;
    std::uint64_t left_ = 0; // of the body or the chunk
};

// A request or an answer with its body; `Content-Length` is added.
using Fields = std::vector<std::pair<std::string_view, std::string>>;
std::string write_request(std::string_view method, std::string_view target, const Fields& fields,
                          std::string_view body);
std::string write_response(int status, const Fields& fields, std::string_view body);

// Whole numbers without sign, blanks or other decoration.
std::optional<std::uint64_t> parse_unsigned(std::string_view text, int base = 10);

} // namespace willowrill::net::http
