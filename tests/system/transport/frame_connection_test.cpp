// Connections between processes over real sockets on loopback: frames and their bounds.
#include "system/transport/frame_connection.h"

#include <criterion/criterion.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace willowrill;
using transport::FrameConnection;
using transport::FrameConnectionPtr;

namespace {

// Two ends of one connection.
struct Pair {
    Pair() {
        Tcp::acceptor acceptor(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        Tcp::socket near(loop), far(loop);
        near.connect(acceptor.local_endpoint());
        acceptor.accept(far);
        left = std::make_shared<FrameConnection>(std::move(near));
        right.emplace(std::move(far));
    }
    // Runs the loop until the condition holds or nothing is left to do.
    template <class Condition> bool until(Condition condition) {
        while (!condition())
            if (loop.run_one_for(std::chrono::seconds(5)) == 0) return condition();
        return true;
    }
    asio::io_context loop;
    FrameConnectionPtr left;
    std::optional<Tcp::socket> right; // raw, so that a test may write anything
};

} // namespace

Test(frame_connection, messages_arrive_complete_and_in_order) {
    Pair pair;
    const auto right = std::make_shared<FrameConnection>(std::move(*pair.right));
    std::vector<int> got;
    right->start([&](const nlohmann::json& message) { got.push_back(message.at("n").get<int>()); }, [] {});
    pair.left->start([](const nlohmann::json&) {}, [] {});
    for (int i = 0; i < 100; ++i)
        pair.left->send({{"n", i}, {"text", std::string(static_cast<std::size_t>(i) * 100, 'x')}});
    cr_assert(pair.until([&] { return got.size() == 100; }));
    for (int i = 0; i < 100; ++i)
        cr_assert_eq(got[static_cast<std::size_t>(i)], i);
}

// A write that completes after the connection was closed must not touch the queue that closing has emptied
// (found in a hunt: a control process ended with 139).
Test(frame_connection, a_close_during_a_write_is_harmless) {
    for (int round = 0; round < 50; ++round) {
        Pair pair;
        int closed = 0;
        pair.left->start([](const nlohmann::json&) {}, [&] { ++closed; });
        pair.left->send({{"n", 1}});
        pair.left->send({{"n", 2}});
        pair.left->close();
        pair.left->send({{"n", 3}});
        cr_assert(pair.until([&] { return closed > 0; }));
        while (pair.loop.poll_one() > 0) {
        }
        cr_assert_eq(closed, 1);
    }
}

Test(frame_connection, malformed_bytes_end_the_connection) {
    const std::vector<std::string> inputs{std::string("\0\0\0\3{x}", 7), std::string("\0\0\0\0", 4),
                                          std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\2[", 5)};
    for (const std::string& input : inputs) {
        Pair pair;
        bool closed = false;
        int messages = 0;
        pair.left->start([&](const nlohmann::json&) { ++messages; }, [&] { closed = true; });
        asio::write(*pair.right, asio::buffer(input));
        pair.right->shutdown(Tcp::socket::shutdown_send);
        cr_assert(pair.until([&] { return closed; }));
        cr_assert_eq(messages, 0);
    }
}

Test(frame_connection, a_message_of_the_wrong_shape_ends_the_connection_alone) {
    Pair pair;
    bool closed = false;
    pair.left->start([](const nlohmann::json& message) { (void)message.at("missing"); },
                     [&] { closed = true; });
    asio::write(*pair.right, asio::buffer(*transport::frame_of({{"n", 1}})));
    cr_assert(pair.until([&] { return closed; }));
}

Test(frame_connection, a_peer_that_does_not_read_is_disconnected) {
    Pair pair;
    bool closed = false;
    pair.left->start([](const nlohmann::json&) {}, [&] { closed = true; });
    std::string digits; // random ones, which no compression makes much shorter
    std::mt19937_64 random(1);
    while (digits.size() < (8U << 20U))
        digits += std::to_string(random());
    const auto frame = transport::frame_of({{"x", digits}});
    cr_assert_gt(10 * frame->size(), transport::max_queued_bytes);
    for (int i = 0; i < 10; ++i)
        pair.left->send_frame(frame);
    cr_assert(pair.until([&] { return closed; }));
}

// A peer that has sent more than was read must get the last words all the same.
Test(frame_connection, what_was_sent_before_the_end_arrives_though_bytes_lie_unread) {
    Pair pair;
    const auto right = std::make_shared<FrameConnection>(std::move(*pair.right));
    int heard = 0, closed = 0;
    bool refused = false;
    right->start([&](const nlohmann::json& message) { refused = message.contains("refused"); },
                 [&] { ++closed; });
    pair.left->start(
        [&](const nlohmann::json&) {
            ++heard;
            pair.left->send({{"refused", true}});
            pair.left->close_when_sent();
            pair.left->send({{"late", true}}); // is not sent any more
        },
        [&] { ++closed; });
    for (int i = 0; i < 500; ++i)
        right->send({{"n", i}, {"text", std::string(2000, 'x')}});
    cr_assert(pair.until([&] { return closed == 2; }));
    cr_assert(refused);
    cr_assert_eq(heard, 1);
}

Test(frame_connection, a_peer_that_does_not_close_is_left_after_a_while) {
    Pair pair;
    int closed = 0;
    pair.left->start([](const nlohmann::json&) {}, [&] { ++closed; });
    pair.left->send({{"refused", true}});
    pair.left->close_when_sent();
    cr_assert(pair.until([&] { return closed == 1; }));
    cr_assert_not(pair.left->is_open());
}

namespace {

// The begin of a frame that says so many bytes follow.
std::string length_of_frame(std::size_t bytes) {
    std::string out;
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        out.push_back(static_cast<char>((bytes >> shift) & 0xffU));
    return out;
}

} // namespace

// Guards against rule FAULT: who had connected and announced a long frame had memory for all of it.
Test(frame_connection, a_frame_that_is_announced_takes_memory_only_as_it_comes) {
    Pair pair;
    const auto memory = std::make_shared<budget::ByteBudget>(transport::max_frame_bytes);
    Tcp::socket socket = std::move(*pair.right);
    const auto reader = std::make_shared<FrameConnection>(std::move(socket), memory);
    bool closed = false;
    reader->start([](const nlohmann::json&) {}, [&] { closed = true; });
    constexpr std::size_t sent = 100'000;
    pair.left->send_frame(
        std::make_shared<std::string>(length_of_frame(transport::max_frame_bytes) + std::string(sent, ' ')));
    cr_assert(pair.until([&] { return memory->reserved() >= sent; }));
    cr_assert_leq(memory->reserved(), 2 * (sent + 16384));
    pair.left->close();
    cr_assert(pair.until([&] { return closed; }));
}

Test(frame_connection, a_frame_without_room_in_memory_ends_the_connection) {
    Pair pair;
    const auto memory = std::make_shared<budget::ByteBudget>(50'000);
    const auto reader = std::make_shared<FrameConnection>(std::move(*pair.right), memory);
    bool closed = false;
    int messages = 0;
    reader->start([&](const nlohmann::json&) { ++messages; }, [&] { closed = true; });
    pair.left->start([](const nlohmann::json&) {}, [] {});
    pair.left->send({{"short", 1}});
    std::string noise(100'000, '\0'); // that does not compress
    std::minstd_rand random(7);
    for (char& one : noise)
        one = static_cast<char>('a' + random() % 26);
    pair.left->send({{"long", noise}});
    cr_assert(pair.until([&] { return closed; }));
    cr_assert_eq(messages, 1);
}

Test(frame_connection, a_peer_that_may_send_short_frames_only_sends_no_long_one) {
    const std::string long_text(transport::max_short_frame_bytes, 'x');
    const struct {
        std::string frame;
        int messages;
    } cases[] = {{*transport::frame_of({{"n", 1}}), 1},
                 {length_of_frame(transport::max_short_frame_bytes + 1), 0},
                 // It is short, but not what is in it.
                 {*transport::frame_of({{"text", long_text}}), 0}};
    cr_assert_lt(cases[2].frame.size(), 1000U);
    for (const auto& one : cases) {
        Pair pair;
        bool closed = false;
        int messages = 0;
        pair.left->accept_short_frames_only();
        pair.left->start([&](const nlohmann::json&) { ++messages; }, [&] { closed = true; });
        asio::write(*pair.right, asio::buffer(one.frame));
        cr_assert(pair.until([&] { return closed || messages > 0; }));
        cr_assert_eq(messages, one.messages);
        if (one.messages > 0) continue;
        cr_assert(closed);
    }
}
