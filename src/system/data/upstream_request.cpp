#include "system/data/upstream_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds default_idle_timeout{
    4000}; // an idle connection whose worker states no time
constexpr std::chrono::milliseconds idle_timeout_margin{700}; // closed this long before its worker would
constexpr std::int64_t ms_per_s = 1000;
constexpr std::int64_t max_idle_timeout_s = 3600;

} // namespace

std::string text(boost::beast::string_view view) { return {view.data(), view.size()}; }

std::string path_of(const ClientRequest& request) {
    const std::string target = text(request.target());
    return target.substr(0, target.find('?'));
}

std::optional<std::int64_t> whole_number(boost::beast::string_view view) {
    std::int64_t out = 0;
    const auto [stop, error] = std::from_chars(view.data(), view.data() + view.size(), out);
    if (error != std::errc() || (stop != view.data() + view.size() && *stop != '.')) return std::nullopt;
    return out;
}

bool is_own_header(http::field known, boost::beast::string_view name) {
    switch (known) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return beast::iequals(name, "Time-Remaining") || beast::iequals(name, "Target-Instance");
    }
}

std::string upstream_request(const ClientRequest& request, const UpstreamHeaders& headers) {
    std::string out;
    out.reserve(request.body().size() + 1024);
    out += text(request.method_string()) + " " + text(request.target()) + " HTTP/1.1\r\n";
    for (const auto& field : request) {
        if (is_own_header(field.name(), field.name_string())) continue;
        if (beast::iequals(field.name_string(), "Priority") ||
            beast::iequals(field.name_string(), "Last-Event-Id"))
            continue;
        out += text(field.name_string()) + ": " + text(field.value()) + "\r\n";
    }
    if (headers.priority) out += fmt::format("Priority: {}\r\n", *headers.priority);
    std::string last_id = headers.last_event_id;
    if (last_id.empty()) last_id = text(request["Last-Event-Id"]);
    if (!last_id.empty()) out += "Last-Event-Id: " + last_id + "\r\n";
    out += fmt::format("Time-Remaining: {}\r\nTarget-Instance: {}\r\n",
                       std::max<std::int64_t>(1, headers.remaining_time.count()), headers.instance_id);
    const bool has_body = request.method() != http::verb::get && request.method() != http::verb::head;
    if (has_body || !request.body().empty())
        out += fmt::format("Content-Length: {}\r\n", request.body().size());
    out += "\r\n";
    out += request.body();
    return out;
}

std::chrono::milliseconds idle_timeout(const http::fields& head) {
    const auto found = head.find(http::field::keep_alive);
    if (found == head.end()) return default_idle_timeout;
    const std::string value = text(found->value());
    constexpr std::string_view key = "timeout=";
    const std::size_t at = value.find(key);
    if (at == std::string::npos) return default_idle_timeout;
    const std::size_t digits = at + key.size();
    const auto seconds = whole_number({value.data() + digits, value.size() - digits});
    if (!seconds) return default_idle_timeout;
    const auto bounded = std::clamp<std::int64_t>(*seconds, 0, max_idle_timeout_s);
    return std::chrono::milliseconds(bounded * ms_per_s) - idle_timeout_margin;
}

} // namespace willowrill::data
