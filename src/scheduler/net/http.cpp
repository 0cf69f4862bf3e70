#include "scheduler/net/http.h"

#include "common/http_rules/response_rules.h"

#include <algorithm>
#include <charconv>

namespace willowrill::net::http {
namespace {

constexpr std::size_t status_digits = 3;

bool is_token(std::string_view text) {
    constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               token_symbols.find(c) != std::string_view::npos;
    });
}

bool is_visible(char c) { return c > ' ' && c < 0x7f; } // ASCII

bool is_control(char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; }

std::string to_lower(std::string_view text) {
    std::string out(text);
    std::ranges::transform(out, out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; });
    return out;
}

std::string_view trim(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string_view reason_phrase(int status) {
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Status";
    }
}

void write_fields(std::string& out, const Fields& fields) {
    for (const auto& [name, value] : fields) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

} // namespace

std::optional<std::uint64_t> parse_unsigned(std::string_view text, int base) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || error != std::errc{} || parsed_end != end) return std::nullopt;
    return value;
}

const std::string* Head::find(std::string_view name) const {
    const auto found =
        std::ranges::find(fields, name, [](const auto& field) { return std::string_view(field.first); });
    return found == fields.end() ? nullptr : &found->second;
}

bool Head::has_token(std::string_view name, std::string_view token) const {
    for (const auto& [field, value] : fields) {
        if (field != name) continue;
        std::string_view remaining = value;
        while (!remaining.empty()) {
            const std::size_t comma = remaining.find(',');
            if (to_lower(trim(remaining.substr(0, comma))) == token) return true;
            remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
        }
    }
    return false;
}

bool Head::keeps_alive() const {
    if (has_token("connection", "close")) return false;
    return minor >= 1 || has_token("connection", "keep-alive");
}

void Parser::restart() {
    state_ = State::start;
    head_ = {};
    line_ = {};
    body_ = {};
    head_bytes_ = 0;
    remaining_bytes_ = 0;
}

void Parser::fail(int status) {
    state_ = State::bad;
    error_ = status;
}

std::size_t Parser::feed(std::string_view bytes) {
    const std::size_t offered_bytes = bytes.size();
    while (!bytes.empty() && !done() && !bad()) {
        if (state_ == State::body || state_ == State::chunk || state_ == State::until_close) {
            add_body(bytes);
        } else if (const auto line = take_line(bytes)) {
            on_line(*line);
            line_.clear();
        }
    }
    return offered_bytes - bytes.size();
}

// Returns the next line without its line break once it is complete. `max_head_bytes` limits all lines of the
// head together, so that neither one long line nor many short ones use unbounded memory.
std::optional<std::string_view> Parser::take_line(std::string_view& bytes) {
    const std::size_t end = bytes.find('\n');
    const std::size_t count = end == std::string_view::npos ? bytes.size() : end + 1;
    head_bytes_ += count;
    if (head_bytes_ > max_head_bytes) {
        fail(431);
        return std::nullopt;
    }
    line_.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view line = line_;
    line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
}

void Parser::on_line(std::string_view line) {
    switch (state_) {
    case State::start:
        if (!line.empty()) on_start(line); // empty lines before a message are ignored
        break;
    case State::fields:
        line.empty() ? on_head_end() : on_field(line);
        break;
    case State::chunk_size:
        on_chunk_size(line);
        break;
    case State::chunk_end:
        if (!line.empty()) return fail(400);
        state_ = State::chunk_size;
        head_bytes_ = 0;
        break;
    case State::trailers:
        if (line.empty()) state_ = State::done;
        break;
    default:
        fail(400);
    }
}

void Parser::on_start(std::string_view line) {
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos) return fail(400);
    std::string_view version = line.substr(0, first);
    if (kind_ == Kind::request) {
        const std::size_t last = line.rfind(' ');
        head_.method = line.substr(0, first);
        head_.target = last > first ? line.substr(first + 1, last - first - 1) : "";
        version = line.substr(last + 1);
        if (!is_token(head_.method) || !std::ranges::all_of(head_.target, is_visible)) return fail(400);
        if (!head_.target.starts_with('/')) return fail(400);
    } else {
        const std::string_view status_and_reason = line.substr(first + 1);
        const std::string_view digits = status_and_reason.substr(0, status_and_reason.find(' '));
        const auto status = parse_unsigned(digits);
        if (digits.size() != status_digits || !status || *status < 100 || *status > 599) return fail(400);
        head_.status = static_cast<int>(*status);
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(version.starts_with("HTTP/") ? 505 : 400);
    head_.minor = version.back() - '0';
    state_ = State::fields;
}

void Parser::on_field(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return fail(400);
    const std::string_view value = trim(line.substr(colon + 1));
    // A control character could start another field when the value is forwarded.
    if (std::ranges::any_of(value, is_control)) return fail(400);
    head_.fields.emplace_back(to_lower(line.substr(0, colon)), value);
}

// Rejects ambiguous lengths: if two parties read the length differently, a message can be smuggled inside
// another.
void Parser::on_head_end() {
    if (kind_ == Kind::response && head_.status < 200)
        return restart(); // interim response; the final one follows
    const auto count = [&](std::string_view name) {
        return std::ranges::count(head_.fields, name,
                                  [](const auto& field) { return std::string_view(field.first); });
    };
    const std::string* length = head_.find("content-length");
    head_bytes_ = 0;
    if (const std::string* coding = head_.find("transfer-encoding")) {
        if (length != nullptr || count("transfer-encoding") > 1) return fail(400);
        if (to_lower(*coding) != "chunked") return fail(kind_ == Kind::request ? 501 : 400);
        state_ = State::chunk_size;
        return;
    }
    if (length != nullptr) {
        const auto size = parse_unsigned(*length);
        if (!size || count("content-length") > 1) return fail(400);
        if (*size > max_body_bytes) return fail(413);
        remaining_bytes_ = *size;
        state_ = remaining_bytes_ > 0 ? State::body : State::done;
        return;
    }
    const bool has_no_body = kind_ == Kind::request || head_.status == 204 || head_.status == 304;
    state_ = has_no_body ? State::done : State::until_close;
}

void Parser::on_chunk_size(std::string_view line) {
    const auto size = parse_unsigned(trim(line.substr(0, line.find(';'))), 16);
    if (!size) return fail(400);
    if (*size > max_body_bytes) return fail(413);
    remaining_bytes_ = *size;
    state_ = remaining_bytes_ > 0 ? State::chunk : State::trailers;
}

void Parser::add_body(std::string_view& bytes) {
    const std::size_t count =
        state_ == State::until_close ? bytes.size() : std::min<std::size_t>(remaining_bytes_, bytes.size());
    if (body_.size() + count > max_body_bytes) return fail(413);
    body_.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    if (state_ == State::until_close) return;
    remaining_bytes_ -= count;
    if (remaining_bytes_ == 0) state_ = state_ == State::body ? State::done : State::chunk_end;
}

void Parser::end_of_input() {
    if (state_ == State::until_close) {
        state_ = State::done;
    } else if (!done()) {
        fail(400);
    }
}

std::string write_request(std::string_view method, std::string_view target, const Fields& fields,
                          std::string_view body) {
    std::string out;
    out.reserve(512 + body.size());
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    write_fields(out, fields);
    if (!body.empty() || method != "GET") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out.append("\r\n").append(body);
    return out;
}

std::string write_response(int status, const Fields& fields, std::string_view body,
                           std::string_view request_method) {
    std::string out;
    out.reserve(256 + body.size());
    out.append("HTTP/1.1 ")
        .append(std::to_string(status))
        .append(" ")
        .append(reason_phrase(status))
        .append("\r\n");
    write_fields(out, fields);
    const auto code = static_cast<unsigned>(status);
    if (http_rules::may_have_length(code)) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    out += "\r\n";
    if (http_rules::may_have_body(request_method, code)) out += body;
    return out;
}

} // namespace willowrill::net::http
