#include "system/messages/codec.h"

#include "system/discovery/codec.h"
#include "system/membership/codec.h"
#include "system/replication/codec.h"

#include <string_view>

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

json document_of_hello(const char* kind) {
    return {{"type", "hello"}, {"version", transport::protocol_version}, {"kind", kind}};
}

json encode_one(const CoreHello& hello) {
    json out = document_of_hello("core");
    out["member"] = hello.member;
    return out;
}

json encode_one(const SchedulerHello&) { return document_of_hello("scheduler"); }

// ---- Between core members --------------------------------------------------------------------------------

// Is never sent: a member passes on only what it knows.
json encode_one(const UnknownMessage&) { return json::object(); }

json encode_one(const ReplicationEnvelope& envelope) {
    return {{"type", "replication"}, {"message", replication::encode(envelope.message)}};
}

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
    if (document.at("type") != "hello" || document.at("version") != transport::protocol_version)
        return std::nullopt;
    if (document.at("kind") != "core") return Hello{SchedulerHello{}};
    return Hello{CoreHello{document.at("member").get<CoreMember>()}};
}

CoreMessage decode_core_message(const json& document) {
    const auto type = document.at("type").get<std::string>();
    if (type == "replication")
        return ReplicationEnvelope{replication::decode_message(document.at("message"))};
    if (type == "core") return CorePeers{document.at("members").get<std::vector<std::string>>()};
    if (type == "assign") return EndpointListMessage{decode_role_assignments(document)};
    if (type == "zone") return EndpointListMessage{decode_zone_list_update(document)};
    if (type == "zone-unchanged")
        return EndpointListMessage{ZoneListUnchanged{document.at("zone").get<std::string>(),
                                                     document.at("token").get<discovery::FencingToken>()}};
    if (type.starts_with("leases")) return decode_leases_message(type, document);
    return UnknownMessage{};
}

SchedulerMessage decode_scheduler_message(const json& document) {
    if (document.at("type") != "lease") return UnknownMessage{};
    return decode_renew_lease(document);
}

CoreUpdate decode_core_update(const json& document) {
    const auto type = document.at("type").get<std::string>();
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
    return UnknownMessage{};
}

} // namespace willowrill::messages
