// Messages between processes as JSON: what is not known is ignored, and what has the wrong shape throws.
#include "system/messages/codec.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::messages;
using nlohmann::json;

namespace {

json document(const char* text) { return json::parse(text); }

} // namespace

Test(codec, unknown_types_are_no_error) {
    const json unknown = document(R"({"type":"a-later-version"})");
    cr_assert(std::holds_alternative<UnknownMessage>(decode_core_message(unknown)));
    cr_assert(std::holds_alternative<UnknownMessage>(decode_scheduler_message(unknown)));
    cr_assert(std::holds_alternative<UnknownMessage>(decode_core_update(unknown)));
}

Test(codec, a_message_without_a_type_throws) {
    const json untyped = document(R"({"no":"type"})");
    cr_assert_throw(decode_core_message(untyped), json::exception);
    cr_assert_throw(decode_scheduler_message(untyped), json::exception);
    cr_assert_throw(decode_core_update(untyped), json::exception);
    cr_assert_throw(decode_hello(untyped), json::exception);
}

Test(codec, updates_of_the_wrong_shape_throw) {
    for (const char* bad :
         {R"({"type":"state"})", R"({"type":"state-change"})", R"({"type":"members"})", R"({"type":5})",
          R"({"type":"members-change","number":1,"changed":[]})", R"({"type":"zone","list":{}})",
          R"({"type":"beat","renewal":1,"current":"yes","core":[]})",
          R"({"type":"beat","renewal":1,"current":true})",
          R"({"type":"state","position":[1],"version":1,"configuration":"{}","evacuated":[]})"})
        cr_assert_throw(decode_core_update(document(bad)), json::exception, "%s", bad);
}

Test(codec, core_messages_of_the_wrong_shape_throw) {
    for (const char* bad :
         {R"({"type":"replication"})", R"({"type":"core","members":[5]})", R"({"type":"zone"})",
          R"({"type":"zone-unchanged","zone":"z"})", R"({"type":"assign","assignments":[{"zone":"z"}]})",
          R"({"type":"leases-alive"})", R"({"type":"leases-alive","life":1,"number":1,"silent":5})"})
        cr_assert_throw(decode_core_message(document(bad)), json::exception, "%s", bad);
}

Test(codec, a_renewal_of_the_wrong_shape_throws) {
    cr_assert_throw(decode_scheduler_message(document(R"({"type":"lease"})")), json::exception);
    json renewal = encode(SchedulerMessage{RenewLease{}});
    renewal.erase("holds");
    cr_assert_throw(decode_scheduler_message(renewal), json::exception);
}

Test(codec, a_resynchronisation_of_something_unknown_is_left_out) {
    json renewal = encode(SchedulerMessage{RenewLease{}});
    cr_assert_not(renewal.contains("lacks"));
    renewal["lacks"] = {"weather", "state"};
    const auto decoded = std::get<RenewLease>(decode_scheduler_message(renewal));
    cr_assert(decoded.resync == (ResyncRequest{true, false}));
}

Test(codec, of_an_unknown_update_of_leases_the_version_is_read) {
    const auto message = decode_core_message(document(R"({"type":"leases-later","life":4,"number":9})"));
    const auto& update = std::get<UnknownLeasesUpdate>(std::get<LeasesMessage>(message));
    cr_assert(update.version == (LeaseListVersion{4, 9}));
}

Test(codec, a_hello_says_who_dialled) {
    const auto core = decode_hello(encode(CoreHello{{"10.1.0.13:8166", "hall-a", "north"}}));
    cr_assert(std::get<CoreHello>(core.value()).member == (CoreMember{"10.1.0.13:8166", "hall-a", "north"}));
    const auto scheduler = decode_hello(encode(SchedulerHello{}));
    cr_assert(std::holds_alternative<SchedulerHello>(scheduler.value()));
}

Test(codec, a_hello_of_another_version_or_another_message_is_none) {
    json other_version = encode(SchedulerHello{});
    other_version["version"] = transport::protocol_version + 1;
    cr_assert_not(decode_hello(other_version).has_value());
    cr_assert_not(decode_hello(encode(CoreMessage{CorePeers{}})).has_value());
}
