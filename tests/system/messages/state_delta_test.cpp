// Replicated states as differences to those sent before on the same connection: what arrives is what was sent
// or is asked for again, whatever is lost, doubled, late or damaged.
#include "system/messages/state_delta.h"

#include "system/messages/codec.h"
#include "system/replication/codec.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace willowrill;
using namespace willowrill::messages;
using replication::Message;
using replication::Position;
using replication::ReplicatedState;
using replication::ReplicateRequest;

namespace {

std::string configuration_of(int routes, int changed) {
    std::string out;
    for (int i = 0; i < routes; ++i)
        out += "{\"name\":\"route-" + std::to_string(i * 7919) +
               "\",\"timeoutMs\":" + std::to_string(i == changed ? 1 : 1500 + i * 13) + "}";
    return out;
}

ReplicatedState state(std::uint64_t sequence, const std::string& content) {
    return {{3, sequence}, std::make_shared<const std::string>(content)};
}

Message replicate(std::uint64_t sequence, const std::string& content) {
    return ReplicateRequest{3, state(sequence, content)};
}

// As it comes out at the other end of a connection.
CoreMessage over_the_wire(const CoreMessage& message) { return decode_core_message(encode(message)); }

const std::string& content_of(const Message& message) { return *replication::state_in(message)->content; }

const std::string first = configuration_of(100, -1), second = configuration_of(100, 50);

// A sender that has sent the first state, and the delta to the second.
struct Sent {
    Sent() {
        sender.prepare(replicate(1, first), true);
        const auto prepared = over_the_wire(sender.prepare(replicate(2, second), true));
        cr_assert(std::holds_alternative<ReplicationDelta>(prepared));
        delta = std::get<ReplicationDelta>(prepared);
    }
    StateDeltaSender sender;
    ReplicationDelta delta;
};

} // namespace

Test(state_delta, the_first_state_goes_whole_and_the_next_one_as_a_short_delta) {
    StateDeltaSender sender;
    StateDeltaReceiver receiver;
    const auto whole = over_the_wire(sender.prepare(replicate(1, first), true));
    receiver.on_message(std::get<ReplicationEnvelope>(whole).message);
    const auto delta = over_the_wire(sender.prepare(replicate(2, second), true));
    cr_assert_lt(std::get<ReplicationDelta>(delta).delta.size(), first.size() / 20);
    const auto arrived = receiver.apply(std::get<ReplicationDelta>(delta));
    cr_assert(arrived && content_of(*arrived) == second);
    cr_assert(replication::state_in(*arrived)->position == (Position{3, 2}));
}

Test(state_delta, a_peer_that_has_not_announced_deltas_gets_every_state_whole) {
    StateDeltaSender sender;
    sender.prepare(replicate(1, first), false);
    cr_assert(std::holds_alternative<ReplicationEnvelope>(sender.prepare(replicate(2, second), false)));
    cr_assert(required_feature(CoreMessage{ReplicationDelta{}}) == protocol::state_delta_feature);
    cr_assert(required_feature(CoreMessage{StateSnapshotRequest{}}) == protocol::state_delta_feature);
    cr_assert_not(required_feature(CoreMessage{CorePeers{}}).has_value());
}

Test(state_delta, short_states_and_messages_without_one_go_as_they_are) {
    StateDeltaSender sender;
    sender.prepare(replicate(1, "a"), true);
    cr_assert(std::holds_alternative<ReplicationEnvelope>(sender.prepare(replicate(2, "b"), true)));
    cr_assert(std::holds_alternative<ReplicationEnvelope>(
        sender.prepare(Message{replication::FetchRequest{3}}, true)));
}

Test(state_delta, a_delta_without_its_base_changes_nothing_and_the_state_comes_whole_on_request) {
    Sent sent;
    StateDeltaReceiver receiver;
    cr_assert_not(receiver.apply(sent.delta).has_value(), "nothing came before");
    receiver.on_message(replicate(7, first));
    cr_assert_not(receiver.apply(sent.delta).has_value(), "another position");
    const auto whole = sent.sender.on_snapshot_request();
    cr_assert(whole && content_of(std::get<ReplicationEnvelope>(*whole).message) == second);
    cr_assert_not(StateDeltaSender{}.on_snapshot_request().has_value());
}

Test(state_delta, a_delta_that_comes_twice_or_late_is_not_applied_again) {
    Sent sent;
    StateDeltaReceiver receiver;
    receiver.on_message(replicate(1, first));
    cr_assert(receiver.apply(sent.delta).has_value());
    cr_assert_not(receiver.apply(sent.delta).has_value());
    const auto third = over_the_wire(sent.sender.prepare(replicate(3, first), true));
    const auto arrived = receiver.apply(std::get<ReplicationDelta>(third));
    cr_assert(arrived && content_of(*arrived) == first, "the failed one has changed nothing");
}

Test(state_delta, a_base_of_another_content_at_the_same_position_is_noticed) {
    Sent sent;
    StateDeltaReceiver receiver;
    receiver.on_message(replicate(1, configuration_of(100, 3)));
    cr_assert_not(receiver.apply(sent.delta).has_value());
}

Test(state_delta, damaged_deltas_are_not_applied) {
    const Sent sent;
    for (std::size_t i = 0; i < sent.delta.delta.size(); ++i) {
        StateDeltaReceiver receiver;
        receiver.on_message(replicate(1, first));
        ReplicationDelta damaged = sent.delta;
        damaged.delta[i] = static_cast<char>(damaged.delta[i] ^ 0x20);
        const auto arrived = receiver.apply(damaged);
        cr_assert(!arrived || content_of(*arrived) == second, "byte %zu", i);
    }
    StateDeltaReceiver receiver;
    receiver.on_message(replicate(1, first));
    ReplicationDelta other_digest = sent.delta;
    other_digest.digest[0] ^= 1;
    cr_assert_not(receiver.apply(other_digest).has_value());
}

Test(state_delta, a_malformed_delta_ends_its_connection) {
    const nlohmann::json good = encode(CoreMessage{Sent().delta});
    for (const auto& [key, value] :
         {std::pair<std::string, nlohmann::json>{"digest", "AAAA"},
          {"digest", "not base64!"},
          {"delta", "*"},
          {"delta", 7},
          {"base", nlohmann::json::array({1})},
          {"message", replication::encode(Message{replication::FetchRequest{3}})}}) {
        nlohmann::json bad = good;
        bad[key] = value;
        cr_assert_throw(decode_core_message(bad), nlohmann::json::exception, "%s", key.c_str());
    }
}

// Against the plain model: a receiver that is sent everything whole.
Test(state_delta, random_changes_and_losses_lead_to_what_was_sent) {
    std::mt19937_64 random(7);
    StateDeltaSender sender;
    StateDeltaReceiver receiver;
    std::string content = first;
    std::size_t deltas = 0, requests = 0;
    for (std::uint64_t sequence = 1; sequence <= 400; ++sequence) {
        content.replace(random() % content.size(), random() % 40, std::string(random() % 60, 'x'));
        const CoreMessage message = over_the_wire(sender.prepare(replicate(sequence, content), true));
        if (random() % 10 == 0) continue; // lost
        std::optional<Message> arrived;
        if (const auto* delta = std::get_if<ReplicationDelta>(&message)) {
            ++deltas;
            arrived = receiver.apply(*delta);
        } else {
            arrived = std::get<ReplicationEnvelope>(message).message;
            receiver.on_message(*arrived);
        }
        if (!arrived) {
            ++requests;
            arrived = std::get<ReplicationEnvelope>(*sender.on_snapshot_request()).message;
            receiver.on_message(*arrived);
        }
        cr_assert(content_of(*arrived) == content, "change %d", static_cast<int>(sequence));
    }
    cr_assert_gt(deltas, 300U);
    cr_assert_gt(requests, 20U);
}

// A configuration of 350 routes, one of which changes: 24 KB whole.
Test(state_delta, what_a_change_costs_does_not_grow_with_the_configuration) {
    std::size_t sizes[2] = {};
    for (const int i : {0, 1}) {
        const int routes = i == 0 ? 350 : 20000;
        StateDeltaSender sender;
        sender.prepare(replicate(1, configuration_of(routes, -1)), true);
        const auto delta = sender.prepare(replicate(2, configuration_of(routes, routes / 3)), true);
        sizes[i] = frame_of(delta)->size();
    }
    cr_assert_lt(sizes[0], 600U, "%zu bytes", sizes[0]);
    cr_assert_lt(sizes[1], 2U * sizes[0], "%zu bytes", sizes[1]);
}
