#include "system/replication/codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace willowrill::replication {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Position, epoch, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EpochRecord, epoch, primary, in_sync, witnesses)

// Some JSON keys differ from the member names: the keys are part of the wire format and stay the same for
// versions that run side by side. NOLINTBEGIN(readability-identifier-naming): names required by the library
void to_json(Json& json, const WitnessRegister& value) {
    json = Json{{"promised", value.promised},
                {"accepted", value.accepted},
                {"decided", value.decided},
                {"intact", value.complete}};
}

void from_json(const Json& json, WitnessRegister& value) {
    json.at("promised").get_to(value.promised);
    json.at("accepted").get_to(value.accepted);
    json.at("decided").get_to(value.decided);
    json.at("intact").get_to(value.complete);
}

void to_json(Json& json, const ReplicatedState& state) {
    json = Json{{"position", state.position}, {"content", *state.content}};
}

void from_json(const Json& json, ReplicatedState& state) {
    json.at("position").get_to(state.position);
    state.content = std::make_shared<const std::string>(json.at("content").get<std::string>());
}

void to_json(Json& json, const PrepareRequest& request) {
    json = Json{{"epoch", request.epoch}, {"tentative", request.pre_vote}};
}

void from_json(const Json& json, PrepareRequest& request) {
    json.at("epoch").get_to(request.epoch);
    json.at("tentative").get_to(request.pre_vote);
}

void to_json(Json& json, const PrepareReply& reply) {
    json = Json{{"epoch", reply.epoch},
                {"tentative", reply.pre_vote},
                {"granted", reply.granted},
                {"leaving", reply.shutting_down},
                {"witness_register", reply.witness_register},
                {"position", reply.position}};
}

void from_json(const Json& json, PrepareReply& reply) {
    json.at("epoch").get_to(reply.epoch);
    json.at("tentative").get_to(reply.pre_vote);
    json.at("granted").get_to(reply.granted);
    json.at("leaving").get_to(reply.shutting_down);
    json.at("witness_register").get_to(reply.witness_register);
    json.at("position").get_to(reply.position);
}

void to_json(Json& json, const HeartbeatReply& reply) {
    json = Json{{"number", reply.number},          {"epoch", reply.epoch},    {"promised", reply.promised},
                {"holds", reply.newest_committed}, {"voting", reply.voting},  {"intact", reply.complete},
                {"leaving", reply.shutting_down},  {"sent_at", reply.sent_at}};
}

// The key of the confirmation is left out where there is none, as earlier programs do.
void to_json(Json& json, const RecoveryReply& reply) {
    json =
        Json{{"nonce", reply.nonce}, {"voting", reply.voting}, {"witness_register", reply.witness_register}};
    if (reply.leadership_confirmed) json["leads"] = true;
}

void from_json(const Json& json, RecoveryReply& reply) {
    json.at("nonce").get_to(reply.nonce);
    json.at("voting").get_to(reply.voting);
    json.at("witness_register").get_to(reply.witness_register);
    reply.leadership_confirmed = json.value("leads", false);
}

void from_json(const Json& json, HeartbeatReply& reply) {
    json.at("number").get_to(reply.number);
    json.at("epoch").get_to(reply.epoch);
    json.at("promised").get_to(reply.promised);
    json.at("holds").get_to(reply.newest_committed);
    json.at("voting").get_to(reply.voting);
    json.at("intact").get_to(reply.complete);
    json.at("leaving").get_to(reply.shutting_down);
    json.at("sent_at").get_to(reply.sent_at);
}
// NOLINTEND(readability-identifier-naming)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchRequest, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FetchReply, epoch, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstallRequest, epoch, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(InstallReply, epoch, stored, promised)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptRequest, record)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AcceptReply, epoch, stored, promised)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicateRequest, epoch, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplicateReply, epoch, position, stored, promised)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat, number, record, committed, in_contact, echo)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CommitNotification, epoch, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecoveryRequest, nonce)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeadershipTransfer, epoch)

namespace {

// Type names on the wire, in the order of the alternatives of `Message`.
constexpr std::array<const char*, std::variant_size_v<Message>> message_type_names{
    "promise",   "promise-reply",   "fetch",         "fetch-reply",
    "install",   "install-reply",   "accept",        "accept-reply",
    "replicate", "replicate-reply", "heartbeat",     "heartbeat-reply",
    "learn",     "recover",         "recover-reply", "yield"};

template <std::size_t I>
bool decode_alternative(const std::string& name, const Json& json, Message& message) {
    if (name != message_type_names[I]) return false;
    message = json.get<std::variant_alternative_t<I, Message>>();
    return true;
}

template <std::size_t... I>
bool decode_any(const std::string& name, const Json& json, Message& message,
                std::index_sequence<I...> /*all*/) {
    return (decode_alternative<I>(name, json, message) || ...);
}

} // namespace

Json encode(const Message& message) {
    Json json = std::visit([](const auto& m) { return Json(m); }, message);
    json["type"] = message_type_names[message.index()];
    return json;
}

bool is_known_message_type(const std::string& type) {
    return std::ranges::count(message_type_names, type) > 0;
}

Message decode_message(const Json& json) {
    Message message;
    const auto name = json.at("type").get<std::string>();
    if (!decode_any(name, json, message, std::make_index_sequence<std::variant_size_v<Message>>()))
        throw Json::other_error::create(501, "unknown message type", &json);
    return message;
}

std::string encode_register(const WitnessRegister& value) { return Json(value).dump(); }
WitnessRegister decode_register(const std::string& text) { return Json::parse(text).get<WitnessRegister>(); }

// The position as JSON on the first line, then the unmodified content.
std::string encode_state(const ReplicatedState& value) {
    return Json(value.position).dump() + "\n" + *value.content;
}

ReplicatedState decode_state(const std::string& text) {
    const std::size_t line = text.find('\n');
    if (line == std::string::npos)
        return Json::parse(text).get<ReplicatedState>(); // format of version 1: one JSON object
    return {Json::parse(text.substr(0, line)).get<Position>(),
            std::make_shared<const std::string>(text.substr(line + 1))};
}

} // namespace willowrill::replication
