// Load readings told as changes: what listeners come to know, against the readings themselves.
#include "system/load_reports/load_report_delta.h"

#include "support/expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <random>

using namespace willowrill;
using load_reports::LoadReportPublisher;
using load_reports::LoadReportSubscriber;
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

LoadReport reading(int at, std::size_t active) {
    LoadReport out;
    out.as_of = Time(at);
    out.active = active;
    out.cache_total = 1000;
    return out;
}

} // namespace

// Random walks of load at sixty workers, a second listener that comes in the middle.
Test(readings, listeners_are_never_far_from_the_truth_nor_late) {
    std::mt19937_64 random(2);
    Workers home = some_workers(60), near = some_workers(60), later = some_workers(60);
    LoadReportPublisher teller;
    LoadReportSubscriber listener, late_listener;
    for (int at = 0; at < 60'000; at += 200) {
        for (auto& [id, worker] : home) {
            if (random() % 2 == 0) continue;
            const std::size_t before = worker.load_report ? worker.load_report->active : 20;
            worker.take(reading(at, std::min<std::size_t>(capacity, before + random() % 3)));
            if (random() % 8 == 0) worker.take(reading(at + 1, random() % capacity));
        }
        const json message = teller.change(Time(at), "s", views(home));
        if (at == 20'000) late_listener.take(Time(at), teller.whole(Time(at), "s"), later);
        listener.take(Time(at), message, near);
        if (at > 20'000) late_listener.take(Time(at), message, later);
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

// At rest a message says no more than that nothing has changed, and clears what was dispatched before.
Test(readings, at_rest_a_message_is_short_and_still_clears_what_it_shows) {
    Workers home = some_workers(60), near = some_workers(60);
    LoadReportPublisher teller;
    LoadReportSubscriber listener;
    for (int at = 1000; at < 10'000; at += 400) {
        for (auto& [id, worker] : home)
            worker.take(reading(at - 100, 5));
        near.at("i-7").note_dispatch(Time(at - 150), 0.1);
        near.at("i-7").note_dispatch(Time(at - 50), 0.1);
        const json message = teller.change(Time(at), "s", views(home));
        listener.take(Time(at), message, near);
        if (at > 1000) cr_assert_lt(message.dump().size(), 70U);
        cr_assert_eq(near.at("i-7").dispatches.size(), 1U, "at %d", at);
    }
}

// One whose probes are not answered any more does not hold the others back, nor pass for fresh with them.
Test(readings, a_silent_worker_is_not_vouched_for_with_the_rest) {
    Workers home = some_workers(3), near = some_workers(3);
    LoadReportPublisher teller;
    LoadReportSubscriber listener;
    for (int at = 0; at < 4000; at += 200) {
        for (auto& [id, worker] : home)
            if (id != "i-1" || at == 0) worker.take(reading(at, 5));
        listener.take(Time(at), teller.change(Time(at), "s", views(home)), near);
    }
    cr_assert(near.at("i-0").load_report->as_of >= Time(3800));
    cr_assert(near.at("i-1").load_report->as_of <= Time(1000));
    LoadReport dead = *home.at("i-1").load_report;
    dead.as_of = Time(4000);
    dead.answered = false;
    home.at("i-1").take(dead);
    listener.take(Time(4000), teller.change(Time(4000), "s", views(home)), near);
    cr_assert_not(near.at("i-1").load_report->answered);
}

// A reading may come before the list that names its worker; and one of a worker that is gone is forgotten.
Test(readings, of_workers_that_are_not_listed_yet_are_kept_until_they_are_gone) {
    Workers home = some_workers(2), near = some_workers(1);
    LoadReportPublisher teller;
    LoadReportSubscriber listener;
    for (auto& [id, worker] : home)
        worker.take(reading(100, 5));
    listener.take(Time(100), teller.change(Time(100), "s", views(home)), near);
    near = some_workers(2);
    for (auto& [id, worker] : home)
        worker.take(reading(300, 5));
    listener.take(Time(300), teller.change(Time(300), "s", views(home)), near);
    cr_assert(near.at("i-1").load_report && near.at("i-1").load_report->as_of == Time(300));
    home.erase("i-1");
    const json last = teller.change(Time(500), "s", views(home));
    cr_assert(last.at("gone") == json::array({"i-1"}));
    near.at("i-1").load_report.reset();
    listener.take(Time(500), last, near);
    cr_assert_not(near.at("i-1").load_report.has_value());
}

Test(readings, of_the_wrong_shape_change_nothing) {
    Workers near = some_workers(1);
    LoadReportSubscriber listener;
    for (const char* bad : {R"({})", R"({"list":[7]})", R"({"list":[["i-0",1,"many",0,0,0,true]]})",
                            R"({"list":[],"rest_age":"old"})", R"({"list":[],"gone":7})"}) {
        bool thrown = false;
        try {
            listener.take(Time(9), json::parse(bad), near);
        } catch (const json::exception&) {
            thrown = true;
        }
        cr_assert(thrown, "%s", bad);
    }
    cr_assert_not(near.at("i-0").load_report.has_value());
}
