// Load reports from a publisher to its subscribers: what subscribers come to know, against the reports
// themselves.
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

Workers some_workers(int count) {
    Workers out;
    for (int i = 0; i < count; ++i) {
        Worker& worker = out[fmt::format("i-{}", i)];
        worker.instance.id = fmt::format("i-{}", i);
        worker.instance.capacity = capacity;
    }
    return out;
}

std::map<std::string, const Worker*> views(const Workers& workers) {
    std::map<std::string, const Worker*> out;
    for (const auto& [id, worker] : workers)
        out[id] = &worker;
    return out;
}

LoadReport report(int at, std::size_t active) {
    LoadReport out;
    out.as_of = Time(at);
    out.active = active;
    out.cache_total = 1000;
    return out;
}

} // namespace

// Random walks of load at sixty workers, a second subscriber that subscribes in the middle.
Test(load_report_feed, subscribers_stay_within_the_published_difference) {
    std::mt19937_64 random(2);
    Workers home = some_workers(60), near = some_workers(60), later = some_workers(60);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber, late_subscriber;
    for (int at = 0; at < 60'000; at += 200) {
        for (auto& [id, worker] : home) {
            if (random() % 2 == 0) continue;
            const std::size_t before = worker.load_report ? worker.load_report->active : 20;
            worker.apply_report(report(at, std::min<std::size_t>(capacity, before + random() % 3)));
            if (random() % 8 == 0) worker.apply_report(report(at + 1, random() % capacity));
        }
        const LoadReportUpdate update = publisher.delta(Time(at), "s", views(home));
        if (at == 20'000) late_subscriber.apply(publisher.snapshot("s"), later);
        subscriber.apply(update, near);
        if (at > 20'000) late_subscriber.apply(update, later);
        for (const auto& [id, worker] : home) {
            if (!worker.load_report) continue;
            const LoadReport& truth = *worker.load_report;
            cr_assert(near.at(id).load_report.has_value());
            const LoadReport& known = *near.at(id).load_report;
            cr_assert_not(load_reports::differs_materially(known, truth, capacity), "%s at %d", id.c_str(),
                          at);
            cr_assert(known.as_of <= truth.as_of || truth.as_of < Time(at) - Time(1000));
            if (at > 20'000) cr_assert_eq(later.at(id).load_report->active, known.active);
        }
    }
}

// While nothing differs an update only confirms, and clears what was dispatched before.
Test(load_report_feed, an_update_without_differences_is_short_and_clears_older_dispatches) {
    Workers home = some_workers(60), near = some_workers(60);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (int at = 1000; at < 10'000; at += 400) {
        for (auto& [id, worker] : home)
            worker.apply_report(report(at - 100, 5));
        near.at("i-7").record_dispatch(Time(at - 150), 0.1);
        near.at("i-7").record_dispatch(Time(at - 50), 0.1);
        const LoadReportUpdate update = publisher.delta(Time(at), "s", views(home));
        subscriber.apply(update, near);
        if (at > 1000) cr_assert_lt(encode(update, Time(at)).dump().size(), 70U);
        cr_assert_eq(near.at("i-7").dispatches.size(), 1U, "at %d", at);
    }
}

// A worker whose probes are not answered any more neither ages the others nor passes for fresh with them.
Test(load_report_feed, a_silent_worker_is_not_confirmed_with_the_others) {
    Workers home = some_workers(3), near = some_workers(3);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (int at = 0; at < 4000; at += 200) {
        for (auto& [id, worker] : home)
            if (id != "i-1" || at == 0) worker.apply_report(report(at, 5));
        subscriber.apply(publisher.delta(Time(at), "s", views(home)), near);
    }
    cr_assert(near.at("i-0").load_report->as_of >= Time(3800));
    cr_assert(near.at("i-1").load_report->as_of <= Time(1000));
    LoadReport dead = *home.at("i-1").load_report;
    dead.as_of = Time(4000);
    dead.responsive = false;
    home.at("i-1").apply_report(dead);
    subscriber.apply(publisher.delta(Time(4000), "s", views(home)), near);
    cr_assert_not(near.at("i-1").load_report->responsive);
}

// A report may come before the list that names its worker; that of a removed worker is forgotten.
Test(load_report_feed, reports_of_unlisted_workers_are_kept_until_removed) {
    Workers home = some_workers(2), near = some_workers(1);
    LoadReportPublisher publisher;
    LoadReportSubscriber subscriber;
    for (auto& [id, worker] : home)
        worker.apply_report(report(100, 5));
    subscriber.apply(publisher.delta(Time(100), "s", views(home)), near);
    near = some_workers(2);
    for (auto& [id, worker] : home)
        worker.apply_report(report(300, 5));
    subscriber.apply(publisher.delta(Time(300), "s", views(home)), near);
    cr_assert(near.at("i-1").load_report && near.at("i-1").load_report->as_of == Time(300));
    home.erase("i-1");
    const LoadReportUpdate last = publisher.delta(Time(500), "s", views(home));
    cr_assert(encode(last, Time(500)).at("gone") == json::array({"i-1"}));
    near.at("i-1").load_report.reset();
    subscriber.apply(last, near);
    cr_assert_not(near.at("i-1").load_report.has_value());
}

Test(load_report_feed, malformed_updates_change_nothing) {
    Workers near = some_workers(1);
    LoadReportSubscriber subscriber;
    for (const char* bad : {R"({})", R"({"list":[7]})", R"({"list":[["i-0",1,"many",0,0,0,true]]})",
                            R"({"list":[],"rest_age":"old"})", R"({"list":[],"gone":7})"}) {
        json message = json::parse(bad);
        message["type"] = "readings";
        bool thrown = false;
        try {
            subscriber.apply(
                std::get<LoadReportUpdate>(load_reports::decode_publisher_message(message, Time(9))), near);
        } catch (const json::exception&) {
            thrown = true;
        }
        cr_assert(thrown, "%s", bad);
    }
    cr_assert_not(near.at("i-0").load_report.has_value());
}
