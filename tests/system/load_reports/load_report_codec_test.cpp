// Tests the encoding and decoding of the messages about load reports between schedulers.
#include "system/load_reports/load_report_codec.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::load_reports;
using nlohmann::json;
using routing::Time;

namespace {

const protocol::Greeting own_greeting{{3, 4}, {}};

SubscribeRequest make_request() {
    return {own_greeting, "model", ReportScope::probed_here, "hall-a", "north"};
}

} // namespace

Test(load_report_codec, a_subscribe_request_survives_a_round_trip) {
    const auto decoded = decode_subscriber_message(encode(make_request()), own_greeting);
    const auto* decoded_request = std::get_if<SubscribeRequest>(&decoded);
    cr_assert(decoded_request != nullptr);
    cr_assert(decoded_request->greeting.versions == own_greeting.versions);
    cr_assert(decoded_request->scope == ReportScope::probed_here);
    expect_text(decoded_request->service, "model");
    expect_text(decoded_request->zone, "hall-a");
    expect_text(decoded_request->region, "north");
}

Test(load_report_codec, the_location_of_a_subscriber_is_optional) {
    json message = encode(make_request());
    message.erase("zone");
    message.erase("region");
    const auto decoded = decode_subscriber_message(message, own_greeting);
    const auto* decoded_request = std::get_if<SubscribeRequest>(&decoded);
    cr_assert(decoded_request != nullptr);
    cr_assert(decoded_request->zone.empty() && decoded_request->region.empty());
}

Test(load_report_codec, an_unsupported_version_is_detected_before_other_fields_are_decoded) {
    for (const json& version : {json(2), json(5), json("3"), json(nullptr)}) {
        const auto decoded =
            decode_subscriber_message({{"type", "subscribe"}, {"version", version}}, own_greeting);
        cr_assert(std::holds_alternative<UnsupportedVersion>(decoded), "%s", version.dump().c_str());
    }
}

Test(load_report_codec, messages_of_unknown_types_are_reported_as_unknown) {
    cr_assert(
        std::holds_alternative<UnknownMessage>(decode_subscriber_message({{"type", "x"}}, own_greeting)));
    cr_assert(std::holds_alternative<UnknownMessage>(decode_publisher_message({{"type", "x"}}, Time(0))));
}

Test(load_report_codec, malformed_subscribe_requests_throw) {
    for (const char* field : {"type", "version", "service", "scope"}) {
        json message = encode(make_request());
        message.erase(field);
        cr_assert_throw(decode_subscriber_message(message, own_greeting), json::exception);
    }
}

// The clocks of sender and receiver are unrelated, so messages carry ages.
Test(load_report_codec, times_of_an_update_are_converted_to_the_clock_of_the_receiver) {
    LoadReportUpdate update;
    update.service = "model";
    update.reports["i1"].as_of = Time(9750);
    update.unchanged_as_of = Time(9600);
    update.removed = {"i2"};
    update.stale = {"i3"};
    const auto decoded = decode_publisher_message(encode(update, Time(10000)), Time(500));
    const auto* decoded_update = std::get_if<LoadReportUpdate>(&decoded);
    cr_assert(decoded_update != nullptr);
    cr_assert_eq(decoded_update->reports.at("i1").as_of.count(), 250);
    cr_assert_eq(decoded_update->unchanged_as_of->count(), 100);
    cr_assert(decoded_update->removed == update.removed);
    cr_assert(decoded_update->stale == update.stale);
    expect_text(decoded_update->service, "model");
}

// A peer of version 3 accepts a request whose `version` is 3 and ignores other fields about versions.
Test(load_report_codec, version_ranges_are_negotiated) {
    cr_assert_eq(encode(make_request()).at("version").get<int>(), 3);
    SubscribeRequest newer_request = make_request();
    newer_request.greeting.versions = {4, 9};
    const auto decoded = decode_subscriber_message(encode(newer_request), own_greeting);
    cr_assert(std::holds_alternative<SubscribeRequest>(decoded));
    const auto rejected = decode_subscriber_message(encode(newer_request), protocol::Greeting{{3, 3}, {}});
    const auto* unsupported = std::get_if<UnsupportedVersion>(&rejected);
    cr_assert(unsupported != nullptr);
    cr_assert(unsupported->detail.find("4 to 9") != std::string::npos);
}

Test(load_report_codec, a_refusal_survives_a_round_trip) {
    const auto decoded = decode_publisher_message(encode(SubscribeRefusal{"too old"}), Time(0));
    expect_text(std::get<SubscribeRefusal>(decoded).detail, "too old");
}
