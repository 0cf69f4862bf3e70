// Tests the parsing of a worker's response to a load probe.
#include "system/load_reports/worker_report.h"

#include <criterion/criterion.h>

using namespace willowrill;
using load_reports::parse_worker_report;
using routing::Time;

Test(worker_report, a_complete_report_is_parsed) {
    const auto report = parse_worker_report(
        R"({"active":3,"queued":2,"cacheUsed":700,"cacheTotal":1000,"model":"m"})", Time(500));
    cr_assert(report.has_value());
    cr_assert_eq(report->as_of.count(), 500);
    cr_assert_eq(report->active, 3U);
    cr_assert_eq(report->queued, 2U);
    cr_assert_eq(report->cache_used, 700U);
    cr_assert_eq(report->cache_total, 1000U);
    cr_assert(report->responsive);
}

Test(worker_report, a_report_without_cache_fields_has_no_cache) {
    const auto report = parse_worker_report(R"({"active":3,"queued":0})", Time(500));
    cr_assert(report.has_value());
    cr_assert_eq(report->cache_used, 0U);
    cr_assert_eq(report->cache_total, 0U);
}

Test(worker_report, a_malformed_body_is_rejected) {
    for (const char* body : {"", "busy", "7", "[]", "{}", R"({"active":3})", R"({"queued":3})",
                             R"({"active":"many","queued":0})", R"({"active":3,"queued":0)",
                             R"({"active":3,"queued":0,"cacheUsed":"all"})"})
        cr_assert_not(parse_worker_report(body, Time(500)).has_value(), "%s", body);
}
