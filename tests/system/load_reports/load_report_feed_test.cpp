// Tests that subscribers of a load report publisher know the published reports.
#include "system/load_reports/load_report_codec.h"
#include "system/load_reports/load_report_publisher.h"
#include "system/load_reports/load_report_subscriber.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <random>

using namespace willowrill;
using load_reports::LoadReportPublisher;
using load_reports::LoadReportSubscriber;
using load_reports::LoadReportUpdate;
using nlohmann::json;
using routing::LoadReport;
using routing::Time;
using routing::Worker;
using routing::Workers;

namespace {

constexpr std::size_t capacity = 128;

Workers make_workers(int count) {
    Workers workers;
    for (int i = 0; i < count; ++i) {
        Worker& worker = workers[fmt::format("i-{}", i)];
        worker.instance.id = fmt::format("i-{}", i);
        worker.instance.capacity = capacity;
    }
    return workers;
}

std::map<std::string, const Worker*> worker_pointers(const Workers& workers) {
    std::map<std::string, const Worker*> pointers;
    for (const auto& [id, worker] : workers)
        pointers[id] = &worker;
    return pointers;
}

LoadReport make_report(int as_of_ms, std::size_t active) {
    LoadReport report;
    report.as_of = Time(as_of_ms);
    report.active = active;
    report.cache_total = 1000;
    return report;
}

} // namespace

// The load of sixty workers follows random walks. A second subscriber joins after 20 s.
Test(load_report_feed, subscribers_know_every_material_difference) {
    std::mt19937_64 random(2);
    Workers publisher_workers = make_workers(60), subscriber_workers = make_workers(60),
            late_subscriber_workers = make_workers(60);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber, late_subscriber;
    for (int now_ms = 0; now_ms < 60'000; now_ms += 200) {
        for (auto& [id, worker] : publisher_workers) {
            if (random() % 2 == 0) continue;
            const std::size_t previous_active = worker.load_report ? worker.load_report->active : 20;
            worker.apply_report(
                make_report(now_ms, std::min<std::size_t>(capacity, previous_active + random() % 3)));
            if (random() % 8 == 0) worker.apply_report(make_report(now_ms + 1, random() % capacity));
        }
        const LoadReportUpdate update =
            publisher.delta(Time(now_ms), "s", worker_pointers(publisher_workers));
        if (now_ms == 20'000) late_subscriber.apply(publisher.snapshot("s"), late_subscriber_workers);
        subscriber.apply(update, subscriber_workers);
        if (now_ms > 20'000) late_subscriber.apply(update, late_subscriber_workers);
        for (const auto& [id, worker] : publisher_workers) {
            if (!worker.load_report) continue;
            const LoadReport& current = *worker.load_report;
            cr_assert(subscriber_workers.at(id).load_report.has_value());
            const LoadReport& received = *subscriber_workers.at(id).load_report;
            cr_assert_not(load_reports::differs_materially(received, current, capacity), "%s at %d",
                          id.c_str(), now_ms);
            cr_assert(received.as_of <= current.as_of || current.as_of < Time(now_ms) - Time(1000));
            if (now_ms > 20'000)
                cr_assert_eq(late_subscriber_workers.at(id).load_report->active, received.active);
        }
    }
}

// Without material differences an update only confirms the reports, which clears the dispatches before it.
Test(load_report_feed, an_update_without_differences_is_small_and_clears_older_dispatches) {
    Workers publisher_workers = make_workers(60), subscriber_workers = make_workers(60);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (int now_ms = 1000; now_ms < 10'000; now_ms += 400) {
        for (auto& [id, worker] : publisher_workers)
            worker.apply_report(make_report(now_ms - 100, 5));
        subscriber_workers.at("i-7").record_dispatch(Time(now_ms - 150), 0.1);
        subscriber_workers.at("i-7").record_dispatch(Time(now_ms - 50), 0.1);
        const LoadReportUpdate update =
            publisher.delta(Time(now_ms), "s", worker_pointers(publisher_workers));
        subscriber.apply(update, subscriber_workers);
        if (now_ms > 1000) cr_assert_lt(encode(update, Time(now_ms)).dump().size(), 70U);
        cr_assert_eq(subscriber_workers.at("i-7").dispatches.size(), 1U, "at %d", now_ms);
    }
}

// A worker that stops answering probes must not make the reports of the others look old, nor appear as recent
// as they are.
Test(load_report_feed, an_unresponsive_worker_is_not_confirmed_with_the_others) {
    Workers publisher_workers = make_workers(3), subscriber_workers = make_workers(3);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (int now_ms = 0; now_ms < 4000; now_ms += 200) {
        for (auto& [id, worker] : publisher_workers)
            if (id != "i-1" || now_ms == 0) worker.apply_report(make_report(now_ms, 5));
        subscriber.apply(publisher.delta(Time(now_ms), "s", worker_pointers(publisher_workers)),
                         subscriber_workers);
    }
    cr_assert(subscriber_workers.at("i-0").load_report->as_of >= Time(3800));
    cr_assert(subscriber_workers.at("i-1").load_report->as_of <= Time(1000));
    LoadReport unresponsive_report = *publisher_workers.at("i-1").load_report;
    unresponsive_report.as_of = Time(4000);
    unresponsive_report.responsive = false;
    publisher_workers.at("i-1").apply_report(unresponsive_report);
    subscriber.apply(publisher.delta(Time(4000), "s", worker_pointers(publisher_workers)),
                     subscriber_workers);
    cr_assert_not(subscriber_workers.at("i-1").load_report->responsive);
}

// A report may arrive before the instance list that contains its worker. The report of a removed worker is
// discarded.
Test(load_report_feed, reports_of_unlisted_workers_are_kept_until_removed) {
    Workers publisher_workers = make_workers(2), subscriber_workers = make_workers(1);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (auto& [id, worker] : publisher_workers)
        worker.apply_report(make_report(100, 5));
    subscriber.apply(publisher.delta(Time(100), "s", worker_pointers(publisher_workers)), subscriber_workers);
    subscriber_workers = make_workers(2);
    for (auto& [id, worker] : publisher_workers)
        worker.apply_report(make_report(300, 5));
    subscriber.apply(publisher.delta(Time(300), "s", worker_pointers(publisher_workers)), subscriber_workers);
    cr_assert(subscriber_workers.at("i-1").load_report &&
              subscriber_workers.at("i-1").load_report->as_of == Time(300));
    publisher_workers.erase("i-1");
    const LoadReportUpdate update = publisher.delta(Time(500), "s", worker_pointers(publisher_workers));
    cr_assert(encode(update, Time(500)).at("gone") == json::array({"i-1"}));
    subscriber_workers.at("i-1").load_report.reset();
    subscriber.apply(update, subscriber_workers);
    cr_assert_not(subscriber_workers.at("i-1").load_report.has_value());
}

Test(load_report_feed, malformed_updates_change_nothing) {
    Workers subscriber_workers = make_workers(1);
    LoadReportSubscriber subscriber;
    for (const char* body : {R"({})", R"({"list":[7]})", R"({"list":[["i-0",1,"many",0,0,0,true]]})",
                             R"({"list":[],"rest_age":"old"})", R"({"list":[],"gone":7})"}) {
        json message = json::parse(body);
        message["type"] = "readings";
        bool thrown = false;
        try {
            subscriber.apply(
                std::get<LoadReportUpdate>(load_reports::decode_publisher_message(message, Time(9))),
                subscriber_workers);
        } catch (const json::exception&) {
            thrown = true;
        }
        cr_assert(thrown, "%s", body);
    }
    cr_assert_not(subscriber_workers.at("i-0").load_report.has_value());
}
