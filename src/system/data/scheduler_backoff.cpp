#include "system/data/scheduler_backoff.h"

namespace willowrill::data {
namespace {

constexpr std::chrono::milliseconds backoff_time{4000};

} // namespace

std::set<std::string> SchedulerBackoff::backed_off(Clock::time_point now) {
    std::erase_if(failed_at_, [&](const auto& item) { return now - item.second > backoff_time; });
    std::set<std::string> out;
    for (const auto& [node, failed_at] : failed_at_)
        out.insert(node);
    return out;
}

} // namespace willowrill::data
