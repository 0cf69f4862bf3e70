#include "system/control/directory_service.h"

#include "system/control/directory.h"
#include "system/control/query.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace willowrill::control {
namespace {

using errors::ErrorKind;

constexpr std::string_view resolution_path = "/-/resolution";
constexpr int resolution_ttl_s = 1;

} // namespace

DirectoryService::DirectoryService(asio::io_context& loop, const settings::Endpoint& endpoint, Leases leases,
                                   http_server::Options options)
    : leases_(std::move(leases)),
      server_(loop, endpoint.host, endpoint.port, std::move(options),
              [this](const http_server::Request& request, const http_server::Respond& respond) {
                  on_request(request, respond);
              }) {}

void DirectoryService::on_request(const http_server::Request& request,
                                  const http_server::Respond& respond) const {
    const std::string target(request.target());
    if (target.substr(0, target.find('?')) != resolution_path)
        return respond(http_server::error_response(request, {ErrorKind::unknown_resource, target}));
    const auto addresses =
        resolve(leases_(), query_parameter(target, "region"), query_parameter(target, "zone"));
    if (addresses.empty())
        return respond(http_server::error_response(request, {ErrorKind::not_ready, "no scheduler is ready"}));
    const nlohmann::json body{{"addresses", addresses}, {"ttlS", resolution_ttl_s}};
    respond(http_server::json_response(request, 200, body.dump()));
}

} // namespace willowrill::control
