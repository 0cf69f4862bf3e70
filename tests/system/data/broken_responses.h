// What workers send in place of a response: of none may a client get anything, and none says whether the
// request has run.
#pragma once

#include "data/proxy_fixture.h"

#include <string>
#include <vector>

namespace willowrill::data {

struct BrokenResponse {
    std::string name;
    Step step;
};

inline BrokenResponse broken(const std::string& name, const std::string& response,
                             Reaction reaction = Reaction::respond_and_close) {
    return {name, {ReadAmount::all, reaction, response}};
}

// A status that no final response has. Bodies say "wrong", so that a client's bytes tell.
inline std::vector<BrokenResponse> broken_statuses() {
    std::vector<BrokenResponse> out;
    for (const std::string status : {"000", "001", "099", "100", "101", "103", "199", "600", "999"}) {
        const std::string line = status + " OK";
        out.push_back(broken(line, worker_response(line, id + seal, "wrong"), Reaction::respond));
        out.push_back(broken(line + ", promised", worker_response(line, id + promise, "")));
        out.push_back(broken(line + ", no length", "HTTP/1.1 " + line + "\r\n" + id + seal + "\r\nwrong"));
        out.push_back(broken(line + ", another id, then the own answer",
                             worker_response(line, other_id + seal, "") +
                                 worker_response("200 OK", id + seal, "wrong")));
        out.push_back(broken(line + ", in chunks", "HTTP/1.1 " + line + "\r\n" + id + seal +
                                                       "Transfer-Encoding: chunked\r\n\r\n" + chunk("wrong") +
                                                       "0\r\n\r\n"));
    }
    out.push_back(broken("HTTP/0.9", "HTTP/0.9 200 OK\r\n" + id + seal + "Content-Length: 5\r\n\r\nwrong"));
    out.push_back(broken("HTTP/2.0", "HTTP/2.0 200 OK\r\n" + id + seal + "Content-Length: 5\r\n\r\nwrong"));
    return out;
}

// A body that is not the worker's as long as its coding stands.
inline std::vector<BrokenResponse> coded_bodies() {
    std::vector<BrokenResponse> out;
    for (const std::string coding : {"gzip", "chunked, gzip", "identity", "chunked, chunked", ""})
        out.push_back(broken("Transfer-Encoding: " + coding,
                             sealed_head + "Transfer-Encoding: " + coding + "\r\n\r\nwrong\n\n"));
    for (const std::string fields : {"Transfer-Encoding: gzip, chunked\r\n",
                                     "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"}) {
        const std::string body = chunk("data: wrong\n\n") + "0\r\n\r\n";
        out.push_back(broken(fields, sealed_head + fields + "\r\n" + body));
        out.push_back(
            broken(fields + "promised", "HTTP/1.1 503 Full\r\n" + id + promise + fields + "\r\n" + body));
    }
    for (const std::string status : {"200 OK", "404 Not Found", "500 Internal Server Error"})
        out.push_back(broken("Content-Encoding, " + status,
                             worker_response(status, id + seal + "Content-Encoding: gzip\r\n", "wrong\n\n")));
    return out;
}

// A head that could be that of two responses, or that carries no mark of a worker's.
inline std::vector<BrokenResponse> ambiguous_heads() {
    return {
        broken("two ids, the own one first", worker_response("200 OK", id + other_id + seal, "wrong\n\n")),
        broken("two ids, the own one last", worker_response("200 OK", other_id + id + seal, "wrong\n\n")),
        broken("two ids, promised", worker_response("503 Full", id + other_id + promise, "wrong")),
        broken("the own id twice", worker_response("200 OK", id + id + seal, "wrong\n\n")),
        broken("empty seal", worker_response("200 OK", id + "Server-Seal: \r\n", "wrong\n\n")),
        broken("two seals", worker_response("200 OK", id + seal + "Server-Seal: b\r\n", "wrong\n\n")),
        broken("failure with two seals",
               worker_response("500 Internal Server Error", id + seal + "Server-Seal: b\r\n", "wrong")),
    };
}

// Names of fields that are no tokens, control bytes, and lengths that cannot be relied on.
inline std::vector<BrokenResponse> malformed_heads() {
    using namespace std::string_literals;
    std::vector<BrokenResponse> out;
    for (const std::string& line : {"X Y: 1"s,
                                    "X\tY: 1"s,
                                    "X\0Y: 1"s,
                                    "X\x01Y: 1"s,
                                    "X\x7fY: 1"s,
                                    "X\xffY: 1"s,
                                    "X\rY: 1"s,
                                    "X(Y: 1"s,
                                    ": 1"s,
                                    "X : 1"s,
                                    " X: 1"s,
                                    "X"s,
                                    "Content Length: 3"s,
                                    "Content-Length : 3"s,
                                    "Transfer\x01Encoding: chunked"s,
                                    "Transfer-Encoding : chunked"s,
                                    "Attempt Id: 0b"s,
                                    "Attempt-Id\0: 0b"s,
                                    "X: a\0b"s,
                                    "X: a\x01"s,
                                    "X: a\x7f"s}) {
        out.push_back(broken(line, worker_response("200 OK", id + seal + line + "\r\n", "wrong\n\n")));
        out.push_back(broken(line + ", promised",
                             worker_response("503 Full", id + promise + line + "\r\n", "wrong\n\n")));
    }
    for (const std::string length : {"+9", "0x9", "-1", "9 9", "7, 8", "9.0", "99999999999999999999",
                                     "7\r\nContent-Length: 8", "7\r\nTransfer-Encoding: chunked"})
        out.push_back(broken("Content-Length: " + length,
                             sealed_head + "Content-Length: " + length + "\r\n\r\nwrong\n\n"));
    for (const std::string& line : {"X Y: 1"s, "X\x01Y: 1"s, ": 1"s, "X: a\0b"s})
        out.push_back(broken("trailer " + line, sealed_head + "Transfer-Encoding: chunked\r\n\r\n" +
                                                    chunk("wrong") + "0\r\n" + line + "\r\n\r\n"));
    for (const std::string& chunks :
         {"-5\r\nwrong\r\n0\r\n\r\n"s, "0x5\r\nwrong\r\n0\r\n\r\n"s, "fffffffffffffffff\r\nwrong"s,
          "5\r\nwrong\r\n"s, "5\r\nwrongly\r\n0\r\n"s})
        out.push_back(
            broken("chunks " + chunks, sealed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunks));
    out.push_back(broken("control byte in the reason", worker_response("200 O\x01K", id + seal, "wrong")));
    out.push_back(broken("status of four digits", worker_response("2000 OK", id + seal, "wrong")));
    out.push_back(broken("status of two digits", worker_response("20 OK", id + seal, "wrong")));
    return out;
}

// Part of a body without a length, and a reset while the request may still be under way.
inline std::vector<BrokenResponse> reset_bodies() {
    std::vector<BrokenResponse> out;
    for (const std::string status : {"200 OK", "404 Not Found", "500 Internal Server Error"}) {
        const std::string part = "HTTP/1.1 " + status + "\r\n" + id + seal + "\r\ndata: wrong";
        for (const ReadAmount reads : {ReadAmount::head, ReadAmount::part_of_body, ReadAmount::all})
            out.push_back(
                {"no length, reset, " + status, {reads, Reaction::respond_and_reset_at_once, part}});
    }
    return out;
}

// The same from a worker that closes a connection on which the rest of a long request is still to come.
inline std::vector<BrokenResponse> bodies_closed_under_upload() {
    std::vector<BrokenResponse> out;
    for (const std::string status : {"200 OK", "404 Not Found", "500 Internal Server Error"})
        out.push_back({"no length, closed, " + status,
                       {ReadAmount::head, Reaction::respond_close_and_reset,
                        "HTTP/1.1 " + status + "\r\n" + id + seal + "\r\ndata: wrong"}});
    return out;
}

} // namespace willowrill::data
