#include "scheduler/gossip/node.h"

#include <algorithm>
#include <utility>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

// Upper bounds of encoded sizes: one entry of a digest, one of a delta request, and the rest of a frame.
constexpr std::size_t digest_entry_bytes = 20, known_version_bytes = 24, frame_overhead_bytes = 176;
// Bounds the reply to one message; the next exchange transfers the rest.
constexpr std::size_t max_deltas_per_reply = 32;
constexpr Time fold_interval = 1s;
constexpr double budget_window_s = 1; // burst size of the byte limit, as a duration

} // namespace

Node::Node(NodeSettings settings, const std::string& instance, std::uint64_t number, swim::Address address,
           std::uint64_t seed, Time now)
    : settings_(std::move(settings)), swim_(settings_.members, {instance, number}, address, seed, now),
      count_store_(settings_.limits, {instance, number, settings_.rate, settings_.burst}, now),
      random_(seed ^ 0x9e3779b9), next_exchange_(now + Time(static_cast<std::int64_t>(random_() % 1000) *
                                                            (settings_.exchange_interval.count() / 1000))),
      next_fold_(now + fold_interval), budget_updated_at_(now),
      byte_budget_(static_cast<double>(settings_.bytes_per_second) * budget_window_s) {}

void Node::update_settings(NodeSettings settings) {
    settings.limits = settings_.limits;
    settings_ = std::move(settings);
    swim_.update_settings(settings_.members);
}

std::vector<OutgoingFrame> Node::take_sends() { return std::exchange(sends_, {}); }
std::vector<swim::StateChange> Node::take_changes() { return std::exchange(changes_, {}); }

// Takes bytes from the token bucket of count messages; returns false if too few are left. Membership messages
// are not limited: they are small, and without them other members would declare this instance dead.
bool Node::consume_budget(Time now, std::size_t bytes) {
    const double max_budget = static_cast<double>(settings_.bytes_per_second) * budget_window_s;
    const double elapsed_s =
        std::chrono::duration<double>(std::max(now - budget_updated_at_, Time(0))).count();
    byte_budget_ =
        std::min(max_budget, byte_budget_ + elapsed_s * static_cast<double>(settings_.bytes_per_second));
    budget_updated_at_ = now;
    if (byte_budget_ < static_cast<double>(bytes)) {
        ++statistics_.frames_held_back;
        return false;
    }
    byte_budget_ -= static_cast<double>(bytes);
    return true;
}

void Node::queue_frame(swim::Address to, Body body, Time now) {
    sends_.push_back({to,
                      {.life = swim_.self().id.life,
                       .sequence_number = ++last_sequence_number_,
                       .sent_at = now,
                       .body = std::move(body)}});
}

// Queues the actions of the membership protocol.
void Node::queue_actions(swim::Actions& actions, Time now) {
    for (swim::OutgoingMessage& send : actions.sends)
        queue_frame(send.to, std::move(send.message), now);
    std::ranges::move(actions.changes, std::back_inserter(changes_));
}

void Node::start(Time now) {
    swim::Actions actions;
    swim_.start(now, actions);
    queue_actions(actions, now);
}

Time Node::next_tick() const {
    const Time members = swim_.next_tick();
    return settings_.counts_enabled ? std::min({members, next_exchange_, next_fold_}) : members;
}

void Node::tick(Time now) {
    swim::Actions actions;
    swim_.tick(now, actions);
    queue_actions(actions, now);
    if (settings_.counts_enabled && now >= next_exchange_) {
        next_exchange_ =
            std::max(next_exchange_ + settings_.exchange_interval, now + settings_.exchange_interval / 2);
        start_exchange(now);
    }
    if (settings_.counts_enabled && now >= next_fold_) {
        next_fold_ = now + fold_interval;
        count_store_.fold(now, swim_.has_unreachable_member());
        begin_new_life_if_needed(now);
    }
}

// Sends the digests to a random member.
void Node::start_exchange(Time now) {
    count_store_.publish(now);
    const auto peer = swim_.random_alive_address();
    if (!peer) return;
    ++statistics_.exchanges_started;
    const std::size_t max_entries = (settings_.max_frame_bytes - frame_overhead_bytes) / digest_entry_bytes;
    for (counts::Digest& digest : count_store_.make_digests(max_entries)) {
        if (!consume_budget(now, frame_overhead_bytes + digest.keys.size() * digest_entry_bytes)) return;
        queue_frame(*peer, std::move(digest), now);
    }
}

// Begins a life with a higher number if another life of this name has a higher number than the current one,
// because the clock was set back at a restart or another process uses the name. This keeps the lives distinct
// and in order.
void Node::begin_new_life_if_needed(Time now) {
    const std::uint64_t own_number = swim_.self().id.life;
    // The count store has begun a new life, because the previous one was folded by another instance.
    if (count_store_.self().number != own_number) {
        swim::Actions actions;
        swim_.begin_life(count_store_.self().number, now, actions);
        queue_actions(actions, now);
        return;
    }
    if (count_store_.highest_other_life() <= own_number) return;
    const auto other_life = swim_.others().find({swim_.self().id.name, count_store_.highest_other_life()});
    // If the other life is alive, it is a second instance of this name. Both continue with their own lives.
    if (other_life != swim_.others().end() && other_life->second.state != swim::State::dead &&
        other_life->second.state != swim::State::left)
        return;
    count_store_.begin_life(counts::next_life_number(now, random_(), count_store_.highest_other_life()), now);
    swim::Actions actions;
    swim_.begin_life(count_store_.self().number, now, actions);
    queue_actions(actions, now);
}

void Node::receive(Time now, swim::Address from, const Frame& frame) {
    if (const auto* message = std::get_if<swim::Message>(&frame.body)) {
        swim::Actions actions;
        swim_.receive(now, from, *message, actions);
        queue_actions(actions, now);
    }
    if (!settings_.counts_enabled) return;
    const auto send_deltas = [&](const std::vector<counts::KnownVersion>& known_versions) {
        if (known_versions.empty()) return;
        count_store_.publish(now);
        for (counts::Delta& delta :
             count_store_.make_deltas(known_versions, settings_.max_frame_bytes, max_deltas_per_reply)) {
            if (!consume_budget(now, settings_.max_frame_bytes)) return;
            queue_frame(from, std::move(delta), now);
        }
    };
    if (const auto* digest = std::get_if<counts::Digest>(&frame.body)) {
        ++statistics_.digests_answered;
        std::vector<counts::KnownVersion> store_lacks;
        const std::vector<counts::KnownVersion> sender_lacks =
            count_store_.process_digest(*digest, store_lacks, now);
        const std::size_t max_entries =
            (settings_.max_frame_bytes - frame_overhead_bytes) / known_version_bytes;
        for (std::size_t offset = 0; offset < store_lacks.size(); offset += max_entries) {
            const auto begin = store_lacks.begin() + static_cast<std::ptrdiff_t>(offset);
            const auto end = store_lacks.begin() +
                             static_cast<std::ptrdiff_t>(std::min(offset + max_entries, store_lacks.size()));
            if (!consume_budget(now, frame_overhead_bytes +
                                         known_version_bytes * static_cast<std::size_t>(end - begin)))
                break;
            queue_frame(from, DeltaRequest(begin, end), now);
        }
        send_deltas(sender_lacks);
    }
    if (const auto* request = std::get_if<DeltaRequest>(&frame.body)) send_deltas(*request);
    if (const auto* delta = std::get_if<counts::Delta>(&frame.body)) count_store_.apply(*delta, now);
}

void Node::leave(Time now) {
    if (settings_.counts_enabled) {
        count_store_.end_life(now);
        // Three exchanges, so that packet loss does not lose the final counts. The peers request what they
        // lack, so the caller must continue to receive for a moment.
        for (int i = 0; i < 3; ++i)
            start_exchange(now);
    }
    swim::Actions actions;
    swim_.leave(now, actions);
    queue_actions(actions, now);
}

} // namespace willowrill::gossip
