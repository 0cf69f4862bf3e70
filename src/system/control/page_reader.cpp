#include "system/control/page_reader.h"

#include "system/logging/log.h"

#include <iterator>
#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds request_timeout{900};
constexpr std::size_t max_pages = 200;
constexpr std::uint64_t max_page_bytes = 2U << 20U;
constexpr std::size_t max_list_bytes = 16U << 20U;

} // namespace

PageReader::PageReader(asio::io_context& loop, const settings::Endpoint& platform, std::string target,
                       std::shared_ptr<budget::ByteBudget> input_memory, metrics::Metrics& metrics,
                       Callbacks callbacks)
    : target_(std::move(target)), metrics_(metrics), callbacks_(std::move(callbacks)),
      client_(std::make_shared<http_client::Client>(
          loop, platform.host, platform.port,
          http_client::Options{max_page_bytes, std::move(input_memory)})) {}

void PageReader::start() {
    instances_.clear();
    pages_ = 0;
    list_bytes_ = 0;
    read_page("");
}

void PageReader::read_page(const std::string& page_token) {
    std::string target = target_;
    if (!page_token.empty())
        target += (target_.find('?') == std::string::npos ? "?pageToken=" : "&pageToken=") + page_token;
    client_->get(target, request_timeout,
                 [this](const http_client::Response* response) { on_page(response); });
}

void PageReader::on_page(const http_client::Response* response) {
    metrics_.add(metrics::Total::platform_calls,
                 response == nullptr ? "none" : std::to_string(response->result_int()));
    if (response == nullptr) return callbacks_.on_failure(Failure::no_response);
    if (response->result() != http::status::ok) return callbacks_.on_failure(Failure::rejected);
    list_bytes_ += response->body().size();
    if (list_bytes_ > max_list_bytes) return fail_unreadable("the list is too long");
    auto page = discovery::parse_page(response->body());
    if (!page) return fail_unreadable(page.error().detail);
    std::vector<discovery::Instance>& page_instances = page.value().instances;
    const bool has_next = page.value().next_token && ++pages_ < max_pages;
    if (has_next) callbacks_.on_full_page(page_instances.size());
    std::ranges::move(page_instances, std::back_inserter(instances_));
    if (has_next) return read_page(*page.value().next_token);
    callbacks_.on_list(std::exchange(instances_, {}));
}

void PageReader::fail_unreadable(const std::string& detail) const {
    logging::warning("instance-list-unreadable").text("target", target_).text("detail", detail);
    callbacks_.on_failure(Failure::unreadable);
}

} // namespace willowrill::control
