#include "system/http_server/responses.h"

#include "common/http_rules/response_rules.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace willowrill::http_server {
namespace {

constexpr const char* retry_after_s = "0.2";

} // namespace

Response json_response(const Request& request, unsigned status, std::string body) {
    Response response;
    response.version(request.version());
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

Response error_response(const Request& request, const errors::Error& error) {
    const errors::Answer answer = errors::answer_to(error.kind);
    const nlohmann::json body{{"error", std::string(answer.reason)}, {"detail", error.detail}};
    Response response = json_response(request, answer.status,
                                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (answer.retry_after) response.set(http::field::retry_after, retry_after_s);
    return response;
}

void complete(Response& response, std::string_view request_method, bool keep_alive) {
    response.keep_alive(keep_alive);
    response.prepare_payload();
    if (!http_rules::may_have_body(request_method, response.result_int())) response.body().clear();
}

} // namespace willowrill::http_server
