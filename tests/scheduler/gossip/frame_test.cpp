#include "scheduler/gossip/frame.h"
#include "scheduler/gossip/seal.h"

#include <doctest/doctest.h>

#include <limits>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

template <class Part> Part there_and_back(Part part) {
    const auto frame = decode(encode(Frame{7, 8, 9s, std::move(part)}));
    REQUIRE(frame);
    CHECK(frame->life == 7);
    CHECK(frame->sequence_number == 8);
    CHECK(frame->sent_at == 9s);
    REQUIRE(std::holds_alternative<Part>(frame->body));
    return std::get<Part>(frame->body);
}

TEST_CASE("membership, digests, wants and deltas come back as they went") {
    const auto message = there_and_back(swim::Message{
        swim::MessageKind::ping_request, 5, 6, {1, 2}, {{{"a", 3}, {4, 5}, swim::State::suspect, 6}}});
    CHECK(message.kind == swim::MessageKind::ping_request);
    CHECK(message.subject == swim::Address{1, 2});
    REQUIRE(message.updates.size() == 1);
    CHECK(message.updates[0].id.name == "a");
    CHECK(message.updates[0].state == swim::State::suspect);
    CHECK(message.updates[0].incarnation == 6);

    const auto digest = there_and_back(counts::Digest{1,
                                                      9,
                                                      {2, 3, 4},
                                                      {5, 6, 7},
                                                      {100s, 100s - 1500us, 0s},
                                                      {{2, 8, {"t", "c"}, counts::Outcome::client_left}}});
    CHECK(digest.keys == std::vector<std::uint64_t>{2, 3, 4});
    CHECK(digest.as_of[0] == 100s);
    CHECK(digest.as_of[1] == 100s - 2ms); // rounded to the older side: a bound must not shrink by it
    CHECK(digest.as_of[2] == 0s);
    CHECK(digest.fold_corrections[0].name == counts::Name{"t", "c"});

    CHECK(there_and_back(DeltaRequest{{1, 2, true}, {3, 4, false}})[0].unknown);

    const auto delta = there_and_back(counts::Delta{{{{"i", 1, 2, 3}}},
                                                    {{1, 2, 3, 4s, 1, 1, 1}},
                                                    {{std::numeric_limits<std::uint64_t>::max(), 6, 7}},
                                                    {{8, {"t", "c"}}},
                                                    {{9, counts::MarkKind::folded, 10}}});
    CHECK(delta.introductions[0].identity.burst == 3);
    CHECK(delta.sections[0].as_of == 4s);
    CHECK(delta.cells[0].value == std::numeric_limits<std::uint64_t>::max());
    CHECK(delta.series[0].name.tenant == "t");
    CHECK(delta.marks[0].kind == counts::MarkKind::folded);
}

TEST_CASE("the costs by which deltas are packed are no smaller than what they take") {
    const std::string tenant(20, 't'), job_class(12, 'c'), instance(16, 'i');
    const auto size = [](const counts::Delta& delta) { return encode(Frame{1, 2, 3s, delta}).size(); };
    counts::Delta delta;
    const std::size_t empty = size(delta);
    CHECK(empty <= counts::max_encoded_bytes::message);
    const auto grows = [&](auto add, std::size_t cost) {
        counts::Delta more;
        for (int i = 0; i < 20; ++i)
            add(more, i);
        CHECK(size(more) <= counts::max_encoded_bytes::message + 20 * cost);
    };
    using counts::max_encoded_bytes::cell;
    grows([](auto& d, int) { d.sections.push_back({}); }, counts::max_encoded_bytes::section);
    grows([](auto& d, int) { d.cells.push_back({}); }, cell);
    grows([](auto& d, int) { d.marks.push_back({}); }, counts::max_encoded_bytes::mark);
    grows(
        [&](auto& d, int i) {
            d.series.push_back({1, {tenant + std::to_string(10 + i), job_class}});
        },
        counts::max_encoded_bytes::series + 22 + 12);
    grows(
        [&](auto& d, int i) {
            d.introductions.push_back({{instance + std::to_string(10 + i), 1, 2, 3}});
        },
        counts::max_encoded_bytes::introduction + 18);
}

TEST_CASE("no byte changed or missing makes a decoder do harm") {
    const Bytes good = encode(Frame{1, 2, 3s,
                                    counts::Delta{{{{"instance", 1, 2, 3}}},
                                                  {{1, 2, 3, 4s, 1, 1, 0}},
                                                  {{5, 6, 7}},
                                                  {{8, {"tenant", "class"}}},
                                                  {}}});
    std::size_t refused = 0;
    for (std::size_t size = 0; size < good.size(); ++size)
        refused += decode(std::span(good).first(size)) ? 0 : 1;
    CHECK(refused > good.size() / 2);
    for (std::size_t at = 0; at < good.size(); ++at) {
        for (const unsigned char bit : {0x01, 0x80, 0xff}) {
            Bytes bad = good;
            bad[at] = static_cast<unsigned char>(bad[at] ^ bit);
            static_cast<void>(decode(bad)); // the sanitizers look on
        }
    }
    Bytes shifted(good.size() + 1);
    std::copy(good.begin(), good.end(), shifted.begin() + 1);
    CHECK(decode(std::span(shifted).subspan(1))); // wherever it lies in memory
}

TEST_CASE("names that a book could not keep apart are refused") {
    const auto with = [](const std::string& tenant) {
        return decode(encode(Frame{1, 2, 3s, counts::Delta{{}, {}, {}, {{1, {tenant, "c"}}}, {}}}));
    };
    CHECK(with("good"));
    CHECK_FALSE(with(std::string("a\0b", 3)));
    CHECK_FALSE(with(std::string(300, 'x')));
}

Key key(std::uint32_t id, unsigned char fill) {
    Key out{.id = id};
    out.secret.fill(fill);
    return out;
}

TEST_CASE("a seal opens with its key alone, and says why it does not") {
    const Sealer one({key(1, 7)}), two({key(2, 9), key(1, 7)}), other({key(1, 8)}), none({key(3, 7)});
    const Bytes plaintext{1, 2, 3};
    const Bytes sealed = one.seal(plaintext);
    CHECK(sealed.size() == plaintext.size() + Sealer::overhead_bytes);
    CHECK(one.open(sealed).plaintext == plaintext);
    CHECK(two.open(sealed).plaintext == plaintext); // both keys are good during a change
    CHECK(one.open(two.seal(plaintext)).reason == DropReason::unknown_key);
    CHECK(other.open(sealed).reason == DropReason::forged);
    CHECK(none.open(sealed).reason == DropReason::unknown_key);
    CHECK(one.seal(plaintext) != sealed); // a nonce of its own each time
    for (std::size_t at = 0; at < sealed.size(); ++at) {
        Bytes bad = sealed;
        bad[at] ^= 1U;
        CHECK_FALSE(one.open(bad).valid);
    }
    for (std::size_t size = 0; size < sealed.size(); ++size)
        CHECK_FALSE(one.open(std::span(sealed).first(size)).valid);
    Bytes newer = sealed;
    newer[1] = 2;
    CHECK(one.open(newer).reason == DropReason::unknown_format);
    CHECK(one.open(Bytes(2000, 0x57)).reason == DropReason::malformed);
}

TEST_CASE("each count of a sender is taken once, in whatever order they come") {
    ReplayFilter replay(3);
    CHECK(replay.accept(1, 10));
    CHECK_FALSE(replay.accept(1, 10));
    CHECK(replay.accept(1, 8));
    CHECK_FALSE(replay.accept(1, 8));
    CHECK(replay.accept(1, 500));
    CHECK(replay.accept(1, 9));
    CHECK(replay.accept(1, 2000));
    CHECK_FALSE(replay.accept(1, 976)); // behind the window
    CHECK(replay.accept(1, 977));
    CHECK_FALSE(replay.accept(1, 500));
    CHECK(replay.accept(2, 2000));
    CHECK(replay.accept(1, 1'000'000));
    CHECK(replay.accept(1, 999'999));
    CHECK_FALSE(replay.accept(1, 999'999));
}

TEST_CASE("of more senders than are remembered, the one heard of longest ago gives way") {
    ReplayFilter replay(2);
    CHECK(replay.accept(1, 1));
    CHECK(replay.accept(2, 1));
    CHECK(replay.accept(1, 2));
    CHECK(replay.accept(3, 1)); // 2 is gone
    CHECK(replay.senders() == 2);
    CHECK_FALSE(replay.accept(1, 1));
    CHECK_FALSE(replay.accept(3, 1));
}

TEST_CASE("a random order of counts, each sent three times, is taken once") {
    ReplayFilter replay(1);
    std::uint64_t state = 12345;
    std::vector<int> taken(5000, 0);
    for (std::uint64_t base = 0; base < 4000; base += 100) {
        for (int i = 0; i < 900; ++i) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            const std::uint64_t count = base + (state >> 33U) % 300;
            if (replay.accept(9, count)) ++taken[count];
        }
    }
    for (const int times : taken)
        CHECK(times <= 1);
    CHECK(taken[50] == 1);
}

} // namespace
} // namespace willowrill::gossip
