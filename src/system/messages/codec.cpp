#include "system/messages/codec.h"

#include "system/discovery/codec.h"
#include "system/membership/codec.h"
#include "system/replication/codec.h"

#include <sodium.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace willowrill::messages {

using membership::Lease;
using nlohmann::json;
using replication::Position;

// ---- Parts of messages -----------------------------------------------------------------------------------

// NOLINTNEXTLINE(readability-identifier-naming): the library looks this name up
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CoreMember, id, zone, region)

namespace {

constexpr const char* resync_state = "state";
constexpr const char* resync_members = "members";
constexpr const char* hello_reply_type = "hello-reply";
constexpr const char* hello_refusal_type = "hello-refused";
constexpr const char* replication_delta_type = "replication-delta";
constexpr const char* state_snapshot_request_type = "state-wanted";
constexpr const char* needs_key = "needs";
constexpr const char* optional_key = "optional";
constexpr std::size_t max_features = 64; // of a greeting; more are not read
constexpr std::size_t max_refusal_detail = 400;
constexpr int out_of_range_id = 501; // of the library's exceptions

UnknownMessage unknown(const json& in, std::string name) {
    name.resize(std::min(name.size(), max_unknown_name));
    return {std::move(name), in.value(optional_key, false)};
}

// A feature that the message needs and this program does not have.
std::optional<std::string> missing_feature(const json& in) {
    if (!in.contains(needs_key)) return std::nullopt;
    for (const json& feature : in.at(needs_key)) {
        const auto name = feature.get<std::string>();
        if (!protocol::supported_features().contains(name)) return name;
    }
    return std::nullopt;
}

std::string to_base64(std::string_view bytes) {
    constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
    std::string out(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                      bytes.size(), variant);
    out.pop_back(); // the zero behind the text
    return out;
}

std::string from_base64(const json& in) {
    const auto text = in.get<std::string>();
    std::string out(text.size(), '\0');
    std::size_t size = 0;
    const char* end = nullptr;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(), text.size(),
                          nullptr, &size, &end, sodium_base64_VARIANT_ORIGINAL) != 0 ||
        end != text.data() + text.size())
        throw json::other_error::create(out_of_range_id, "no base64", &in);
    out.resize(size);
    return out;
}

json encode_position(const Position& position) { return json::array({position.epoch, position.sequence}); }

Position decode_position(const json& in) {
    return {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}

json document_of_leases(const char* type, const LeaseListVersion& version) {
    return {{"type", type}, {"life", version.incarnation}, {"number", version.number}};
}

LeaseListVersion decode_lease_list_version(const json& in) {
    return {in.at("life").get<std::uint64_t>(), in.at("number").get<std::uint64_t>()};
}

json encode_resync(const ResyncRequest& resync) {
    json out = json::array();
    if (resync.members) out.push_back(resync_members);
    if (resync.state) out.push_back(resync_state);
    return out;
}

// What this version does not know is left out.
ResyncRequest decode_resync(const json& in) {
    ResyncRequest out;
    for (const json& item : in) {
        out.state = out.state || item == resync_state;
        out.members = out.members || item == resync_members;
    }
    return out;
}

// ---- Hello -----------------------------------------------------------------------------------------------

// Programs of version 3 go by `version` alone and speak with nobody who names another: the lowest version
// that is spoken stands there.
void encode_greeting(json& out, const protocol::Greeting& greeting) {
    out["version"] = greeting.versions.min;
    if (greeting.versions.max < protocol::negotiated_version) return;
    out["max_version"] = greeting.versions.max;
    out["features"] = greeting.features;
}

protocol::VersionRange decode_versions(const json& in) {
    const auto min = in.at("version").get<protocol::Version>();
    const auto max = in.value("max_version", min);
    if (min < 1 || max < min) throw json::other_error::create(out_of_range_id, "no range of versions", &in);
    return {min, max};
}

protocol::Greeting decode_greeting(const json& in) {
    protocol::Greeting out{decode_versions(in), {}};
    if (!in.contains("features")) return out;
    for (const json& feature : in.at("features"))
        if (out.features.size() < max_features) out.features.insert(feature.get<std::string>());
    return out;
}

json document_of_hello(const char* kind, const protocol::Greeting& greeting) {
    json out{{"type", "hello"}, {"kind", kind}};
    encode_greeting(out, greeting);
    return out;
}

json encode_one(const CoreHello& hello) {
    json out = document_of_hello("core", hello.greeting);
    out["member"] = hello.member;
    return out;
}

json encode_one(const SchedulerHello& hello) { return document_of_hello("scheduler", hello.greeting); }

json encode_one(const HelloReply& reply) {
    json out{{"type", hello_reply_type}};
    encode_greeting(out, reply.greeting);
    return out;
}

json encode_one(const HelloRefusal& refusal) {
    return {{"type", hello_refusal_type},
            {"version", refusal.versions.min},
            {"max_version", refusal.versions.max},
            {"detail", refusal.detail}};
}

HelloReply decode_hello_reply(const json& in) { return {decode_greeting(in)}; }

HelloRefusal decode_hello_refusal(const json& in) {
    return {decode_versions(in), in.value("detail", std::string()).substr(0, max_refusal_detail)};
}

// ---- Between core members --------------------------------------------------------------------------------

// Is never sent: a member passes on only what it knows.
json encode_one(const UnknownMessage&) { return json::object(); }

json encode_one(const ReplicationEnvelope& envelope) {
    return {{"type", "replication"}, {"message", replication::encode(envelope.message)}};
}

json encode_one(const ReplicationDelta& delta) {
    return {{"type", replication_delta_type},
            {"message", replication::encode(delta.message)},
            {"base", encode_position(delta.base)},
            {"digest", to_base64({reinterpret_cast<const char*>(delta.digest.data()), delta.digest.size()})},
            {"delta", to_base64(delta.delta)}};
}

json encode_one(const StateSnapshotRequest&) { return {{"type", state_snapshot_request_type}}; }

json encode_one(const CorePeers& peers) { return {{"type", "core"}, {"members", peers.members}}; }

json encode_one(const LeasesSnapshot& snapshot) {
    json out = document_of_leases("leases", snapshot.version);
    out["leases"] = snapshot.leases;
    return out;
}

json encode_one(const LeasesDelta& delta) {
    json out = document_of_leases("leases-change", delta.version);
    out["leases"] = delta.changed;
    out["gone"] = delta.removed;
    return out;
}

json encode_one(const LeasesKeepAlive& keep_alive) {
    json out = document_of_leases("leases-alive", keep_alive.version);
    if (!keep_alive.silent.empty()) out["silent"] = keep_alive.silent;
    return out;
}

json encode_one(const LeasesSnapshotRequest&) { return {{"type", "leases-wanted"}}; }

// Is never sent either.
json encode_one(const UnknownLeasesUpdate&) { return json::object(); }

json encode_one(const RoleAssignments& roles) {
    json list = json::array();
    for (const ownership::Assignment& one : roles.assignments)
        list.push_back({{"zone", one.key}, {"owner", one.owner}, {"token", one.token}});
    return {{"type", "assign"}, {"assignments", std::move(list)}};
}

json encode_one(const ZoneListUpdate& update) { return {{"type", "zone"}, {"list", update.list}}; }

json encode_one(const ZoneListUnchanged& unchanged) {
    return {{"type", "zone-unchanged"}, {"zone", unchanged.zone}, {"token", unchanged.token}};
}

json encode_one(const LeasesMessage& message) {
    return std::visit([](const auto& one) { return encode_one(one); }, message);
}

json encode_one(const EndpointListMessage& message) {
    return std::visit([](const auto& one) { return encode_one(one); }, message);
}

CoreMessage decode_replication(const json& in) {
    const json& message = in.at("message");
    const auto type = message.at("type").get<std::string>();
    if (!replication::is_known_message_type(type)) return unknown(in, "replication/" + type);
    return ReplicationEnvelope{replication::decode_message(message)};
}

// A message of a kind that carries no state is as malformed as one that cannot be read.
CoreMessage decode_replication_delta(const json& in) {
    const json& message = in.at("message");
    const auto type = message.at("type").get<std::string>();
    if (!replication::is_known_message_type(type)) return unknown(in, "replication/" + type);
    ReplicationDelta out{replication::decode_message(message), decode_position(in.at("base")), {}, ""};
    const std::string digest = from_base64(in.at("digest"));
    if (replication::state_in(out.message) == nullptr || digest.size() != out.digest.size())
        throw json::other_error::create(out_of_range_id, "no delta of a state", &in);
    std::ranges::copy(digest, out.digest.begin());
    out.delta = from_base64(in.at("delta"));
    return out;
}

LeasesMessage decode_leases_message(std::string_view type, const json& in) {
    if (type == "leases-wanted") return LeasesSnapshotRequest{};
    const LeaseListVersion version = decode_lease_list_version(in);
    if (type == "leases") return LeasesSnapshot{version, in.at("leases").get<std::vector<Lease>>()};
    if (type == "leases-change")
        return LeasesDelta{version, in.at("leases").get<std::vector<Lease>>(),
                           in.at("gone").get<std::vector<std::string>>()};
    if (type != "leases-alive") return UnknownLeasesUpdate{version};
    LeasesKeepAlive out{version, {}};
    if (in.contains("silent")) in.at("silent").get_to(out.silent);
    return out;
}

RoleAssignments decode_role_assignments(const json& in) {
    RoleAssignments out;
    for (const json& one : in.at("assignments"))
        out.assignments.push_back({one.at("zone").get<std::string>(), one.at("owner").get<std::string>(),
                                   one.at("token").get<discovery::FencingToken>()});
    return out;
}

ZoneListUpdate decode_zone_list_update(const json& in) { return {in.at("list").get<discovery::ZoneList>()}; }

// ---- From a scheduler to its core member -----------------------------------------------------------------

json encode_one(const RenewLease& renewal) {
    json out{{"type", "lease"}, {"lease", renewal.lease}, {"holds", nullptr}};
    if (renewal.active_position) out["holds"] = encode_position(*renewal.active_position);
    if (renewal.resync != ResyncRequest{}) out["lacks"] = encode_resync(renewal.resync);
    return out;
}

RenewLease decode_renew_lease(const json& in) {
    RenewLease out;
    in.at("lease").get_to(out.lease);
    if (const json& position = in.at("holds"); !position.is_null())
        out.active_position = decode_position(position);
    if (in.contains("lacks")) out.resync = decode_resync(in.at("lacks"));
    return out;
}

// ---- From a core member to its schedulers ----------------------------------------------------------------

json encode_one(const LeaseAck& ack) {
    return {{"type", "beat"}, {"renewal", ack.renewal}, {"current", ack.current}, {"core", ack.core}};
}

json encode_one(const StateSnapshot& snapshot) {
    return {{"type", "state"},
            {"position", encode_position(snapshot.position)},
            {"version", snapshot.version},
            {"configuration", snapshot.configuration},
            {"evacuated", snapshot.evacuated_zones}};
}

json encode_one(const StateDelta& delta) {
    json out{{"type", "state-change"},
             {"base", encode_position(delta.base)},
             {"position", encode_position(delta.position)},
             {"version", delta.version},
             {"patch", nullptr},
             {"evacuated", delta.evacuated_zones}};
    if (delta.patch) out["patch"] = *delta.patch;
    return out;
}

json encode_one(const MembersSnapshot& snapshot) {
    return {{"type", "members"}, {"number", snapshot.number}, {"members", snapshot.members}};
}

json encode_one(const MembersDelta& delta) {
    return {{"type", "members-change"},
            {"number", delta.number},
            {"changed", delta.changed},
            {"gone", delta.removed}};
}

// The renewal's number is for who reads the traffic: a scheduler does not go by it.
LeaseAck decode_lease_ack(const json& in) {
    return {in.value("renewal", std::uint64_t{0}), in.at("current").get<bool>(),
            in.at("core").get<std::vector<CoreMember>>()};
}

// A scheduler takes the version from the configuration itself.
StateSnapshot decode_state_snapshot(const json& in) {
    return {decode_position(in.at("position")), in.value("version", configuration::Version{0}),
            in.at("configuration").get<std::string>(), in.at("evacuated").get<std::set<std::string>>()};
}

StateDelta decode_state_delta(const json& in) {
    StateDelta out;
    out.base = decode_position(in.at("base"));
    out.position = decode_position(in.at("position"));
    out.version = in.value("version", configuration::Version{0});
    if (const json& patch = in.at("patch"); !patch.is_null()) out.patch = patch.get<std::string>();
    in.at("evacuated").get_to(out.evacuated_zones);
    return out;
}

} // namespace

json encode(const Hello& hello) {
    return std::visit([](const auto& one) { return encode_one(one); }, hello);
}

json encode(const CoreMessage& message) {
    return std::visit([](const auto& one) { return encode_one(one); }, message);
}

json encode(const SchedulerMessage& message) {
    return std::visit([](const auto& one) { return encode_one(one); }, message);
}

json encode(const CoreUpdate& message) {
    return std::visit([](const auto& one) { return encode_one(one); }, message);
}

std::optional<Hello> decode_hello(const json& document) {
    if (document.at("type") != "hello") return std::nullopt;
    const protocol::Greeting greeting = decode_greeting(document);
    if (document.at("kind") != "core") return Hello{SchedulerHello{greeting}};
    // Whoever speaks another version may name itself in another form, and is refused all the same.
    if (!protocol::negotiate(protocol::own_greeting(protocol::initial_cluster_version), greeting))
        return Hello{CoreHello{document.value("member", CoreMember{}), greeting}};
    return Hello{CoreHello{document.at("member").get<CoreMember>(), greeting}};
}

json encode(const HelloReply& reply) { return encode_one(reply); }
json encode(const HelloRefusal& refusal) { return encode_one(refusal); }

DialReply decode_dial_reply(const json& document) {
    const auto type = document.at("type").get<std::string>();
    if (type == hello_reply_type) return decode_hello_reply(document);
    if (type == hello_refusal_type) return decode_hello_refusal(document);
    return unknown(document, type);
}

CoreMessage decode_core_message(const json& document) {
    const auto type = document.at("type").get<std::string>();
    if (const auto feature = missing_feature(document)) return unknown(document, *feature);
    if (type == "replication") return decode_replication(document);
    if (type == replication_delta_type) return decode_replication_delta(document);
    if (type == state_snapshot_request_type) return StateSnapshotRequest{};
    if (type == "core") return CorePeers{document.at("members").get<std::vector<std::string>>()};
    if (type == "assign") return EndpointListMessage{decode_role_assignments(document)};
    if (type == "zone") return EndpointListMessage{decode_zone_list_update(document)};
    if (type == "zone-unchanged")
        return EndpointListMessage{ZoneListUnchanged{document.at("zone").get<std::string>(),
                                                     document.at("token").get<discovery::FencingToken>()}};
    if (type.starts_with("leases")) return decode_leases_message(type, document);
    return unknown(document, type);
}

SchedulerMessage decode_scheduler_message(const json& document) {
    const auto type = document.at("type").get<std::string>();
    if (const auto feature = missing_feature(document)) return unknown(document, *feature);
    if (type != "lease") return unknown(document, type);
    return decode_renew_lease(document);
}

CoreUpdate decode_core_update(const json& document) {
    const auto type = document.at("type").get<std::string>();
    if (const auto feature = missing_feature(document)) return unknown(document, *feature);
    if (type == hello_reply_type) return decode_hello_reply(document);
    if (type == hello_refusal_type) return decode_hello_refusal(document);
    if (type == "beat") return decode_lease_ack(document);
    if (type == "state") return decode_state_snapshot(document);
    if (type == "state-change") return decode_state_delta(document);
    if (type == "members")
        return MembersSnapshot{document.at("number").get<std::uint64_t>(),
                               document.at("members").get<std::vector<Lease>>()};
    if (type == "members-change")
        return MembersDelta{document.at("number").get<std::uint64_t>(),
                            document.at("changed").get<std::vector<Lease>>(),
                            document.at("gone").get<std::vector<std::string>>()};
    if (type == "zone") return decode_zone_list_update(document);
    return unknown(document, type);
}

} // namespace willowrill::messages
