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
    const auto core = decode_hello(encode(CoreHello{{"10.1.0.13:8166", "hall-a", "north"}, {}}));
    cr_assert(std::get<CoreHello>(core.value()).member == (CoreMember{"10.1.0.13:8166", "hall-a", "north"}));
    const auto scheduler = decode_hello(encode(SchedulerHello{}));
    cr_assert(std::holds_alternative<SchedulerHello>(scheduler.value()));
}

// Who speaks another version is not refused here: it is to be told so by name (connection_acceptor_test.cpp).
Test(codec, a_hello_of_another_version_is_read_as_far_as_its_range) {
    const auto later =
        decode_hello(document(R"({"type":"hello","version":97,"max_version":99,"kind":"core"})"));
    cr_assert(std::get<CoreHello>(later.value()).greeting.versions == (protocol::VersionRange{97, 99}));
    cr_assert_not(decode_hello(encode(CoreMessage{CorePeers{}})).has_value());
}

Test(codec, a_greeting_names_a_range_and_features) {
    const protocol::Greeting greeting{{3, 7}, {"one", "two"}};
    const json hello = encode(Hello{SchedulerHello{greeting}});
    cr_assert_eq(hello.at("version").get<int>(), 3); // what programs of version 3 go by
    cr_assert(std::get<SchedulerHello>(decode_hello(hello).value()).greeting == greeting);
    const auto reply = decode_core_update(encode(HelloReply{greeting}));
    cr_assert(std::get<HelloReply>(reply).greeting == greeting);
    const auto refusal = decode_dial_reply(encode(HelloRefusal{{4, 5}, "too old"}));
    cr_assert(std::get<HelloRefusal>(refusal).versions == (protocol::VersionRange{4, 5}));
    expect_text(std::get<HelloRefusal>(refusal).detail, "too old");
}

Test(codec, a_greeting_of_one_version_is_written_as_ever) {
    const json hello = encode(Hello{SchedulerHello{protocol::Greeting{}}});
    expect_text(hello.dump(), R"({"kind":"scheduler","type":"hello","version":3})");
}

Test(codec, a_range_that_is_none_throws) {
    for (const char* bad :
         {R"({"type":"hello","kind":"core","version":4,"max_version":3})",
          R"({"type":"hello","kind":"core","version":0})", R"({"type":"hello","kind":"core","version":"3"})"})
        cr_assert_throw(decode_hello(document(bad)), json::exception, "%s", bad);
}

Test(codec, what_needs_a_feature_that_is_not_had_is_unknown) {
    json message = encode(CoreMessage{CorePeers{{"a:1"}}});
    message["needs"] = {"cluster-version"};
    cr_assert(std::holds_alternative<CorePeers>(decode_core_message(message)));
    message["needs"] = {"cluster-version", "telepathy"};
    const auto unknown = std::get<UnknownMessage>(decode_core_message(message));
    expect_text(unknown.type, "telepathy");
    cr_assert_not(unknown.optional);
    message["optional"] = true;
    cr_assert(std::get<UnknownMessage>(decode_core_message(message)).optional);
}

Test(codec, an_unknown_message_of_replication_is_no_error) {
    const json message = document(R"({"type":"replication","message":{"type":"later"},"optional":true})");
    const auto unknown = std::get<UnknownMessage>(decode_core_message(message));
    expect_text(unknown.type, "replication/later");
    cr_assert(unknown.optional);
}

Test(codec, a_lease_says_which_versions_its_holder_speaks) {
    RenewLease renewal;
    cr_assert_not(encode(SchedulerMessage{renewal}).at("lease").contains("versions"));
    renewal.lease.versions = {3, 4};
    const json encoded = encode(SchedulerMessage{renewal});
    const auto decoded = std::get<RenewLease>(decode_scheduler_message(encoded));
    cr_assert(decoded.lease.versions == renewal.lease.versions);
}
