#include "scheduler/gossip/frame.h"

#include "datagram_generated.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace willowrill::gossip {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using std::chrono::milliseconds;

constexpr std::uint32_t no_as_of = std::numeric_limits<std::uint32_t>::max();
// Names are bounded in what is read, so that nothing of a peer's can grow without end.
constexpr std::size_t longest_name = 256;

// ---------------------------------------------------------------------------------------------- writing

Offset<wire::Delta> write(FlatBufferBuilder& to, const counts::Delta& delta) {
    std::vector<Offset<wire::Introduction>> introductions;
    introductions.reserve(delta.introductions.size());
    for (const counts::Introduction& one : delta.introductions) {
        const counts::Identity& identity = one.identity;
        introductions.push_back(wire::CreateIntroduction(to, to.CreateString(identity.instance),
                                                         identity.number, identity.rate, identity.burst));
    }
    std::vector<wire::Section> sections;
    sections.reserve(delta.sections.size());
    for (const counts::Section& one : delta.sections)
        sections.emplace_back(one.key, one.from, one.to, one.as_of.count(), one.cell_count, one.series_count, one.mark_count,
                              0);
    std::vector<wire::CellUpdate> cells;
    cells.reserve(delta.cells.size());
    for (const counts::CellUpdate& one : delta.cells)
        cells.emplace_back(one.value, one.slot, one.version_offset);
    std::vector<Offset<wire::SeriesUpdate>> series;
    series.reserve(delta.series.size());
    for (const counts::SeriesUpdate& one : delta.series) {
        series.push_back(wire::CreateSeriesUpdate(to, one.version_offset, to.CreateSharedString(one.name.tenant),
                                                to.CreateSharedString(one.name.job_class)));
    }
    std::vector<wire::Mark> marks;
    marks.reserve(delta.marks.size());
    for (const counts::Mark& one : delta.marks)
        marks.emplace_back(one.number, static_cast<std::uint32_t>(one.kind), one.version_offset);
    const auto all_introductions = introductions.empty() ? 0 : to.CreateVector(introductions);
    const auto all_sections = to.CreateVectorOfStructs(sections);
    const auto all_cells = cells.empty() ? 0 : to.CreateVectorOfStructs(cells);
    const auto all_series = series.empty() ? 0 : to.CreateVector(series);
    const auto all_marks = marks.empty() ? 0 : to.CreateVectorOfStructs(marks);
    return wire::CreateDelta(to, all_introductions, all_sections, all_cells, all_series, all_marks);
}

Offset<wire::Digest> write(FlatBufferBuilder& to, const counts::Digest& digest) {
    counts::Time latest{0};
    for (const counts::Time as_of : digest.as_of)
        latest = std::max(latest, as_of);
    std::vector<std::uint32_t> before;
    for (const counts::Time as_of : digest.as_of) {
        const auto older = std::chrono::ceil<milliseconds>(latest - as_of).count();
        before.push_back(as_of.count() == 0 || older >= no_as_of ? no_as_of
                                                                 : static_cast<std::uint32_t>(older));
    }
    std::vector<Offset<wire::FoldCorrection>> raises;
    raises.reserve(digest.fold_corrections.size());
    for (const counts::FoldCorrection& one : digest.fold_corrections) {
        raises.push_back(wire::CreateFoldCorrection(to, one.key, one.value, to.CreateString(one.name.tenant),
                                           to.CreateString(one.name.job_class),
                                           static_cast<std::uint8_t>(one.outcome)));
    }
    const auto keys = to.CreateVector(digest.keys);
    const auto versions = to.CreateVector(digest.versions);
    const auto ages = to.CreateVector(before);
    const auto all_raises = raises.empty() ? 0 : to.CreateVector(raises);
    return wire::CreateDigest(to, digest.first, digest.last, keys, versions, latest.count(), ages,
                              all_raises);
}

Offset<wire::DeltaRequest> write(FlatBufferBuilder& to, const DeltaRequest& wants) {
    std::vector<wire::KnownVersion> all;
    for (const counts::KnownVersion& one : wants)
        all.emplace_back(one.key, one.version, one.unknown);
    return wire::CreateDeltaRequest(to, to.CreateVectorOfStructs(all));
}

Offset<wire::Membership> write(FlatBufferBuilder& to, const swim::Message& message) {
    std::vector<Offset<wire::Member>> news;
    news.reserve(message.updates.size());
    for (const swim::Member& one : message.updates) {
        news.push_back(wire::CreateMember(to, to.CreateString(one.id.name), one.id.life, one.address.host,
                                          one.address.port, static_cast<std::uint8_t>(one.state),
                                          one.incarnation));
    }
    return wire::CreateMembership(to, static_cast<std::uint8_t>(message.kind), message.sequence, message.life,
                                  message.subject.host, message.subject.port, to.CreateVector(news));
}

Bytes bytes_of(const FlatBufferBuilder& from) {
    return {from.GetBufferPointer(), from.GetBufferPointer() + from.GetSize()};
}

// ---------------------------------------------------------------------------------------------- reading

// Found by fuzzing: the verifier looks at where a vector begins, but not at whether its elements of eight
// bytes lie where such may be read.
template <class List> bool in_place(const List* list) {
    return list == nullptr || reinterpret_cast<std::uintptr_t>(list->Data()) %
                                      alignof(std::remove_pointer_t<decltype(list->Get(0))>) ==
                                  0;
}

template <class List, class Take> bool each(const List* list, Take&& take) {
    if (list == nullptr) return true;
    if (!in_place(list)) return false;
    for (flatbuffers::uoffset_t i = 0; i < list->size(); ++i)
        if (!take(list->Get(i))) return false;
    return true;
}

std::optional<std::string> name_of(const flatbuffers::String* text) {
    if (text == nullptr || text->size() > longest_name) return std::nullopt;
    return text->str();
}

std::optional<counts::Name> name_of(const flatbuffers::String* tenant, const flatbuffers::String* job_class) {
    auto first = name_of(tenant), second = name_of(job_class);
    // The zero byte stands between the two where a book keeps them.
    if (!first || !second || first->find('\0') != std::string::npos ||
        second->find('\0') != std::string::npos)
        return std::nullopt;
    return counts::Name{std::move(*first), std::move(*second)};
}

std::optional<counts::Delta> read(const wire::Delta& from) {
    counts::Delta out;
    const bool good =
        each(from.introductions(),
             [&](const wire::Introduction* one) {
                 auto instance = name_of(one->instance());
                 if (!instance) return false;
                 out.introductions.push_back(
                     {{std::move(*instance), one->number(), one->rate(), one->burst()}});
                 return true;
             }) &&
        each(from.sections(),
             [&](const wire::Section* one) {
                 out.sections.push_back({one->key(), one->from(), one->to(), counts::Time(one->as_of()),
                                         one->cell_count(), one->series_count(), one->mark_count()});
                 return one->as_of() >= 0;
             }) &&
        each(from.cells(),
             [&](const wire::CellUpdate* one) {
                 out.cells.push_back({one->value(), one->slot(), one->version_offset()});
                 return true;
             }) &&
        each(from.series(),
             [&](const wire::SeriesUpdate* one) {
                 auto name = name_of(one->tenant(), one->job_class());
                 if (!name) return false;
                 out.series.push_back({one->version_offset(), std::move(*name)});
                 return true;
             }) &&
        each(from.marks(), [&](const wire::Mark* one) {
            out.marks.push_back({one->number(), static_cast<counts::MarkKind>(one->kind()), one->version_offset()});
            return one->kind() <= static_cast<std::uint32_t>(counts::MarkKind::ended);
        });
    return good ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<counts::Digest> read(const wire::Digest& from) {
    counts::Digest out{.first = from.first(), .last = from.last()};
    const auto *keys = from.keys(), *versions = from.versions();
    const auto* before = from.before();
    if (keys == nullptr || versions == nullptr || before == nullptr || keys->size() != versions->size() ||
        keys->size() != before->size() || from.latest() < 0 || !in_place(keys) || !in_place(versions) ||
        !in_place(before))
        return std::nullopt;
    out.keys.assign(keys->begin(), keys->end());
    out.versions.assign(versions->begin(), versions->end());
    const counts::Time latest(from.latest());
    for (const std::uint32_t older : *before)
        out.as_of.push_back(older == no_as_of ? counts::Time(0) : latest - milliseconds(older));
    const bool good = each(from.fold_corrections(), [&](const wire::FoldCorrection* one) {
        auto name = name_of(one->tenant(), one->job_class());
        if (!name || one->outcome() >= counts::outcome_count) return false;
        out.fold_corrections.push_back(
            {one->key(), one->value(), std::move(*name), static_cast<counts::Outcome>(one->outcome())});
        return true;
    });
    return good ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<DeltaRequest> read(const wire::DeltaRequest& from) {
    DeltaRequest out;
    const bool good = each(from.wants(), [&](const wire::KnownVersion* one) {
        out.push_back({one->key(), one->version(), one->unknown()});
        return true;
    });
    return good ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<swim::Message> read(const wire::Membership& from) {
    swim::Message out{.kind = static_cast<swim::MessageKind>(from.kind()),
                      .sequence = from.sequence(),
                      .life = from.life(),
                      .subject = {from.host(), from.port()}};
    if (out.kind > swim::MessageKind::sync) return std::nullopt;
    const bool good = each(from.updates(), [&](const wire::Member* one) {
        auto name = name_of(one->name());
        if (!name || one->state() > static_cast<std::uint8_t>(swim::State::left)) return false;
        out.updates.push_back({{std::move(*name), one->life()},
                               {one->host(), one->port()},
                               static_cast<swim::State>(one->state()),
                               one->incarnation()});
        return true;
    });
    return good ? std::optional(std::move(out)) : std::nullopt;
}

// FlatBuffers reads its numbers in place, so they must lie where such numbers may.
std::span<const unsigned char> aligned(std::span<const unsigned char> bytes, Bytes& room) {
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) == 0) return bytes;
    room.assign(bytes.begin(), bytes.end());
    return room;
}

template <class Part> std::optional<Body> body(const Part* part) {
    if (part == nullptr) return std::nullopt;
    auto out = read(*part);
    return out ? std::optional<Body>(std::move(*out)) : std::nullopt;
}

} // namespace

Bytes encode(const Frame& frame) {
    FlatBufferBuilder to(max_datagram_bytes);
    struct Written {
        wire::Body kind;
        Offset<void> at;
    };
    const Written written = std::visit(
        [&](const auto& part) -> Written {
            using Part = std::decay_t<decltype(part)>;
            const wire::Body kind = std::is_same_v<Part, swim::Message>    ? wire::Body_Membership
                                    : std::is_same_v<Part, counts::Digest> ? wire::Body_Digest
                                    : std::is_same_v<Part, DeltaRequest>   ? wire::Body_DeltaRequest
                                                                           : wire::Body_Delta;
            return {kind, write(to, part).Union()};
        },
        frame.body);
    to.Finish(
        wire::CreateDatagram(to, frame.life, frame.count, frame.sent.count(), written.kind, written.at));
    return bytes_of(to);
}

std::optional<Frame> decode(std::span<const unsigned char> given) {
    Bytes room;
    const auto bytes = aligned(given, room);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), 8, 4096);
    if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::Datagram>(nullptr)) return std::nullopt;
    const auto* datagram = flatbuffers::GetRoot<wire::Datagram>(bytes.data());
    std::optional<Body> content;
    switch (datagram->body_type()) {
    case wire::Body_Membership:
        content = body(datagram->body_as_Membership());
        break;
    case wire::Body_Digest:
        content = body(datagram->body_as_Digest());
        break;
    case wire::Body_DeltaRequest:
        content = body(datagram->body_as_DeltaRequest());
        break;
    case wire::Body_Delta:
        content = body(datagram->body_as_Delta());
        break;
    default:
        break;
    }
    if (!content) return std::nullopt;
    return Frame{datagram->life(), datagram->count(), Time(datagram->sent()), std::move(*content)};
}

Bytes encode(const Snapshot& snapshot) {
    FlatBufferBuilder to(1U << 16U);
    std::vector<Offset<wire::Delta>> deltas;
    deltas.reserve(snapshot.deltas.size());
    for (const counts::Delta& delta : snapshot.deltas)
        deltas.push_back(write(to, delta));
    const auto instance = to.CreateString(snapshot.instance);
    const auto all = to.CreateVector(deltas);
    to.Finish(wire::CreateSnapshot(to, instance, snapshot.number, snapshot.saved.count(), all));
    return bytes_of(to);
}

std::optional<Snapshot> decode_snapshot(std::span<const unsigned char> given) {
    Bytes room;
    const auto bytes = aligned(given, room);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), 8, 100'000'000);
    if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::Snapshot>(nullptr)) return std::nullopt;
    const auto* from = flatbuffers::GetRoot<wire::Snapshot>(bytes.data());
    auto instance = name_of(from->instance());
    if (!instance) return std::nullopt;
    Snapshot out{std::move(*instance), from->number(), Time(from->saved()), {}};
    const bool good = each(from->deltas(), [&](const wire::Delta* one) {
        auto delta = read(*one);
        if (delta) out.deltas.push_back(std::move(*delta));
        return delta.has_value();
    });
    return good ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace willowrill::gossip
