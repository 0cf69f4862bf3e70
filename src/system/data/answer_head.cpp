#include "system/data/answer_head.h"

namespace willowrill::data {
namespace {

constexpr const char* attempt_id = "Attempt-Id";
constexpr const char* not_executed = "Not-Executed";
constexpr const char* seal = "Server-Seal"; // the worker's mark on what it has run

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

AnswerMeaning promise_of(const http::response_header<>& head) {
    return is_misdirected(head) ? AnswerMeaning::misdirected : AnswerMeaning::not_executed;
}

} // namespace

AnswerMeaning meaning_of(const http::response_header<>& head, const AttemptFacts& attempt) {
    const auto id = head.find(attempt_id);
    const bool has_id = id != head.end();
    const bool ours =
        has_id && std::string_view(id->value().data(), id->value().size()) == attempt.attempt_id;
    // A new connection has had no other request whose answer this could be.
    if (has_id && !ours) return attempt.reused ? AnswerMeaning::earlier : AnswerMeaning::unusable;
    // Without an id it is this attempt's only where there was no other; and only a promise may lack one.
    if (!has_id) return is_promise(head) && !attempt.reused ? promise_of(head) : AnswerMeaning::unusable;
    if (is_promise(head)) return promise_of(head);
    // Without the worker's promise the request may have run, so that the client must not read one out of it.
    if (promises_to_clients(head.result())) return AnswerMeaning::unusable;
    const bool success = http::to_status_class(head.result()) == http::status_class::successful;
    if (success && head.find(seal) == head.end()) return AnswerMeaning::unusable;
    if (attempt.streaming && head.result() == http::status::ok) return AnswerMeaning::stream;
    return attempt.part_of_stream_sent ? AnswerMeaning::unusable : AnswerMeaning::whole;
}

} // namespace willowrill::data
