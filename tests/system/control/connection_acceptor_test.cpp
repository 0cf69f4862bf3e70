// Tests the connection acceptor over loopback sockets: which hellos are accepted or refused, and how unknown
// messages, unknown fields and state deltas are handled.
#include "system/control/connection_acceptor.h"

#include "system/messages/codec.h"
#include "system/messages/state_delta.h"

#include "support/expect.h"
#include "support/free_port.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::control;
using nlohmann::json;
using protocol::Greeting;
using transport::FrameConnection;

namespace {

class FakeHandler : public ConnectionAcceptor::Handler {
  public:
    bool on_core_member(const messages::CoreMember& member) override {
        members.push_back(member.id);
        return true;
    }
    void on_core_message(const replication::MemberId&, const messages::CoreMessage& message) override {
        ++core_messages;
        if (const auto* envelope = std::get_if<messages::ReplicationEnvelope>(&message))
            if (const auto* state = replication::state_in(envelope->message))
                state_contents.push_back(*state->content);
    }
    distribution::SessionId on_scheduler(const transport::FrameConnectionPtr&) override { return ++sessions; }
    void on_scheduler_message(distribution::SessionId, const messages::SchedulerMessage&) override {
        ++scheduler_messages;
    }
    void on_scheduler_closed(distribution::SessionId) override { ++closed_sessions; }
    Greeting greeting() const override { return protocol::own_greeting(cluster_version); }
    void on_refused(ConnectionAcceptor::PeerKind) override { ++refused_peers; }
    void on_unknown_message(ConnectionAcceptor::PeerKind) override { ++unknown_messages; }
    void on_unknown_fields(ConnectionAcceptor::PeerKind, std::size_t count) override {
        unknown_fields += count;
    }
    void on_missing_state_base(const replication::MemberId&) override { ++missing_bases; }

    protocol::Version cluster_version = protocol::initial_cluster_version;
    std::vector<std::string> members;
    std::vector<std::string> state_contents; // of the received states
    int core_messages = 0, scheduler_messages = 0, closed_sessions = 0, refused_peers = 0,
        unknown_messages = 0, missing_bases = 0;
    std::size_t unknown_fields = 0;
    distribution::SessionId sessions = 0;
};

// A core member's acceptor and a connection dialled to it.
struct AcceptorFixture {
    AcceptorFixture() : port(free_port(loop)), acceptor(loop, "127.0.0.1", port, input_memory, handler) {
        Tcp::socket socket(loop);
        socket.connect({asio::ip::address_v4::loopback(), port});
        dialed_connection = std::make_shared<FrameConnection>(std::move(socket));
        dialed_connection->start([this](const json& message) { received.push_back(message); },
                                 [this] { is_closed = true; });
    }
    // Runs the event loop until the condition holds. Gives up after 5 seconds without an event.
    template <class Condition> bool run_until(Condition condition) {
        while (!condition())
            if (loop.run_one_for(std::chrono::seconds(5)) == 0) return condition();
        return true;
    }
    void send_hello(const Greeting& greeting) {
        dialed_connection->send(
            messages::encode(messages::CoreHello{{"10.1.0.13:8166", "hall-a", "north"}, greeting}));
    }
    bool is_refused() {
        return run_until([&] { return is_closed; }) && !received.empty() &&
               received.back().at("type") == "hello-refused";
    }

    asio::io_context loop;
    FakeHandler handler;
    std::shared_ptr<budget::ByteBudget> input_memory = std::make_shared<budget::ByteBudget>(1U << 20U);
    std::uint16_t port;
    ConnectionAcceptor acceptor;
    transport::FrameConnectionPtr dialed_connection;
    std::vector<json> received;
    bool is_closed = false;
};

const Greeting single_version_greeting{}, range_greeting{{3, 4}, {"cluster-version"}};
const json unknown_message{{"type", "telepathy"}};
const json optional_message{{"type", "telepathy"}, {"optional", true}};
const json known_message = messages::encode(messages::CoreMessage{messages::CorePeers{}});

} // namespace

Test(connection_acceptor, a_hello_with_a_version_range_gets_a_reply) {
    AcceptorFixture fixture;
    fixture.send_hello(range_greeting);
    cr_assert(fixture.run_until([&] { return !fixture.received.empty(); }));
    const auto reply = messages::decode_dial_reply(fixture.received.front());
    cr_assert(std::get<messages::HelloReply>(reply).greeting == fixture.handler.greeting());
    cr_assert_eq(fixture.handler.members.size(), 1U);
}

Test(connection_acceptor, a_hello_with_a_single_version_is_accepted_without_a_reply) {
    AcceptorFixture fixture;
    fixture.send_hello(single_version_greeting);
    fixture.dialed_connection->send(known_message);
    cr_assert(fixture.run_until([&] { return fixture.handler.core_messages == 1; }));
    cr_assert(fixture.received.empty());
}

Test(connection_acceptor, a_peer_without_a_common_version_receives_a_refusal_with_the_reason) {
    for (const Greeting& incompatible : {Greeting{{1, 2}, {}}, Greeting{{97, 99}, {}}}) {
        AcceptorFixture fixture;
        fixture.send_hello(incompatible);
        for (int i = 0; i < 50; ++i) // unread messages must not prevent the peer from receiving the refusal
            fixture.dialed_connection->send(known_message);
        cr_assert(fixture.run_until([&] { return !fixture.received.empty(); }));
        const auto reply = messages::decode_dial_reply(fixture.received.front());
        cr_assert(std::get<messages::HelloRefusal>(reply).detail.find("3 to 4") != std::string::npos);
        fixture.dialed_connection->close();
        cr_assert_eq(fixture.handler.refused_peers, 1);
        cr_assert(fixture.handler.members.empty());
        cr_assert_eq(fixture.handler.core_messages, 0);
    }
}

Test(connection_acceptor, the_previous_version_is_refused_after_an_upgrade) {
    AcceptorFixture fixture;
    fixture.handler.cluster_version = 4;
    fixture.send_hello(single_version_greeting);
    cr_assert(fixture.is_refused());
    AcceptorFixture scheduler;
    scheduler.handler.cluster_version = 4;
    scheduler.dialed_connection->send(messages::encode(messages::SchedulerHello{single_version_greeting}));
    cr_assert(scheduler.is_refused());
    cr_assert_eq(scheduler.handler.sessions, 0U);
}

Test(connection_acceptor, a_connected_peer_of_the_previous_version_is_refused_when_the_upgrade_finishes) {
    AcceptorFixture fixture;
    fixture.dialed_connection->send(messages::encode(messages::SchedulerHello{single_version_greeting}));
    cr_assert(fixture.run_until([&] { return fixture.handler.sessions == 1; }));
    fixture.acceptor.refuse_incompatible_peers();
    cr_assert_eq(fixture.handler.refused_peers, 0);
    fixture.handler.cluster_version = 4;
    fixture.acceptor.refuse_incompatible_peers();
    cr_assert(fixture.is_refused());
    cr_assert(fixture.run_until([&] { return fixture.handler.closed_sessions == 1; }));
}

Test(connection_acceptor, an_unknown_message_is_skipped_if_optional_or_if_no_version_was_negotiated) {
    for (const auto& [greeting, message] : {std::pair{range_greeting, optional_message},
                                            {single_version_greeting, optional_message},
                                            {single_version_greeting, unknown_message}}) {
        AcceptorFixture fixture;
        fixture.send_hello(greeting);
        fixture.dialed_connection->send(message);
        fixture.dialed_connection->send(known_message);
        cr_assert(fixture.run_until([&] { return fixture.handler.core_messages == 1; }));
        cr_assert_eq(fixture.handler.unknown_messages, 1);
        cr_assert_not(fixture.is_closed);
    }
}

Test(connection_acceptor, an_unknown_message_closes_a_connection_with_a_negotiated_version) {
    AcceptorFixture fixture;
    fixture.send_hello(range_greeting);
    fixture.dialed_connection->send(unknown_message);
    fixture.dialed_connection->send(known_message);
    cr_assert(fixture.run_until([&] { return fixture.is_closed; }));
    cr_assert_eq(fixture.handler.unknown_messages, 1);
    cr_assert_eq(fixture.handler.core_messages, 0);
}

Test(connection_acceptor, unknown_fields_are_counted_and_the_message_is_handled) {
    AcceptorFixture fixture;
    fixture.send_hello(range_greeting);
    json message = known_message;
    message["hue"] = "green";
    fixture.dialed_connection->send(message);
    cr_assert(fixture.run_until([&] { return fixture.handler.core_messages == 1; }));
    cr_assert_eq(fixture.handler.unknown_fields, 1U);
    cr_assert_eq(fixture.handler.unknown_messages, 0);
}

Test(connection_acceptor, state_deltas_are_applied_or_reported_if_the_base_is_missing) {
    const auto replicate = [](std::uint64_t sequence, char last) {
        std::string text(2000, 'a');
        text.push_back(last);
        const auto content = std::make_shared<const std::string>(std::move(text));
        return replication::Message{replication::ReplicateRequest{3, {{3, sequence}, content}}};
    };
    messages::StateDeltaSender sender;
    const json whole = messages::encode(sender.prepare(replicate(1, 'b'), true));
    const json delta = messages::encode(sender.prepare(replicate(2, 'c'), true));
    cr_assert(delta.at("type") == "replication-delta");
    AcceptorFixture fixture;
    fixture.send_hello(range_greeting);
    fixture.dialed_connection->send(delta);
    cr_assert(fixture.run_until([&] { return fixture.handler.missing_bases == 1; }));
    cr_assert_eq(fixture.handler.core_messages, 0);
    fixture.dialed_connection->send(whole);
    fixture.dialed_connection->send(delta);
    cr_assert(fixture.run_until([&] { return fixture.handler.core_messages == 2; }));
    cr_assert_eq(fixture.handler.state_contents.at(1).back(), 'c');
}

Test(connection_acceptor, a_first_message_that_is_not_a_hello_closes_the_connection) {
    AcceptorFixture fixture;
    fixture.dialed_connection->send(known_message);
    cr_assert(fixture.run_until([&] { return fixture.is_closed; }));
    cr_assert_eq(fixture.handler.refused_peers, 0);
}

Test(connection_acceptor, long_messages_are_for_core_members_that_have_said_hello) {
    std::string noise(200'000, '\0'); // that does not compress
    std::uint32_t random = 7;
    for (char& one : noise)
        one = static_cast<char>('a' + ((random = random * 1664525U + 1013904223U) >> 24U) % 26);
    const auto content = std::make_shared<const std::string>(std::move(noise));
    const replication::Message state{replication::ReplicateRequest{3, {{3, 1}, content}}};
    messages::StateDeltaSender sender;
    const json message = messages::encode(sender.prepare(state, false));
    AcceptorFixture member;
    member.send_hello(range_greeting);
    member.dialed_connection->send(message);
    cr_assert(member.run_until([&] { return member.handler.core_messages == 1; }));
    AcceptorFixture nobody;
    nobody.dialed_connection->send(message);
    cr_assert(nobody.run_until([&] { return nobody.is_closed; }));
    AcceptorFixture scheduler;
    scheduler.dialed_connection->send(messages::encode(messages::SchedulerHello{range_greeting}));
    scheduler.dialed_connection->send(message);
    cr_assert(scheduler.run_until([&] { return scheduler.is_closed; }));
    cr_assert_eq(scheduler.handler.sessions, 1U);
    cr_assert_eq(scheduler.handler.scheduler_messages, 0);
}
