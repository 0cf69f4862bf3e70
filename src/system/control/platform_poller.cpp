#include "system/control/platform_poller.h"

#include "system/logging/log.h"

#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds poll_period{500};
constexpr std::chrono::milliseconds backoff_after_rejection{700};
constexpr std::chrono::milliseconds request_timeout{900};
constexpr std::size_t max_pages = 200;

} // namespace

PlatformPoller::PlatformPoller(asio::io_context& loop, settings::Endpoint platform, metrics::Metrics& metrics,
                               OnList on_list)
    : loop_(loop), platform_(std::move(platform)), metrics_(metrics), on_list_(std::move(on_list)) {}

void PlatformPoller::start_polling(const std::string& zone, discovery::FencingToken token) {
    Zone& owned = zones_[zone];
    if (token <= owned.token && owned.client) return;
    owned.token = token;
    owned.serial = 0;
    if (!owned.client)
        owned.client = std::make_shared<http_client::Client>(loop_, platform_.host, platform_.port);
}

void PlatformPoller::stop_polling(const std::string& zone, discovery::FencingToken token) {
    const auto owned = zones_.find(zone);
    if (owned == zones_.end() || token <= owned->second.token) return;
    owned->second.client->close();
    zones_.erase(owned);
}

void PlatformPoller::tick(std::chrono::steady_clock::time_point now) {
    for (auto& [name, zone] : zones_) {
        if (zone.client->busy() || now < zone.due) continue;
        zone.due = now + poll_period;
        zone.instances.clear();
        zone.pages = 0;
        read_page(name, "");
    }
}

void PlatformPoller::read_page(const std::string& zone, const std::string& page_token) {
    std::string target = "/instances?zone=" + zone;
    if (!page_token.empty()) target += "&pageToken=" + page_token;
    zones_[zone].client->get(target, request_timeout, [this, zone](const http_client::Response* response) {
        on_page(zone, response);
    });
}

void PlatformPoller::on_page(const std::string& name, const http_client::Response* response) {
    metrics_.add(metrics::Total::platform_calls,
                 response == nullptr ? "none" : std::to_string(response->result_int()));
    const auto found = zones_.find(name);
    if (found == zones_.end()) return;
    Zone& zone = found->second;
    if (response == nullptr || response->result() != http::status::ok) {
        if (response != nullptr) zone.due = std::chrono::steady_clock::now() + backoff_after_rejection;
        return;
    }
    const auto page = discovery::parse_page(response->body());
    if (!page) {
        logging::warning("instance-list-unreadable").field("zone", name).text("detail", page.error().detail);
        return;
    }
    for (const discovery::Instance& instance : page.value().instances)
        if (instance.zone == name) zone.instances.push_back(instance);
    if (page.value().next && ++zone.pages < max_pages) return read_page(name, *page.value().next);
    on_list_({name, zone.token, ++zone.serial, std::move(zone.instances)});
}

} // namespace willowrill::control
