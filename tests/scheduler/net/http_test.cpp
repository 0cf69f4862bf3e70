#include "scheduler/net/http.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace willowrill::testing {
namespace {

using net::http::Parser;
using Kind = Parser::Kind;

// Feeds `bytes` in pieces of random size and consumes the body meanwhile, as the upstream connections do.
std::string parse_in_pieces(Parser& parser, std::string_view bytes, std::mt19937& random,
                            std::size_t& consumed_bytes) {
    std::string body;
    consumed_bytes = 0;
    while (consumed_bytes < bytes.size() && !parser.done() && !parser.bad()) {
        const std::size_t piece_bytes = 1 + random() % 7;
        consumed_bytes += parser.feed(bytes.substr(consumed_bytes, piece_bytes));
        body += parser.body();
        parser.body().clear();
    }
    return body;
}

int error_of(std::string_view bytes, Kind kind = Kind::request) {
    Parser parser(kind);
    parser.feed(bytes);
    return parser.bad() ? parser.error() : 0;
}

} // namespace

TEST_CASE("a request parses the same however it is split") {
    const std::string head = "\r\nPOST /api?x=1 HTTP/1.1\r\nHost: b\r\nX-Name:  two words \r\n";
    const std::string plain = head + "Content-Length: 5\r\n\r\nhello";
    const std::string chunked =
        head + "Transfer-Encoding: chunked\r\n\r\n2;ext=1\r\nhe\r\n03\r\nllo\r\n0\r\nT: x\r\n\r\n";
    std::mt19937 random(1);
    for (const std::string& request : {plain, chunked}) {
        for (int i = 0; i < 200; ++i) {
            Parser parser(Kind::request);
            std::size_t consumed_bytes = 0;
            CHECK(parse_in_pieces(parser, request + "GET /next", random, consumed_bytes) == "hello");
            REQUIRE(parser.done());
            CHECK(consumed_bytes == request.size());
            CHECK(parser.head().method == "POST");
            CHECK(parser.head().target == "/api?x=1");
            CHECK(*parser.head().find("x-name") == "two words");
            CHECK(parser.head().keeps_alive());
            parser.restart();
            CHECK_FALSE(parser.begun());
        }
    }
}

TEST_CASE("malformed and oversized requests are reported by their status") {
    const std::string start = "POST / HTTP/1.1\r\n";
    CHECK(error_of("nonsense\r\n") == 400);
    CHECK(error_of("POST / HTTP/1.1 \r\n") == 400);
    CHECK(error_of("POST  / HTTP/1.1\r\n") == 400);
    CHECK(error_of("PO(ST / HTTP/1.1\r\n") == 400);
    CHECK(error_of("POST http://a/ HTTP/1.1\r\n") == 400);
    CHECK(error_of("POST / HTTP/2.0\r\n") == 505);
    CHECK(error_of(start + "no colon\r\n") == 400);
    CHECK(error_of(start + "Name : x\r\n") == 400);
    CHECK(error_of(start + " folded\r\n") == 400);
    CHECK(error_of(start + "A: b\rc\r\n") == 400);
    CHECK(error_of(start + std::string("A: b\0c\r\n", 8)) == 400);
    CHECK(error_of(start + "Content-Length: 5x\r\n\r\n") == 400);
    CHECK(error_of(start + "Content-Length: -5\r\n\r\n") == 400);
    CHECK(error_of(start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n") == 400);
    CHECK(error_of(start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(error_of(start + "Transfer-Encoding: gzip\r\n\r\n") == 501);
    CHECK(error_of(start + "Content-Length: 65537\r\n\r\n") == 413);
    CHECK(error_of(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
    CHECK(error_of(start + "Transfer-Encoding: chunked\r\n\r\n10001\r\n") == 413);
    CHECK(error_of(start + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n") == 400);
    CHECK(error_of(start + "A: " + std::string(net::http::max_head_bytes, 'a')) == 431);
    CHECK(error_of(std::string(net::http::max_head_bytes + 1, 'A')) == 431);
    std::string many_fields = start;
    for (int i = 0; i < 2000; ++i)
        many_fields += "A: 12345\r\n";
    CHECK(error_of(many_fields) == 431);
    std::string large_body = start + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 5; ++i)
        large_body += "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
    CHECK(error_of(large_body) == 413);
    CHECK(error_of(start + "Content-Length: 65536\r\n\r\n" + std::string(65536, 'a')) == 0);
}

TEST_CASE("interim responses are skipped, and one without a length ends with the connection") {
    Parser parser(Kind::response);
    parser.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab");
    CHECK(parser.head().status == 200);
    CHECK_FALSE(parser.head().keeps_alive());
    CHECK_FALSE(parser.done());
    parser.end_of_input();
    CHECK(parser.done());
    CHECK(parser.body() == "ab");

    Parser truncated(Kind::response);
    truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    truncated.end_of_input();
    CHECK(truncated.bad());
    for (const std::string status :
         {"20", "000", "0200", "099", "600", "999", "2000", "200OK", "20x", "+200", ""})
        CHECK_MESSAGE(error_of("HTTP/1.1 " + status + " OK\r\n", Kind::response) == 400, status);
    CHECK(error_of("HTTP/1.1 2000\r\n", Kind::response) == 400);
    CHECK(error_of("HTTP/1.1 200\r\n", Kind::response) == 0);
    CHECK(error_of("SSH-2.0-x\r\n", Kind::response) == 400);
}

TEST_CASE("written messages can be parsed") {
    Parser request(Kind::request);
    request.feed(net::http::write_request("POST", "/a", {{"Host", "h"}}, "body"));
    CHECK(request.done());
    CHECK(request.body() == "body");
    Parser response(Kind::response);
    response.feed(net::http::write_response(503, {{"Retry-After", "1.500"}}, ""));
    CHECK(response.done());
    CHECK(*response.head().find("retry-after") == "1.500");
}

TEST_CASE("random bytes never exceed the limits") {
    std::mt19937 random(2);
    const std::string alphabet =
        "POST / HTTP/1.1\r\n:chunkedTransfer-EncodingContent-Length0123456789abcdef;, ";
    for (int i = 0; i < 3000; ++i) {
        Parser parser(i % 2 == 0 ? Kind::request : Kind::response);
        std::string bytes = i % 4 < 2 ? "" : (i % 2 == 0 ? "POST / HTTP/1.1\r\n" : "HTTP/1.1 200 OK\r\n");
        while (bytes.size() < 300)
            bytes += alphabet[random() % alphabet.size()];
        std::size_t consumed_bytes = 0;
        parse_in_pieces(parser, bytes, random, consumed_bytes);
        CHECK(consumed_bytes <= bytes.size());
        CHECK((consumed_bytes == bytes.size() || parser.done() || parser.bad()));
    }
}

} // namespace willowrill::testing
