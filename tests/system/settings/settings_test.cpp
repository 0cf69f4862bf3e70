// The platform's settings file.
#include "system/settings/settings.h"

#include "support/expect.h"

#include <criterion/criterion.h>

using namespace willowrill::settings;

namespace {

const char* const least = R"({"nodeName":"n","zone":"z","ipAddress":"10.0.0.1","internalPorts":[7720,7735])";

} // namespace

Test(settings, a_machine_without_a_disk_and_fields_of_later_days) {
    const auto read =
        parse(std::string(least) + R"(,"dataPath":null,"endpoints":{"front":"10.0.0.1:80","control":null},
        "seedNodes":["10.0.0.1:90","nonsense"],"zones":{"z":"r"},
        "timers":{"graceS":8,"retrySlack":62,"coldExcess":1.5},
        "platformApi":null,"later":{"x":1}})");
    cr_assert(static_cast<bool>(read));
    cr_assert(read.value().data_path.empty());
    cr_assert_eq(read.value().front.port, 80);
    cr_assert_eq(read.value().control.port, 0);
    cr_assert_eq(read.value().seeds.size(), 1U);
    cr_assert_eq(read.value().timers.grace.count(), 8000);
    cr_assert_float_eq(read.value().timers.retry_slack, 62, 1e-9);
    expect_text(read.value().region_of("z").c_str(), "r");
    expect_text(read.value().region_of("other").c_str(), "other");
    cr_assert_eq(read.value().tolerated_members, 1U);
}

Test(settings, what_is_missing_or_of_the_wrong_type_is_an_error) {
    using willowrill::errors::ErrorKind;
    for (const char* bad : {"", "{}", "[]", R"({"nodeName":5})"}) {
        const auto read = parse(bad);
        cr_assert_not(static_cast<bool>(read), "%s", bad);
        cr_assert(read.error().kind == ErrorKind::bad_settings);
    }
    cr_assert_not(static_cast<bool>(parse(std::string(least) + R"(,"initialStart":"yes"})")));
    cr_assert_not(static_cast<bool>(load("/nonexistent")));
}

Test(endpoints, are_host_and_port) {
    cr_assert_eq(parse_endpoint("10.0.0.1:80").value().port, 80);
    expect_text(to_text(parse_endpoint("10.0.0.1:80").value()).c_str(), "10.0.0.1:80");
    for (const char* bad :
         {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:80x", "10.0.0.1:70000"})
        cr_assert_not(static_cast<bool>(parse_endpoint(bad)), "%s", bad);
}
