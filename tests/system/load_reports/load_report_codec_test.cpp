// Messages between schedulers about load reports: read back as written, and what else may come.
#include "system/load_reports/load_report_codec.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::load_reports;
using nlohmann::json;
using routing::Time;

namespace {

const protocol::Greeting own{{3, 4}, {}};

SubscribeRequest request() { return {own, "model", ReportScope::probed_here, "hall-a", "north"}; }

} // namespace

Test(load_report_codec, a_subscribe_request_is_read_as_written) {
    const auto decoded = decode_subscriber_message(encode(request()), own);
    const auto* read = std::get_if<SubscribeRequest>(&decoded);
    cr_assert(read != nullptr);
    cr_assert(read->greeting.versions == own.versions);
    cr_assert(read->scope == ReportScope::probed_here);
    expect_text(read->service, "model");
    expect_text(read->zone, "hall-a");
    expect_text(read->region, "north");
}

Test(load_report_codec, a_subscriber_need_not_say_where_it_is) {
    json message = encode(request());
    message.erase("zone");
    message.erase("region");
    const auto decoded = decode_subscriber_message(message, own);
    const auto* read = std::get_if<SubscribeRequest>(&decoded);
    cr_assert(read != nullptr);
    cr_assert(read->zone.empty() && read->region.empty());
}

Test(load_report_codec, another_version_is_told_apart_before_anything_else_is_read) {
    for (const json& other : {json(2), json(5), json("3"), json(nullptr)}) {
        const auto decoded = decode_subscriber_message({{"type", "subscribe"}, {"version", other}}, own);
        cr_assert(std::holds_alternative<UnsupportedVersion>(decoded), "%s", other.dump().c_str());
    }
}

Test(load_report_codec, other_types_of_messages_are_left_alone) {
    cr_assert(std::holds_alternative<UnknownMessage>(decode_subscriber_message({{"type", "x"}}, own)));
    cr_assert(std::holds_alternative<UnknownMessage>(decode_publisher_message({{"type", "x"}}, Time(0))));
}

Test(load_report_codec, malformed_subscribe_requests_are_errors) {
    for (const char* field : {"type", "version", "service", "scope"}) {
        json message = encode(request());
        message.erase(field);
        cr_assert_throw(decode_subscriber_message(message, own), json::exception);
    }
}

// The receiver's clock has nothing to do with the sender's: what travels are ages.
Test(load_report_codec, times_of_an_update_are_those_of_the_receiver) {
    LoadReportUpdate update;
    update.service = "model";
    update.reports["i1"].as_of = Time(9750);
    update.unchanged_as_of = Time(9600);
    update.removed = {"i2"};
    update.stale = {"i3"};
    const auto decoded = decode_publisher_message(encode(update, Time(10000)), Time(500));
    const auto* read = std::get_if<LoadReportUpdate>(&decoded);
    cr_assert(read != nullptr);
    cr_assert_eq(read->reports.at("i1").as_of.count(), 250);
    cr_assert_eq(read->unchanged_as_of->count(), 100);
    cr_assert(read->removed == update.removed);
    cr_assert(read->stale == update.stale);
    expect_text(read->service, "model");
}

// A program of version 3 takes a request whose `version` is 3, whatever else it says.
Test(load_report_codec, ranges_of_versions_are_met_both_ways) {
    cr_assert_eq(encode(request()).at("version").get<int>(), 3);
    SubscribeRequest later = request();
    later.greeting.versions = {4, 9};
    const auto decoded = decode_subscriber_message(encode(later), own);
    cr_assert(std::holds_alternative<SubscribeRequest>(decoded));
    const auto refused = decode_subscriber_message(encode(later), protocol::Greeting{{3, 3}, {}});
    const auto* unsupported = std::get_if<UnsupportedVersion>(&refused);
    cr_assert(unsupported != nullptr);
    cr_assert(unsupported->detail.find("4 to 9") != std::string::npos);
}

Test(load_report_codec, a_refusal_is_read_as_written) {
    const auto decoded = decode_publisher_message(encode(SubscribeRefusal{"too old"}), Time(0));
    expect_text(std::get<SubscribeRefusal>(decoded).detail, "too old");
}
