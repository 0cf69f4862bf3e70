#include "system/control/platform_poller.h"

#include <algorithm>
#include <utility>

namespace willowrill::control {
namespace {

constexpr std::chrono::milliseconds poll_period{500};
constexpr std::chrono::milliseconds backoff_after_rejection{700};
constexpr const char* list_target = "/instances";

} // namespace

PlatformPoller::PlatformPoller(asio::io_context& loop, settings::Endpoint platform, std::size_t zone_count,
                               std::shared_ptr<budget::ByteBudget> input_memory, metrics::Metrics& metrics,
                               OnList on_list)
    : loop_(loop), platform_(std::move(platform)), zone_count_(zone_count),
      input_memory_(std::move(input_memory)), metrics_(metrics), on_list_(std::move(on_list)),
      all_zones_reader_(
          loop, platform_, list_target, input_memory_, metrics,
          {[this](std::vector<discovery::Instance> instances) { on_all_zones(std::move(instances)); },
           [this](PageReader::Failure failure) { on_failure(all_zones_due_, failure); },
           [this](std::size_t instances) { plan_.on_full_page(instances); }}) {}

PageReader::Callbacks PlatformPoller::callbacks_for(const std::string& zone) {
    return {[this, zone](std::vector<discovery::Instance> instances) { on_zone(zone, std::move(instances)); },
            [this, zone](PageReader::Failure failure) { on_failure(zones_.at(zone).due, failure); },
            [this](std::size_t instances) { plan_.on_full_page(instances); }};
}

void PlatformPoller::start_polling(const std::string& zone, discovery::FencingToken token) {
    Zone& owned = zones_[zone];
    if (token <= owned.token) return;
    owned.token = token;
    owned.serial = 0;
    if (!owned.reader)
        owned.reader = std::make_unique<PageReader>(loop_, platform_, list_target + ("?zone=" + zone),
                                                    input_memory_, metrics_, callbacks_for(zone));
}

void PlatformPoller::stop_polling(const std::string& zone, discovery::FencingToken token) {
    const auto owned = zones_.find(zone);
    if (owned != zones_.end() && token > owned->second.token) zones_.erase(owned);
}

bool PlatformPoller::should_read_all_zones() const {
    return zones_.size() >= zone_count_ &&
           plan_.next(zones_.size()) == discovery::ReadPlan::Strategy::all_at_once;
}

bool PlatformPoller::is_reading_zone() const {
    return std::ranges::any_of(zones_, [](const auto& zone) { return zone.second.reader->is_busy(); });
}

void PlatformPoller::start_if_due(PageReader& reader, Clock::time_point& due, Clock::time_point now) {
    if (reader.is_busy() || now < due) return;
    due = now + poll_period;
    reader.start();
}

// Zones are read either together or one by one. Neither way starts while a read of the other is in progress;
// otherwise an older list could be published after a newer one.
void PlatformPoller::tick(Clock::time_point now) {
    if (should_read_all_zones()) {
        if (!is_reading_zone()) start_if_due(all_zones_reader_, all_zones_due_, now);
        return;
    }
    if (all_zones_reader_.is_busy()) return;
    for (auto& [name, zone] : zones_)
        start_if_due(*zone.reader, zone.due, now);
}

void PlatformPoller::on_failure(Clock::time_point& due, PageReader::Failure failure) const {
    if (failure == PageReader::Failure::rejected) due = Clock::now() + backoff_after_rejection;
}

void PlatformPoller::on_zone(const std::string& zone, std::vector<discovery::Instance> instances) {
    std::erase_if(instances, [&](const discovery::Instance& instance) { return instance.zone != zone; });
    plan_.on_zone_read(zone, instances.size());
    Zone& owned = zones_.at(zone);
    on_list_({zone, owned.token, ++owned.serial, std::move(instances)});
}

// Skips the zones that were assigned to another member during the read.
void PlatformPoller::on_all_zones(std::vector<discovery::Instance> instances) {
    std::map<std::string, std::vector<discovery::Instance>> by_zone;
    for (const auto& [zone, owned] : zones_)
        by_zone[zone]; // publishes an empty list for a zone without workers
    for (discovery::Instance& instance : instances)
        if (const auto zone = by_zone.find(instance.zone); zone != by_zone.end())
            zone->second.push_back(std::move(instance));
    for (auto& [zone, list] : by_zone)
        on_zone(zone, std::move(list));
}

} // namespace willowrill::control
