#include "system/data/attempt_group.h"

#include "system/data/upstream_attempt.h"

#include <algorithm>
#include <utility>

namespace willowrill::data {

void AttemptGroup::start(const std::shared_ptr<UpstreamAttempt>& attempt) {
    running_.push_back(attempt);
    asio::co_spawn(loop_, UpstreamAttempt::run(attempt),
                   [this, attempt](const std::exception_ptr& failure, AttemptResult result) {
                       on_end(attempt, result, failure);
                   });
}

void AttemptGroup::on_end(const std::shared_ptr<UpstreamAttempt>& attempt, AttemptResult result,
                          std::exception_ptr failure) {
    std::erase(running_, attempt);
    ended_.push_back({attempt->worker_id(), result, attempt->is_silent(), std::move(failure)});
    notify();
}

void AttemptGroup::cancel_all() {
    for (const auto& attempt : running_)
        attempt->cancel();
}

bool AttemptGroup::all_silent() const {
    return std::ranges::all_of(running_, [](const auto& attempt) { return attempt->is_silent(); });
}

std::vector<EndedAttempt> AttemptGroup::take_ended() { return std::exchange(ended_, {}); }

asio::awaitable<void> AttemptGroup::wait_for_change(std::optional<routing::Time> max_wait) {
    if (!has_changed_) {
        if (max_wait)
            change_.expires_after(*max_wait);
        else
            change_.expires_at(SteadyTimer::time_point::max());
        ErrorCode ignored;
        co_await change_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    has_changed_ = false;
}

asio::awaitable<void> AttemptGroup::wait_until_empty() {
    while (!empty())
        co_await wait_for_change(std::nullopt);
}

bool AttemptGroup::claim_response(const UpstreamAttempt& attempt) {
    if (attempt.is_cancelled()) return false;
    for (const auto& other : running_)
        if (other.get() != &attempt) other->cancel();
    return true;
}

bool AttemptGroup::has_others(const UpstreamAttempt& attempt) const {
    return std::ranges::any_of(running_, [&](const auto& other) {
        return other.get() != &attempt && other->was_sent() && !other->is_cancelled();
    });
}

void AttemptGroup::notify() {
    has_changed_ = true;
    change_.cancel();
}

} // namespace willowrill::data
