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

// Stands for an `as_of` that is unknown or too old to encode.
constexpr std::uint32_t no_age = std::numeric_limits<std::uint32_t>::max();
// Bounds the memory that names from peers can use.
constexpr std::size_t max_name_bytes = 256;

// ---------------------------------------------------------------------------------------------- writing

Offset<wire::Delta> to_wire(FlatBufferBuilder& builder, const counts::Delta& delta) {
    std::vector<Offset<wire::Introduction>> introductions;
    introductions.reserve(delta.introductions.size());
    for (const counts::Introduction& entry : delta.introductions) {
        const counts::Identity& identity = entry.identity;
        introductions.push_back(wire::CreateIntroduction(builder, builder.CreateString(identity.instance),
                                                         identity.number, identity.rate, identity.burst));
    }
    std::vector<wire::Section> sections;
    sections.reserve(delta.sections.size());
    for (const counts::Section& entry : delta.sections)
        sections.emplace_back(entry.key, entry.from, entry.to, entry.as_of.count(), entry.cell_count,
                              entry.series_count, entry.mark_count, 0);
    std::vector<wire::CellUpdate> cells;
    cells.reserve(delta.cells.size());
    for (const counts::CellUpdate& entry : delta.cells)
        cells.emplace_back(entry.value, entry.slot, entry.version_offset);
    std::vector<Offset<wire::SeriesUpdate>> series;
    series.reserve(delta.series.size());
    for (const counts::SeriesUpdate& entry : delta.series) {
        const auto job_class =
            builder.CreateSharedString(entry.name.job_class); // first, as in recorded bytes
        const auto tenant = builder.CreateSharedString(entry.name.tenant);
        series.push_back(wire::CreateSeriesUpdate(builder, entry.version_offset, tenant, job_class));
    }
    std::vector<wire::Mark> marks;
    marks.reserve(delta.marks.size());
    for (const counts::Mark& entry : delta.marks)
        marks.emplace_back(entry.number, static_cast<std::uint32_t>(entry.kind), entry.version_offset);
    const auto introductions_offset = introductions.empty() ? 0 : builder.CreateVector(introductions);
    const auto sections_offset = builder.CreateVectorOfStructs(sections);
    const auto cells_offset = cells.empty() ? 0 : builder.CreateVectorOfStructs(cells);
    const auto series_offset = series.empty() ? 0 : builder.CreateVector(series);
    const auto marks_offset = marks.empty() ? 0 : builder.CreateVectorOfStructs(marks);
    return wire::CreateDelta(builder, introductions_offset, sections_offset, cells_offset, series_offset,
                             marks_offset);
}

Offset<wire::Digest> to_wire(FlatBufferBuilder& builder, const counts::Digest& digest) {
    counts::Time latest{0};
    for (const counts::Time as_of : digest.as_of)
        latest = std::max(latest, as_of);
    std::vector<std::uint32_t> ages_ms;
    for (const counts::Time as_of : digest.as_of) {
        const auto age_ms = std::chrono::ceil<milliseconds>(latest - as_of).count();
        ages_ms.push_back(as_of.count() == 0 || age_ms >= no_age ? no_age
                                                                 : static_cast<std::uint32_t>(age_ms));
    }
    std::vector<Offset<wire::FoldCorrection>> corrections;
    corrections.reserve(digest.fold_corrections.size());
    for (const counts::FoldCorrection& entry : digest.fold_corrections) {
        const auto job_class = builder.CreateString(entry.name.job_class); // first, as in recorded bytes
        const auto tenant = builder.CreateString(entry.name.tenant);
        corrections.push_back(wire::CreateFoldCorrection(builder, entry.key, entry.value, tenant, job_class,
                                                         static_cast<std::uint8_t>(entry.outcome)));
    }
    const auto keys_offset = builder.CreateVector(digest.keys);
    const auto versions_offset = builder.CreateVector(digest.versions);
    const auto ages_offset = builder.CreateVector(ages_ms);
    const auto corrections_offset = corrections.empty() ? 0 : builder.CreateVector(corrections);
    return wire::CreateDigest(builder, digest.first, digest.last, keys_offset, versions_offset,
                              latest.count(), ages_offset, corrections_offset);
}

Offset<wire::DeltaRequest> to_wire(FlatBufferBuilder& builder, const DeltaRequest& request) {
    std::vector<wire::KnownVersion> versions;
    for (const counts::KnownVersion& entry : request)
        versions.emplace_back(entry.key, entry.version, entry.unknown);
    return wire::CreateDeltaRequest(builder, builder.CreateVectorOfStructs(versions));
}

Offset<wire::Membership> to_wire(FlatBufferBuilder& builder, const swim::Message& message) {
    std::vector<Offset<wire::Member>> updates;
    updates.reserve(message.updates.size());
    for (const swim::Member& entry : message.updates) {
        updates.push_back(wire::CreateMember(builder, builder.CreateString(entry.id.name), entry.id.life,
                                             entry.address.host, entry.address.port,
                                             static_cast<std::uint8_t>(entry.state), entry.incarnation));
    }
    return wire::CreateMembership(builder, static_cast<std::uint8_t>(message.kind), message.sequence,
                                  message.life, message.subject.host, message.subject.port,
                                  builder.CreateVector(updates));
}

Bytes bytes_of(const FlatBufferBuilder& from) {
    return {from.GetBufferPointer(), from.GetBufferPointer() + from.GetSize()};
}

// ---------------------------------------------------------------------------------------------- reading

// Whether the elements of a vector are aligned. The FlatBuffers verifier checks the alignment of the vector's
// length field, but not that of 8-byte elements; fuzzing found this.
template <class List> bool is_aligned(const List* list) {
    return list == nullptr || reinterpret_cast<std::uintptr_t>(list->Data()) %
                                      alignof(std::remove_pointer_t<decltype(list->Get(0))>) ==
                                  0;
}

// Calls `visit` for each element until it returns false. Returns false if it did, or if the vector is
// misaligned.
template <class List, class Visitor> bool for_each(const List* list, Visitor&& visit) {
    if (list == nullptr) return true;
    if (!is_aligned(list)) return false;
    for (flatbuffers::uoffset_t i = 0; i < list->size(); ++i)
        if (!visit(list->Get(i))) return false;
    return true;
}

std::optional<std::string> read_name(const flatbuffers::String* text) {
    if (text == nullptr || text->size() > max_name_bytes) return std::nullopt;
    return text->str();
}

std::optional<counts::Name> read_name(const flatbuffers::String* tenant,
                                      const flatbuffers::String* job_class) {
    auto tenant_name = read_name(tenant), class_name = read_name(job_class);
    // `CountStore` separates the two names by a zero byte in its keys.
    if (!tenant_name || !class_name || tenant_name->find('\0') != std::string::npos ||
        class_name->find('\0') != std::string::npos)
        return std::nullopt;
    return counts::Name{std::move(*tenant_name), std::move(*class_name)};
}

std::optional<counts::Delta> from_wire(const wire::Delta& from) {
    counts::Delta result;
    const bool valid =
        for_each(from.introductions(),
                 [&](const wire::Introduction* entry) {
                     auto instance = read_name(entry->instance());
                     if (!instance) return false;
                     result.introductions.push_back(
                         {{std::move(*instance), entry->number(), entry->rate(), entry->burst()}});
                     return true;
                 }) &&
        for_each(from.sections(),
                 [&](const wire::Section* entry) {
                     result.sections.push_back({entry->key(), entry->from(), entry->to(),
                                                counts::Time(entry->as_of()), entry->cell_count(),
                                                entry->series_count(), entry->mark_count()});
                     return entry->as_of() >= 0;
                 }) &&
        for_each(from.cells(),
                 [&](const wire::CellUpdate* entry) {
                     result.cells.push_back({entry->value(), entry->slot(), entry->version_offset()});
                     return true;
                 }) &&
        for_each(from.series(),
                 [&](const wire::SeriesUpdate* entry) {
                     auto name = read_name(entry->tenant(), entry->job_class());
                     if (!name) return false;
                     result.series.push_back({entry->version_offset(), std::move(*name)});
                     return true;
                 }) &&
        for_each(from.marks(), [&](const wire::Mark* entry) {
            result.marks.push_back(
                {entry->number(), static_cast<counts::MarkKind>(entry->kind()), entry->version_offset()});
            return entry->kind() <= static_cast<std::uint32_t>(counts::MarkKind::ended);
        });
    return valid ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<counts::Digest> from_wire(const wire::Digest& from) {
    counts::Digest result{.first = from.first(), .last = from.last()};
    const auto *keys = from.keys(), *versions = from.versions();
    const auto* ages_ms = from.ages_ms();
    if (keys == nullptr || versions == nullptr || ages_ms == nullptr || keys->size() != versions->size() ||
        keys->size() != ages_ms->size() || from.latest() < 0 || !is_aligned(keys) || !is_aligned(versions) ||
        !is_aligned(ages_ms))
        return std::nullopt;
    result.keys.assign(keys->begin(), keys->end());
    result.versions.assign(versions->begin(), versions->end());
    const counts::Time latest(from.latest());
    for (const std::uint32_t age_ms : *ages_ms)
        result.as_of.push_back(age_ms == no_age ? counts::Time(0) : latest - milliseconds(age_ms));
    const bool valid = for_each(from.fold_corrections(), [&](const wire::FoldCorrection* entry) {
        auto name = read_name(entry->tenant(), entry->job_class());
        if (!name || entry->outcome() >= counts::outcome_count) return false;
        result.fold_corrections.push_back(
            {entry->key(), entry->value(), std::move(*name), static_cast<counts::Outcome>(entry->outcome())});
        return true;
    });
    return valid ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<DeltaRequest> from_wire(const wire::DeltaRequest& from) {
    DeltaRequest result;
    const bool valid = for_each(from.known_versions(), [&](const wire::KnownVersion* entry) {
        result.push_back({entry->key(), entry->version(), entry->unknown()});
        return true;
    });
    return valid ? std::optional(std::move(result)) : std::nullopt;
}

std::optional<swim::Message> from_wire(const wire::Membership& from) {
    swim::Message result{.kind = static_cast<swim::MessageKind>(from.kind()),
                         .sequence = from.sequence(),
                         .life = from.life(),
                         .subject = {from.host(), from.port()}};
    if (result.kind > swim::MessageKind::sync) return std::nullopt;
    const bool valid = for_each(from.updates(), [&](const wire::Member* entry) {
        auto name = read_name(entry->name());
        if (!name || entry->state() > static_cast<std::uint8_t>(swim::State::left)) return false;
        result.updates.push_back({{std::move(*name), entry->life()},
                                  {entry->host(), entry->port()},
                                  static_cast<swim::State>(entry->state()),
                                  entry->incarnation()});
        return true;
    });
    return valid ? std::optional(std::move(result)) : std::nullopt;
}

// Returns the bytes at an address that is aligned for FlatBuffers, which reads numbers in place. Copies them
// to `aligned_copy` if needed.
std::span<const unsigned char> align(std::span<const unsigned char> bytes, Bytes& aligned_copy) {
    if (reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(std::uint64_t) == 0) return bytes;
    aligned_copy.assign(bytes.begin(), bytes.end());
    return aligned_copy;
}

template <class Part> std::optional<Body> decode_body(const Part* part) {
    if (part == nullptr) return std::nullopt;
    auto result = from_wire(*part);
    return result ? std::optional<Body>(std::move(*result)) : std::nullopt;
}

} // namespace

Bytes encode(const Frame& frame) {
    FlatBufferBuilder builder(max_datagram_bytes);
    struct EncodedBody {
        wire::Body type;
        Offset<void> offset;
    };
    const EncodedBody encoded = std::visit(
        [&](const auto& part) -> EncodedBody {
            using Part = std::decay_t<decltype(part)>;
            const wire::Body type = std::is_same_v<Part, swim::Message>    ? wire::Body_Membership
                                    : std::is_same_v<Part, counts::Digest> ? wire::Body_Digest
                                    : std::is_same_v<Part, DeltaRequest>   ? wire::Body_DeltaRequest
                                                                           : wire::Body_Delta;
            return {type, to_wire(builder, part).Union()};
        },
        frame.body);
    builder.Finish(wire::CreateDatagram(builder, frame.life, frame.sequence_number, frame.sent_at.count(),
                                        encoded.type, encoded.offset));
    return bytes_of(builder);
}

std::optional<Frame> decode(std::span<const unsigned char> input) {
    Bytes aligned_copy;
    const auto bytes = align(input, aligned_copy);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), 8, 4096);
    if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::Datagram>(nullptr)) return std::nullopt;
    const auto* datagram = flatbuffers::GetRoot<wire::Datagram>(bytes.data());
    std::optional<Body> content;
    switch (datagram->body_type()) {
    case wire::Body_Membership:
        content = decode_body(datagram->body_as_Membership());
        break;
    case wire::Body_Digest:
        content = decode_body(datagram->body_as_Digest());
        break;
    case wire::Body_DeltaRequest:
        content = decode_body(datagram->body_as_DeltaRequest());
        break;
    case wire::Body_Delta:
        content = decode_body(datagram->body_as_Delta());
        break;
    default:
        break;
    }
    if (!content) return std::nullopt;
    return Frame{datagram->life(), datagram->sequence_number(), Time(datagram->sent_at()),
                 std::move(*content)};
}

Bytes encode(const Snapshot& snapshot) {
    FlatBufferBuilder builder(1U << 16U);
    std::vector<Offset<wire::Delta>> deltas;
    deltas.reserve(snapshot.deltas.size());
    for (const counts::Delta& delta : snapshot.deltas)
        deltas.push_back(to_wire(builder, delta));
    const auto instance = builder.CreateString(snapshot.instance);
    const auto deltas_offset = builder.CreateVector(deltas);
    builder.Finish(
        wire::CreateSnapshot(builder, instance, snapshot.number, snapshot.saved_at.count(), deltas_offset));
    return bytes_of(builder);
}

std::optional<Snapshot> decode_snapshot(std::span<const unsigned char> input) {
    Bytes aligned_copy;
    const auto bytes = align(input, aligned_copy);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), 8, 100'000'000);
    if (bytes.size() < 8 || !verifier.VerifyBuffer<wire::Snapshot>(nullptr)) return std::nullopt;
    const auto* from = flatbuffers::GetRoot<wire::Snapshot>(bytes.data());
    auto instance = read_name(from->instance());
    if (!instance) return std::nullopt;
    Snapshot result{std::move(*instance), from->number(), Time(from->saved_at()), {}};
    const bool valid = for_each(from->deltas(), [&](const wire::Delta* entry) {
        auto delta = from_wire(*entry);
        if (delta) result.deltas.push_back(std::move(*delta));
        return delta.has_value();
    });
    return valid ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace willowrill::gossip
