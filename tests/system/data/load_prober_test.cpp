// Probes of workers: whom they go to, and what a listed address that makes no sense does.
#include "system/data/load_prober.h"

#include "data/load_report_scene.h"

#include <criterion/criterion.h>

using namespace willowrill;
using namespace willowrill::data;

namespace {

struct ProberScene : LoadReportScene {
    explicit ProberScene(asio::io_context& loop) : LoadReportScene(loop, "n1"), prober(context, assignment) {
        assignment.set_members({scheduler_lease("n1", "hall-a", "north", 1)});
        assignment.add_home_service(service_name);
    }
    LoadProber prober;
};

} // namespace

Test(load_prober, a_worker_is_not_probed_again_before_its_period_is_over) {
    asio::io_context loop;
    ProberScene scene(loop);
    scene.add_worker("i1", "hall-a", "127.0.0.1:1");
    scene.add_worker("i2", "hall-a", "127.0.0.1:1");
    scene.prober.probe_due_workers();
    cr_assert_eq(scene.prober.probes_sent(), 2U);
    scene.prober.probe_due_workers();
    cr_assert_eq(scene.prober.probes_sent(), 2U);
}

Test(load_prober, a_single_unanswered_probe_is_no_report) {
    asio::io_context loop;
    ProberScene scene(loop);
    const routing::Worker& worker = scene.add_worker("i1", "hall-a", "127.0.0.1:1");
    scene.prober.probe_due_workers();
    while (loop.run_one_for(std::chrono::seconds(1)) > 0) {
    }
    cr_assert_eq(scene.prober.probes_sent(), 1U);
    cr_assert_not(worker.load_report.has_value());
}

// By reading: before the prober was a class of its own, removing such a worker called close() on a null
// client.
Test(load_prober, a_worker_without_a_valid_address_is_not_probed_and_can_be_removed) {
    asio::io_context loop;
    ProberScene scene(loop);
    scene.add_worker("i1", "hall-a", "nowhere");
    scene.prober.probe_due_workers();
    scene.context.workers.clear();
    scene.prober.probe_due_workers();
    cr_assert_eq(scene.prober.probes_sent(), 0U);
}
