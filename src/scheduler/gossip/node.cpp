#include "scheduler/gossip/node.h"

#include <algorithm>
#include <utility>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

// What an entry of a digest and of a list of wants takes when encoded.
constexpr std::size_t digest_entry = 20, want_entry = 24, frame_head = 176;
constexpr std::size_t deltas_at_once =
    32; // to one peer, for one message; the rest waits for the next exchange
constexpr Time fold_pause = 1s;
constexpr double budget_seconds = 1; // how much of the bytes a second may be sent at once

} // namespace

Node::Node(NodeSettings settings, const std::string& instance, std::uint64_t number, swim::Address address,
           std::uint64_t seed, Time now)
    : settings_(std::move(settings)), swim_(settings_.members, {instance, number}, address, seed, now),
      book_(settings_.limits, {instance, number, settings_.rate, settings_.burst}, now),
      random_(seed ^ 0x9e3779b9), next_exchange_(now + Time(static_cast<std::int64_t>(random_() % 1000) *
                                                            (settings_.exchange_interval.count() / 1000))),
      next_fold_(now + fold_pause), filled_(now),
      budget_(static_cast<double>(settings_.bytes_per_second) * budget_seconds) {}

void Node::update_settings(NodeSettings settings) {
    settings.limits = settings_.limits;
    settings_ = std::move(settings);
    swim_.update_settings(settings_.members);
}

std::vector<OutgoingFrame> Node::take_sends() { return std::exchange(sends_, {}); }
std::vector<swim::StateChange> Node::take_changes() { return std::exchange(changes_, {}); }

// Membership goes out in any case: it is little, and without it the others would take this one for dead.
bool Node::afford(Time now, std::size_t bytes) {
    const double most = static_cast<double>(settings_.bytes_per_second) * budget_seconds;
    const double passed = std::chrono::duration<double>(std::max(now - filled_, Time(0))).count();
    budget_ = std::min(most, budget_ + passed * static_cast<double>(settings_.bytes_per_second));
    filled_ = now;
    if (budget_ < static_cast<double>(bytes)) {
        ++statistics_.frames_held_back;
        return false;
    }
    budget_ -= static_cast<double>(bytes);
    return true;
}

void Node::say(swim::Address to, Body body, Time now) {
    sends_.push_back(
        {to, {.life = swim_.self().id.life, .count = ++count_, .sent = now, .body = std::move(body)}});
}

void Node::collect(swim::Actions& actions, Time now) {
    for (swim::OutgoingMessage& send : actions.sends)
        say(send.to, std::move(send.message), now);
    std::ranges::move(actions.changes, std::back_inserter(changes_));
}

void Node::start(Time now) {
    swim::Actions actions;
    swim_.start(now, actions);
    collect(actions, now);
}

Time Node::next_tick() const {
    const Time members = swim_.next_tick();
    return settings_.counts_enabled ? std::min({members, next_exchange_, next_fold_}) : members;
}

void Node::tick(Time now) {
    swim::Actions actions;
    swim_.tick(now, actions);
    collect(actions, now);
    if (settings_.counts_enabled && now >= next_exchange_) {
        next_exchange_ =
            std::max(next_exchange_ + settings_.exchange_interval, now + settings_.exchange_interval / 2);
        exchange(now);
    }
    if (settings_.counts_enabled && now >= next_fold_) {
        next_fold_ = now + fold_pause;
        book_.fold(now, swim_.has_unreachable_member());
        new_life_if_rivalled(now);
    }
}

void Node::exchange(Time now) {
    book_.publish(now);
    const auto peer = swim_.random_alive_address();
    if (!peer) return;
    ++statistics_.exchanges;
    const std::size_t entries = (settings_.max_frame_bytes - frame_head) / digest_entry;
    for (counts::Digest& digest : book_.make_digests(entries)) {
        if (!afford(now, frame_head + digest.keys.size() * digest_entry)) return;
        say(*peer, std::move(digest), now);
    }
}

// The clock went back over the restart, or another process has this name: either way a number above the
// highest that was seen keeps the lives apart, and in order.
void Node::new_life_if_rivalled(Time now) {
    const std::uint64_t own = swim_.self().id.life;
    if (book_.self().number != own) { // the book began one, as it was taken for dead
        swim::Actions actions;
        swim_.begin_life(book_.self().number, now, actions);
        collect(actions, now);
        return;
    }
    if (book_.highest_other_life() <= own) return;
    const auto rival = swim_.others().find({swim_.self().id.name, book_.highest_other_life()});
    // A living rival is a second instance of this name. Both count on, each in its own life.
    if (rival != swim_.others().end() && rival->second.state != swim::State::dead &&
        rival->second.state != swim::State::left)
        return;
    book_.begin_life(counts::next_number(now, random_(), book_.highest_other_life()), now);
    swim::Actions actions;
    swim_.begin_life(book_.self().number, now, actions);
    collect(actions, now);
}

void Node::receive(Time now, swim::Address from, const Frame& frame) {
    if (const auto* message = std::get_if<swim::Message>(&frame.body)) {
        swim::Actions actions;
        swim_.receive(now, from, *message, actions);
        collect(actions, now);
    }
    if (!settings_.counts_enabled) return;
    const auto tell = [&](const std::vector<counts::KnownVersion>& wants) {
        if (wants.empty()) return;
        book_.publish(now);
        for (counts::Delta& delta : book_.make_deltas(wants, settings_.max_frame_bytes, deltas_at_once)) {
            if (!afford(now, settings_.max_frame_bytes)) return;
            say(from, std::move(delta), now);
        }
    };
    if (const auto* digest = std::get_if<counts::Digest>(&frame.body)) {
        ++statistics_.answered;
        std::vector<counts::KnownVersion> lacking;
        const std::vector<counts::KnownVersion> theirs = book_.process_digest(*digest, lacking, now);
        const std::size_t most = (settings_.max_frame_bytes - frame_head) / want_entry;
        for (std::size_t at = 0; at < lacking.size(); at += most) {
            const auto begin = lacking.begin() + static_cast<std::ptrdiff_t>(at);
            const auto end =
                lacking.begin() + static_cast<std::ptrdiff_t>(std::min(at + most, lacking.size()));
            if (!afford(now, frame_head + want_entry * static_cast<std::size_t>(end - begin))) break;
            say(from, DeltaRequest(begin, end), now);
        }
        tell(theirs);
    }
    if (const auto* wants = std::get_if<DeltaRequest>(&frame.body)) tell(*wants);
    if (const auto* delta = std::get_if<counts::Delta>(&frame.body)) book_.apply(*delta, now);
}

void Node::leave(Time now) {
    if (settings_.counts_enabled) {
        book_.end_life(now);
        // To three, so that a loss does not take the last counts with it. They ask for what they lack:
        // whoever calls this goes on to receive for a moment.
        for (int i = 0; i < 3; ++i)
            exchange(now);
    }
    swim::Actions actions;
    swim_.leave(now, actions);
    collect(actions, now);
}

} // namespace willowrill::gossip
