// Reading messages within the bounds of their connection and of the process.
#include "system/http_reader/read.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

using namespace willowrill;
using http_reader::BodyMemory;
using http_reader::InputBuffer;
using http_reader::ReadUntil;

namespace {

constexpr std::size_t max_framing = 8192;
constexpr std::size_t memory_bytes = 100'000;

enum class SenderEnd { in_order, reset };

// A connection whose other end has sent all that it will, and what reads from it.
struct Reading {
    explicit Reading(const std::string& sent, std::size_t budget = memory_bytes,
                     SenderEnd end = SenderEnd::in_order)
        : memory(std::make_shared<budget::ByteBudget>(budget)), input(memory, max_framing) {
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        sender.connect(acceptor.local_endpoint());
        acceptor.accept(socket);
        sender.set_option(asio::socket_base::send_buffer_size(1 << 20));
        asio::write(sender, asio::buffer(sent));
        if (end == SenderEnd::in_order) sender.shutdown(Tcp::socket::shutdown_send);
        if (end == SenderEnd::reset) sender.set_option(asio::socket_base::linger(true, 0));
        if (end == SenderEnd::reset) sender.close();
        parser.header_limit(max_framing - 1);
    }

    ErrorCode read(ReadUntil until, BodyMemory& body) {
        std::optional<ErrorCode> result;
        http_reader::async_read(socket, input, parser, until, body, [&](ErrorCode error) { result = error; });
        cr_assert_not(result.has_value(), "never from inside the call");
        while (!result)
            cr_assert_gt(loop.run_one_for(std::chrono::seconds(5)), 0U, "nothing happens any more");
        loop.restart();
        return *result;
    }
    ErrorCode read(ReadUntil until) {
        BodyMemory body(memory, 1);
        return read(until, body);
    }

    asio::io_context loop;
    Tcp::socket sender{loop}, socket{loop};
    std::shared_ptr<budget::ByteBudget> memory;
    InputBuffer input;
    http::response_parser<http::string_body> parser;
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

Test(read, a_message_is_read_to_its_head_and_to_its_end) {
    Reading reading("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 500 Next\r\n");
    cr_assert_not(reading.read(ReadUntil::head));
    cr_assert(reading.parser.is_header_done());
    cr_assert_not(reading.parser.is_done());
    cr_assert_not(reading.read(ReadUntil::end));
    expect_text(reading.parser.get().body().c_str(), "abc");
    // What belongs to the next message stays.
    cr_assert_gt(reading.input.size(), 0U);
}

Test(read, a_message_in_chunks_with_trailers_is_complete) {
    Reading reading(chunked_head + "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Last: 1\r\n\r\n");
    cr_assert_not(reading.read(ReadUntil::end));
    expect_text(reading.parser.get().body().c_str(), "abcde");
}

Test(read, a_message_without_a_length_ends_with_its_connection) {
    Reading reading("HTTP/1.1 200 OK\r\n\r\nabc");
    cr_assert_not(reading.read(ReadUntil::end));
    expect_text(reading.parser.get().body().c_str(), "abc");
    Reading cut("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    cr_assert(cut.read(ReadUntil::end) == http::error::partial_message);
    Reading empty("");
    cr_assert(empty.read(ReadUntil::end) == http::error::end_of_stream);
}

// The kernel reports an error of a socket once; here a write has asked for it before the read.
Test(read, a_message_without_a_length_is_not_complete_where_its_connection_was_reset) {
    Reading reading("HTTP/1.1 200 OK\r\n\r\nabc", memory_bytes, SenderEnd::reset);
    ErrorCode error;
    reading.socket.write_some(asio::buffer("x", 1), error);
    cr_assert(error);
    cr_assert(reading.read(ReadUntil::end));
    cr_assert_not(reading.parser.is_done());
}

// Its head, and not its end, says that it is complete.
Test(read, a_message_with_a_length_is_complete_whatever_becomes_of_its_connection) {
    Reading reading("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", memory_bytes, SenderEnd::reset);
    ErrorCode error;
    reading.socket.write_some(asio::buffer("x", 1), error);
    cr_assert_not(reading.read(ReadUntil::end));
    expect_text(reading.parser.get().body().c_str(), "abc");
}

// Guards against rule FAULT: Beast's operations read on until a chunk's header or the trailers are complete.
Test(read, framing_over_its_bound_ends_the_read) {
    for (const std::string& begin : {chunked_head + "1;", chunked_head + "0\r\nX-Long: "}) {
        Reading reading(begin + std::string(3 * max_framing, 'x'));
        cr_assert(reading.read(ReadUntil::end) == http::error::buffer_overflow);
        cr_assert_leq(reading.input.capacity(), max_framing);
    }
    Reading head("HTTP/1.1 200 OK\r\nX-Long: " + std::string(3 * max_framing, 'x'));
    cr_assert(head.read(ReadUntil::head) == http::error::header_limit);
}

Test(read, a_declared_length_over_the_limit_is_an_error_before_there_is_room_for_it) {
    Reading reading("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\nabc");
    cr_assert(reading.read(ReadUntil::end) == http::error::body_limit);
}

Test(read, a_body_without_room_in_memory_ends_the_read) {
    const std::string declared = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\nabc";
    const std::string in_chunks = chunked_head + "3e8\r\n" + std::string(1000, 'x') + "\r\n3e8\r\n" +
                                  std::string(1000, 'x') + "\r\n0\r\n\r\n";
    for (const std::string& sent : {declared, in_chunks}) {
        Reading reading(sent, 1500);
        BodyMemory body(reading.memory, 1);
        cr_assert(reading.read(ReadUntil::end, body) == asio::error::no_memory);
        cr_assert_leq(reading.memory->reserved(), 1500U);
    }
    Reading counted_in_part(declared, 1500);
    BodyMemory body(counted_in_part.memory, 1, 600);
    cr_assert(counted_in_part.read(ReadUntil::end, body) == http::error::partial_message);
}

Test(input_buffer, a_small_part_is_free_and_more_is_counted) {
    const auto memory = std::make_shared<budget::ByteBudget>(10'000);
    InputBuffer input(memory, 65536);
    ErrorCode error;
    while (!error) {
        const asio::mutable_buffer room = input.prepare(error);
        input.commit(room.size());
        if (input.capacity() <= http_reader::uncounted_buffer_bytes) cr_assert_eq(memory->reserved(), 0U);
        cr_assert_leq(memory->reserved(), 10'000U);
        cr_assert_leq(input.capacity(), memory->reserved() + http_reader::uncounted_buffer_bytes);
    }
    cr_assert(error == asio::error::no_memory);
    input.consume(input.size());
    input.trim();
    cr_assert_eq(memory->reserved(), 0U);
    error = {};
    cr_assert_gt(input.prepare(error).size(), 0U);
    cr_assert_not(error);
}

Test(input_buffer, a_lower_bound_keeps_what_is_there) {
    InputBuffer input(std::make_shared<budget::ByteBudget>(memory_bytes), 1024);
    ErrorCode error;
    input.commit(input.prepare(error).size());
    const std::size_t held = input.size();
    input.set_max_bytes(16);
    cr_assert_eq(input.size(), held);
    cr_assert_eq(input.prepare(error).size(), 0U);
    cr_assert(error == http::error::buffer_overflow);
}
