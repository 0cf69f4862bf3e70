// Reads a message from a connection into a parser of Beast's. Beast's own operations ask for more until a
// chunk's header or the trailers are complete, whatever that takes; this one stops at the buffer's bounds.
// One thread.
#pragma once

#include "system/http_reader/body_memory.h"
#include "system/http_reader/head_check.h"
#include "system/http_reader/input_buffer.h"
#include "system/transport/asio.h"
#include "system/transport/socket_options.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace willowrill::http_reader {

// Where a read ends.
enum class ReadUntil {
    progress, // some of the message was parsed
    head,     // the head is complete
    end       // the message is complete
};

inline Tcp::socket& socket_of(Tcp::socket& socket) { return socket; }
inline Tcp::socket& socket_of(beast::tcp_stream& stream) { return stream.socket(); }

template <class Stream, class Parser, class Memory> class ReadOperation {
  public:
    ReadOperation(Stream& stream, InputBuffer& input, Parser& parser, ReadUntil until, Memory& memory)
        : stream_(stream), input_(input), parser_(parser), until_(until), memory_(memory) {}

    // Called by Boost.Asio: first to begin, then after each step.
    template <class Self> void operator()(Self& self, ErrorCode error = {}, std::size_t received = 0) {
        if (stage_ == Stage::completing) return self.complete(error);
        if (stage_ == Stage::reading) {
            input_.commit(received);
            if (error == asio::error::eof) return self.complete(end_of_stream());
            if (error) return self.complete(error);
        }
        if (parse(error)) return complete(self, error);
        const asio::mutable_buffer room = input_.prepare(error);
        if (error) return complete(self, error);
        stage_ = Stage::reading;
        stream_.async_read_some(room, std::move(self));
    }

  private:
    enum class Stage { starting, reading, completing };

    // Returns whether the read is at its end.
    bool parse(ErrorCode& error) {
        while (!is_reached() && input_.size() > 0) {
            const bool in_head = !parser_.is_header_done();
            const std::size_t parsed = parser_.put(input_.data(), error);
            const ErrorCode head_error = in_head ? check_head(parsed) : ErrorCode();
            input_.consume(parsed);
            if (head_error) {
                error = head_error;
                return true;
            }
            if (error == http::error::need_more) {
                error = {};
                return false;
            }
            if (error) return true;
            if (parser_.is_header_done() && !memory_.has_room(parser_)) {
                error = asio::error::no_memory;
                return true;
            }
            if (until_ == ReadUntil::progress) return true;
        }
        return is_reached();
    }

    bool is_reached() const {
        return until_ == ReadUntil::head ? parser_.is_header_done() : parser_.is_done();
    }

    // What the parser lets pass. `parsed`: the bytes of the head that it has just taken.
    ErrorCode check_head(std::size_t parsed) const {
        if constexpr (Parser::is_request::value) {
            return parser_.is_header_done() ? check_request_head(parser_.get().base()) : ErrorCode();
        } else {
            if (has_folded_field(asio::buffer(input_.data(), parsed))) return http::error::bad_obs_fold;
            return parser_.is_header_done() ? check_response_head(parser_.get().base()) : ErrorCode();
        }
    }

    // A message without a length is complete where its sender has closed the connection, not where it was
    // reset.
    ErrorCode end_of_stream() {
        if (!parser_.got_some()) return http::error::end_of_stream;
        if (parser_.need_eof() && transport::peer_end(socket_of(stream_)) == transport::PeerEnd::reset)
            return asio::error::connection_reset;
        ErrorCode error;
        parser_.put_eof(error);
        return error;
    }

    // Never from inside the call that began the operation.
    template <class Self> void complete(Self& self, ErrorCode error) {
        if (stage_ == Stage::reading) return self.complete(error);
        stage_ = Stage::completing;
        asio::post(stream_.get_executor(), beast::bind_front_handler(std::move(self), error));
    }

    Stream& stream_;
    InputBuffer& input_;
    Parser& parser_;
    ReadUntil until_;
    Memory& memory_;
    Stage stage_ = Stage::starting;
};

// The method of a request, as far as it came: its line may be too long or malformed, and none of it parsed.
template <class Parser> std::string method_of(const Parser& parser, const InputBuffer& input) {
    const auto parsed = parser.get().method_string();
    if (!parsed.empty()) return std::string(parsed);
    const asio::const_buffer unparsed = input.data();
    const std::string_view line(static_cast<const char*>(unparsed.data()), unparsed.size());
    return std::string(line.substr(0, line.find(' ')));
}

// Reads until `until`; `token` gets an ErrorCode. All arguments must live until then. Beside the parser's and
// the connection's errors: http::error::buffer_overflow, asio::error::no_memory, and those of the checks of
// heads.
template <class Stream, class Parser, class Memory, class Token>
auto async_read(Stream& stream, InputBuffer& input, Parser& parser, ReadUntil until, Memory& memory,
                Token&& token) {
    parser.eager(false); // an eager one goes on to the body after an error in the head
    return asio::async_compose<Token, void(ErrorCode)>(
        ReadOperation<Stream, Parser, Memory>(stream, input, parser, until, memory), token,
        stream.get_executor());
}

// The same where no body is kept in the parser.
template <class Stream, class Parser, class Token>
auto async_read(Stream& stream, InputBuffer& input, Parser& parser, ReadUntil until, Token&& token) {
    static NoBodyMemory no_memory;
    return async_read(stream, input, parser, until, no_memory, std::forward<Token>(token));
}

} // namespace willowrill::http_reader
