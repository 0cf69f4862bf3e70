// The first messages on a connection that a core member accepts, over real sockets on loopback: who is taken
// in, who is refused by name, and what becomes of messages that are not understood.
#include "system/control/connection_acceptor.h"

#include "system/messages/codec.h"
#include "system/messages/state_delta.h"

#include "support/expect.h"

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
                contents.push_back(*state->content);
    }
    distribution::SessionId on_scheduler(const transport::FrameConnectionPtr&) override { return ++sessions; }
    void on_scheduler_message(distribution::SessionId, const messages::SchedulerMessage&) override {
        ++scheduler_messages;
    }
    void on_scheduler_closed(distribution::SessionId) override { ++closed; }
    Greeting greeting() const override { return protocol::own_greeting(cluster_version); }
    void on_refused(ConnectionAcceptor::PeerKind) override { ++refused; }
    void on_unknown_message(ConnectionAcceptor::PeerKind) override { ++unknown; }
    void on_unknown_fields(ConnectionAcceptor::PeerKind, std::size_t count) override {
        unknown_fields += count;
    }
    void on_missing_state_base(const replication::MemberId&) override { ++missing_bases; }

    protocol::Version cluster_version = protocol::initial_cluster_version;
    std::vector<std::string> members;
    std::vector<std::string> contents; // of states
    int core_messages = 0, scheduler_messages = 0, closed = 0, refused = 0, unknown = 0, missing_bases = 0;
    std::size_t unknown_fields = 0;
    distribution::SessionId sessions = 0;
};

// A core member's acceptor, and a process that dials it.
struct Accepted {
    Accepted() : port(free_port(loop)), acceptor(loop, "127.0.0.1", port, handler) {
        Tcp::socket socket(loop);
        socket.connect({asio::ip::address_v4::loopback(), port});
        dialler = std::make_shared<FrameConnection>(std::move(socket));
        dialler->start([this](const json& message) { heard.push_back(message); }, [this] { over = true; });
    }
    static std::uint16_t free_port(asio::io_context& loop) {
        const Tcp::acceptor free(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return free.local_endpoint().port();
    }
    template <class Condition> bool until(Condition condition) {
        while (!condition())
            if (loop.run_one_for(std::chrono::seconds(5)) == 0) return condition();
        return true;
    }
    void say_hello(const Greeting& greeting) {
        dialler->send(messages::encode(messages::CoreHello{{"10.1.0.13:8166", "hall-a", "north"}, greeting}));
    }
    bool is_refused() {
        return until([&] { return over; }) && !heard.empty() && heard.back().at("type") == "hello-refused";
    }

    asio::io_context loop;
    FakeHandler handler;
    std::uint16_t port;
    ConnectionAcceptor acceptor;
    transport::FrameConnectionPtr dialler;
    std::vector<json> heard;
    bool over = false;
};

const Greeting one_version{}, range{{3, 4}, {"cluster-version"}};
const json unknown_message{{"type", "telepathy"}};
const json optional_message{{"type", "telepathy"}, {"optional", true}};
const json known_message = messages::encode(messages::CoreMessage{messages::CorePeers{}});

} // namespace

Test(connection_acceptor, a_hello_with_a_range_is_answered) {
    Accepted accepted;
    accepted.say_hello(range);
    cr_assert(accepted.until([&] { return !accepted.heard.empty(); }));
    const auto reply = messages::decode_dial_reply(accepted.heard.front());
    cr_assert(std::get<messages::HelloReply>(reply).greeting == accepted.handler.greeting());
    cr_assert_eq(accepted.handler.members.size(), 1U);
}

Test(connection_acceptor, a_hello_of_one_version_is_taken_and_not_answered) {
    Accepted accepted;
    accepted.say_hello(one_version);
    accepted.dialler->send(known_message);
    cr_assert(accepted.until([&] { return accepted.handler.core_messages == 1; }));
    cr_assert(accepted.heard.empty());
}

Test(connection_acceptor, who_speaks_other_versions_is_told_so_by_name) {
    for (const Greeting& other : {Greeting{{1, 2}, {}}, Greeting{{97, 99}, {}}}) {
        Accepted accepted;
        accepted.say_hello(other);
        for (int i = 0; i < 50; ++i) // what lies unread must not cost the peer the answer
            accepted.dialler->send(known_message);
        cr_assert(accepted.until([&] { return !accepted.heard.empty(); }));
        const auto reply = messages::decode_dial_reply(accepted.heard.front());
        cr_assert(std::get<messages::HelloRefusal>(reply).detail.find("3 to 4") != std::string::npos);
        accepted.dialler->close();
        cr_assert_eq(accepted.handler.refused, 1);
        cr_assert(accepted.handler.members.empty());
        cr_assert_eq(accepted.handler.core_messages, 0);
    }
}

Test(connection_acceptor, after_an_upgrade_the_version_before_is_refused) {
    Accepted accepted;
    accepted.handler.cluster_version = 4;
    accepted.say_hello(one_version);
    cr_assert(accepted.is_refused());
    Accepted scheduler;
    scheduler.handler.cluster_version = 4;
    scheduler.dialler->send(messages::encode(messages::SchedulerHello{one_version}));
    cr_assert(scheduler.is_refused());
    cr_assert_eq(scheduler.handler.sessions, 0U);
}

Test(connection_acceptor, who_is_connected_when_the_upgrade_is_finished_is_refused_then) {
    Accepted accepted;
    accepted.dialler->send(messages::encode(messages::SchedulerHello{one_version}));
    cr_assert(accepted.until([&] { return accepted.handler.sessions == 1; }));
    accepted.acceptor.refuse_incompatible_peers();
    cr_assert_eq(accepted.handler.refused, 0);
    accepted.handler.cluster_version = 4;
    accepted.acceptor.refuse_incompatible_peers();
    cr_assert(accepted.is_refused());
    cr_assert(accepted.until([&] { return accepted.handler.closed == 1; }));
}

Test(connection_acceptor, an_unknown_message_is_skipped_where_it_is_optional_or_the_session_skips_all) {
    for (const auto& [greeting, message] : {std::pair{range, optional_message},
                                            {one_version, optional_message},
                                            {one_version, unknown_message}}) {
        Accepted accepted;
        accepted.say_hello(greeting);
        accepted.dialler->send(message);
        accepted.dialler->send(known_message);
        cr_assert(accepted.until([&] { return accepted.handler.core_messages == 1; }));
        cr_assert_eq(accepted.handler.unknown, 1);
        cr_assert_not(accepted.over);
    }
}

Test(connection_acceptor, an_unknown_message_ends_a_session_that_settled_on_a_version) {
    Accepted accepted;
    accepted.say_hello(range);
    accepted.dialler->send(unknown_message);
    accepted.dialler->send(known_message);
    cr_assert(accepted.until([&] { return accepted.over; }));
    cr_assert_eq(accepted.handler.unknown, 1);
    cr_assert_eq(accepted.handler.core_messages, 0);
}

Test(connection_acceptor, unknown_fields_are_counted_and_the_message_is_taken) {
    Accepted accepted;
    accepted.say_hello(range);
    json message = known_message;
    message["hue"] = "green";
    accepted.dialler->send(message);
    cr_assert(accepted.until([&] { return accepted.handler.core_messages == 1; }));
    cr_assert_eq(accepted.handler.unknown_fields, 1U);
    cr_assert_eq(accepted.handler.unknown, 0);
}

Test(connection_acceptor, deltas_of_states_become_whole_or_are_reported) {
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
    Accepted accepted;
    accepted.say_hello(range);
    accepted.dialler->send(delta);
    cr_assert(accepted.until([&] { return accepted.handler.missing_bases == 1; }));
    cr_assert_eq(accepted.handler.core_messages, 0);
    accepted.dialler->send(whole);
    accepted.dialler->send(delta);
    cr_assert(accepted.until([&] { return accepted.handler.core_messages == 2; }));
    cr_assert_eq(accepted.handler.contents.at(1).back(), 'c');
}

Test(connection_acceptor, something_else_than_a_hello_ends_the_connection) {
    Accepted accepted;
    accepted.dialler->send(known_message);
    cr_assert(accepted.until([&] { return accepted.over; }));
    cr_assert_eq(accepted.handler.refused, 0);
}
