#include "system/control/operator_api.h"

#include "system/logging/log.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace willowrill::control {
namespace {

using errors::Error;
using errors::ErrorKind;
using http_server::error_response;
using http_server::json_response;
using http_server::Request;
using http_server::Respond;

constexpr std::string_view configuration_path = "/-/configuration";
constexpr std::string_view evacuation_path = "/-/evacuation/";
constexpr std::string_view upgrade_path = "/-/upgrade";
constexpr std::string_view finish_upgrade_path = "/-/upgrade/finish";

// Parses the value of an If-Match header, with or without quotes.
std::optional<configuration::Version> parse_version(std::string_view text) {
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
    configuration::Version result = 0;
    const auto [parse_end, error] = std::from_chars(text.data(), text.data() + text.size(), result);
    if (error != std::errc() || parse_end != text.data() + text.size()) return std::nullopt;
    return result;
}

std::optional<configuration::Version> expected_version(const Request& request) {
    const auto header = request.find(http::field::if_match);
    if (header == request.end()) return std::nullopt;
    return parse_version({header->value().data(), header->value().size()});
}

} // namespace

void OperatorApi::on_request(const Request& request, const Respond& respond) {
    const std::string target(request.target().substr(0, request.target().find('?')));
    if (target == configuration_path) return on_configuration(request, respond);
    if (target.starts_with(evacuation_path))
        return on_evacuation(request, respond, target.substr(evacuation_path.size()));
    if (target == upgrade_path) return on_upgrade(request, respond);
    if (target == finish_upgrade_path) return on_finish_upgrade(request, respond);
    respond(error_response(request, {ErrorKind::unknown_resource, target}));
}

void OperatorApi::on_upgrade(const Request& request, const Respond& respond) {
    if (request.method() != http::verb::get)
        return respond(error_response(request, {ErrorKind::method_not_allowed, "use GET"}));
    if (redirect_to_primary(request, respond)) return;
    respond(json_response(request, 200, to_json_text(upgrade_status_(), protocol::supported_versions.max)));
}

// Idempotent: once the upgrade is finished, a repeated request is acknowledged regardless of which processes
// are connected by then.
void OperatorApi::on_finish_upgrade(const Request& request, const Respond& respond) {
    if (request.method() != http::verb::post)
        return respond(error_response(request, {ErrorKind::method_not_allowed, "use POST"}));
    if (redirect_to_primary(request, respond)) return;
    constexpr protocol::Version target = protocol::supported_versions.max;
    const UpgradeStatus status = upgrade_status_();
    const auto blockers = upgrade_blockers(status, target);
    if (status.cluster_version < target && !blockers.empty()) {
        logging::info("order-refused").field("target", finish_upgrade_path).text("detail", to_text(blockers));
        return respond(error_response(request, {ErrorKind::upgrade_blocked, to_text(blockers)}));
    }
    submit(request, respond, configuration::FinishUpgrade{target});
}

bool OperatorApi::redirect_to_primary(const Request& request, const Respond& respond) const {
    if (node_.is_primary()) return false;
    const auto primary = node_.primary();
    if (!primary || *primary == self_) {
        respond(error_response(request, {ErrorKind::not_primary, "no primary is known"}));
        return true;
    }
    auto response = json_response(request, 307, R"({"detail":"another member is the primary"})");
    response.set(http::field::location, fmt::format("http://{}{}", *primary, std::string(request.target())));
    respond(std::move(response));
    return true;
}

void OperatorApi::on_configuration(const Request& request, const Respond& respond) {
    if (request.method() == http::verb::get) {
        if (redirect_to_primary(request, respond)) return;
        return node_.orders().read([request, respond](errors::Result<std::string> text) {
            if (!text) return respond(error_response(request, text.error()));
            if (text.value().empty())
                return respond(
                    error_response(request, {ErrorKind::unknown_resource, "there is no configuration yet"}));
            respond(json_response(request, 200, std::move(text.value())));
        });
    }
    if (request.method() == http::verb::put)
        return submit(request, respond,
                      configuration::PutConfiguration{expected_version(request), request.body()});
    if (request.method() == http::verb::patch)
        return submit(request, respond,
                      configuration::PatchConfiguration{expected_version(request), request.body()});
    respond(error_response(request, {ErrorKind::method_not_allowed, "use GET, PUT or PATCH"}));
}

void OperatorApi::on_evacuation(const Request& request, const Respond& respond, std::string zone) {
    if (!zones_.contains(zone))
        return respond(error_response(request, {ErrorKind::unknown_resource, "no such zone"}));
    if (request.method() == http::verb::post)
        return submit(request, respond, configuration::Evacuate{std::move(zone)});
    if (request.method() == http::verb::delete_)
        return submit(request, respond, configuration::EndEvacuation{std::move(zone)});
    respond(error_response(request, {ErrorKind::method_not_allowed, "use POST or DELETE"}));
}

void OperatorApi::submit(const Request& request, const Respond& respond, configuration::Order order) {
    if (redirect_to_primary(request, respond)) return;
    const auto method = request.method_string();
    const std::string kind(method.data(), method.size());
    node_.orders().submit(
        std::move(order), [this, request, respond, kind, submitted_at = steady_now()](OrderResult result) {
            const unsigned status = result ? 200 : errors::answer_to(result.error().kind).status;
            metrics_.add(metrics::Total::orders, kind, std::to_string(status));
            metrics_.observe(metrics::Duration::order_wait, steady_now() - submitted_at, kind);
            if (result) return respond(json_response(request, 200, "{}"));
            logging::info("order-refused")
                .field("target", std::string(request.target()))
                .text("detail", result.error().detail);
            respond(error_response(request, result.error()));
        });
}

} // namespace willowrill::control
