#include "scheduler/gossip/frame.h"
#include "scheduler/gossip/seal.h"

#include <doctest/doctest.h>

#include <limits>

namespace willowrill::gossip {
namespace {

using namespace std::chrono_literals;

// Encodes and decodes a frame with the given body.
template <class Part> Part round_trip(Part part) {
    const auto frame = decode(encode(Frame{7, 8, 9s, std::move(part)}));
    REQUIRE(frame);
    CHECK(frame->life == 7);
    CHECK(frame->sequence_number == 8);
    CHECK(frame->sent_at == 9s);
    REQUIRE(std::holds_alternative<Part>(frame->body));
    return std::get<Part>(frame->body);
}

TEST_CASE("membership messages, digests, requests and deltas survive encoding and decoding") {
    const auto message = round_trip(swim::Message{
        swim::MessageKind::ping_request, 5, 6, {1, 2}, {{{"a", 3}, {4, 5}, swim::State::suspect, 6}}});
    CHECK(message.kind == swim::MessageKind::ping_request);
    CHECK(message.subject == swim::Address{1, 2});
    REQUIRE(message.updates.size() == 1);
    CHECK(message.updates[0].id.name == "a");
    CHECK(message.updates[0].state == swim::State::suspect);
    CHECK(message.updates[0].incarnation == 6);

    const auto digest = round_trip(counts::Digest{1,
                                                  9,
                                                  {2, 3, 4},
                                                  {5, 6, 7},
                                                  {100s, 100s - 1500us, 0s},
                                                  {{2, 8, {"t", "c"}, counts::Outcome::client_left}}});
    CHECK(digest.keys == std::vector<std::uint64_t>{2, 3, 4});
    CHECK(digest.as_of[0] == 100s);
    CHECK(digest.as_of[1] == 100s - 2ms); // rounded down: rounding must not narrow the bounds
    CHECK(digest.as_of[2] == 0s);
    CHECK(digest.fold_corrections[0].name == counts::Name{"t", "c"});

    CHECK(round_trip(DeltaRequest{{1, 2, true}, {3, 4, false}})[0].unknown);

    const auto delta = round_trip(counts::Delta{{{{"i", 1, 2, 3}}},
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

TEST_CASE("the size estimates used to pack deltas are upper bounds") {
    const std::string tenant(20, 't'), job_class(12, 'c'), instance(16, 'i');
    const auto size = [](const counts::Delta& delta) { return encode(Frame{1, 2, 3s, delta}).size(); };
    counts::Delta delta;
    const std::size_t empty = size(delta);
    CHECK(empty <= counts::max_encoded_bytes::message);
    const auto check_size_bound = [&](auto add, std::size_t item_bytes) {
        counts::Delta more;
        for (int i = 0; i < 20; ++i)
            add(more, i);
        CHECK(size(more) <= counts::max_encoded_bytes::message + 20 * item_bytes);
    };
    using counts::max_encoded_bytes::cell;
    check_size_bound([](auto& d, int) { d.sections.push_back({}); }, counts::max_encoded_bytes::section);
    check_size_bound([](auto& d, int) { d.cells.push_back({}); }, cell);
    check_size_bound([](auto& d, int) { d.marks.push_back({}); }, counts::max_encoded_bytes::mark);
    check_size_bound(
        [&](auto& d, int i) {
            d.series.push_back({1, {tenant + std::to_string(10 + i), job_class}});
        },
        counts::max_encoded_bytes::series + 22 + 12);
    check_size_bound(
        [&](auto& d, int i) {
            d.introductions.push_back({{instance + std::to_string(10 + i), 1, 2, 3}});
        },
        counts::max_encoded_bytes::introduction + 18);
}

TEST_CASE("the decoder handles modified and truncated input safely") {
    const Bytes good = encode(Frame{1, 2, 3s,
                                    counts::Delta{{{{"instance", 1, 2, 3}}},
                                                  {{1, 2, 3, 4s, 1, 1, 0}},
                                                  {{5, 6, 7}},
                                                  {{8, {"tenant", "class"}}},
                                                  {}}});
    std::size_t rejected = 0;
    for (std::size_t size = 0; size < good.size(); ++size)
        rejected += decode(std::span(good).first(size)) ? 0 : 1;
    CHECK(rejected > good.size() / 2);
    for (std::size_t at = 0; at < good.size(); ++at) {
        for (const unsigned char bit : {0x01, 0x80, 0xff}) {
            Bytes bad = good;
            bad[at] = static_cast<unsigned char>(bad[at] ^ bit);
            static_cast<void>(decode(bad)); // checked by the sanitizers
        }
    }
    Bytes shifted(good.size() + 1);
    std::copy(good.begin(), good.end(), shifted.begin() + 1);
    CHECK(decode(std::span(shifted).subspan(1))); // any alignment is accepted
}

TEST_CASE("names that the count store could not distinguish are rejected") {
    const auto with = [](const std::string& tenant) {
        return decode(encode(Frame{1, 2, 3s, counts::Delta{{}, {}, {}, {{1, {tenant, "c"}}}, {}}}));
    };
    CHECK(with("good"));
    CHECK_FALSE(with(std::string("a\0b", 3)));
    CHECK_FALSE(with(std::string(300, 'x')));
}

Key key(std::uint32_t id, unsigned char fill) {
    Key result{.id = id};
    result.secret.fill(fill);
    return result;
}

TEST_CASE("a datagram opens only with its key, and a failure has a reason") {
    const Sealer sealer({key(1, 7)}), rotating_sealer({key(2, 9), key(1, 7)}),
        wrong_secret_sealer({key(1, 8)}), wrong_id_sealer({key(3, 7)});
    const Bytes plaintext{1, 2, 3};
    const Bytes sealed = sealer.seal(plaintext);
    CHECK(sealed.size() == plaintext.size() + Sealer::overhead_bytes);
    CHECK(sealer.open(sealed).plaintext == plaintext);
    CHECK(rotating_sealer.open(sealed).plaintext == plaintext); // both keys are accepted during a rotation
    CHECK(sealer.open(rotating_sealer.seal(plaintext)).reason == DropReason::unknown_key);
    CHECK(wrong_secret_sealer.open(sealed).reason == DropReason::forged);
    CHECK(wrong_id_sealer.open(sealed).reason == DropReason::unknown_key);
    CHECK(sealer.seal(plaintext) != sealed); // each call uses a new nonce
    for (std::size_t at = 0; at < sealed.size(); ++at) {
        Bytes bad = sealed;
        bad[at] ^= 1U;
        CHECK_FALSE(sealer.open(bad).valid);
    }
    for (std::size_t size = 0; size < sealed.size(); ++size)
        CHECK_FALSE(sealer.open(std::span(sealed).first(size)).valid);
    Bytes newer = sealed;
    newer[1] = 2;
    CHECK(sealer.open(newer).reason == DropReason::unknown_format);
    CHECK(sealer.open(Bytes(2000, 0x57)).reason == DropReason::malformed);
}

TEST_CASE("each sequence number of a sender is accepted once, in any order") {
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

TEST_CASE("with too many senders, the least recently active one is forgotten") {
    ReplayFilter replay(2);
    CHECK(replay.accept(1, 1));
    CHECK(replay.accept(2, 1));
    CHECK(replay.accept(1, 2));
    CHECK(replay.accept(3, 1)); // sender 2 is forgotten
    CHECK(replay.senders() == 2);
    CHECK_FALSE(replay.accept(1, 1));
    CHECK_FALSE(replay.accept(3, 1));
}

TEST_CASE("with random order and duplicates, each sequence number is accepted at most once") {
    ReplayFilter replay(1);
    std::uint64_t state = 12345;
    std::vector<int> accepted_counts(5000, 0);
    for (std::uint64_t base = 0; base < 4000; base += 100) {
        for (int i = 0; i < 900; ++i) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            const std::uint64_t sequence_number = base + (state >> 33U) % 300;
            if (replay.accept(9, sequence_number)) ++accepted_counts[sequence_number];
        }
    }
    for (const int times : accepted_counts)
        CHECK(times <= 1);
    CHECK(accepted_counts[50] == 1);
}

} // namespace
} // namespace willowrill::gossip
