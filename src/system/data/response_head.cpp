#include "system/data/response_head.h"

#include "common/http_rules/response_rules.h"

namespace willowrill::data {
namespace {

constexpr const char* attempt_id = "Attempt-Id";
constexpr const char* not_executed = "Not-Executed";
constexpr const char* seal = "Server-Seal"; // the worker's mark on what it has run

// A field that a head has more than once could be that of two responses.
bool is_repeated(const http::response_header<>& head, const char* name) { return head.count(name) > 1; }

bool is_sealed(const http::response_header<>& head) {
    const auto found = head.find(seal);
    return found != head.end() && !found->value().empty();
}

// Clients take these statuses for a promise that nothing has run.
bool promises_to_clients(http::status status) {
    return status == http::status::request_timeout || status == http::status::misdirected_request ||
           status == http::status::too_many_requests || status == http::status::service_unavailable;
}

bool is_misdirected(const http::response_header<>& head) {
    return head.result() == http::status::misdirected_request;
}

// A worker's promise: in so many words, or as the address belongs to another instance.
bool is_promise(const http::response_header<>& head) {
    return head.find(not_executed) != head.end() || is_misdirected(head);
}

ResponseKind kind_of_promise(const http::response_header<>& head) {
    return is_misdirected(head) ? ResponseKind::misdirected : ResponseKind::not_executed;
}

} // namespace

bool is_success(const http::response_header<>& head) { return http_rules::is_success(head.result_int()); }

ResponseKind classify_response(const http::response_header<>& head, const AttemptFacts& attempt) {
    if (is_repeated(head, attempt_id) || is_repeated(head, seal)) return ResponseKind::unusable;
    const auto id = head.find(attempt_id);
    const bool has_id = id != head.end();
    const bool ours =
        has_id && std::string_view(id->value().data(), id->value().size()) == attempt.attempt_id;
    // A new connection has had no other request whose response this could be.
    if (has_id && !ours) return attempt.reused ? ResponseKind::earlier : ResponseKind::unusable;
    // Without an id it is this attempt's only where there was no other; and only a promise may lack one.
    if (!has_id) return is_promise(head) && !attempt.reused ? kind_of_promise(head) : ResponseKind::unusable;
    if (is_promise(head)) return kind_of_promise(head);
    // Without the worker's promise the request may have run, so that the client must not read one out of it.
    if (promises_to_clients(head.result())) return ResponseKind::unusable;
    if (is_success(head) && !is_sealed(head)) return ResponseKind::unusable;
    if (attempt.streaming && head.result() == http::status::ok) return ResponseKind::stream;
    return attempt.part_of_stream_sent ? ResponseKind::unusable : ResponseKind::complete;
}

} // namespace willowrill::data
