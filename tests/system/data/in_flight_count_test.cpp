// Requests in flight at a worker are counted down once, whatever became of the worker meanwhile.
#include "system/data/in_flight_count.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>

using namespace willowrill;
using namespace willowrill::data;

namespace {

std::shared_ptr<routing::Workers> one_worker() {
    auto workers = std::make_shared<routing::Workers>();
    (*workers)["w"].instance.id = "w";
    return workers;
}

} // namespace

Test(in_flight_count, counts_while_it_lives) {
    const auto workers = one_worker();
    {
        const InFlightCount first(workers, workers->at("w"));
        const InFlightCount second(workers, workers->at("w"));
        cr_assert_eq(workers->at("w").in_flight, 2U);
    }
    cr_assert_eq(workers->at("w").in_flight, 0U);
}

Test(in_flight_count, passes_over_a_worker_that_has_left) {
    const auto workers = one_worker();
    std::optional<InFlightCount> count;
    count.emplace(workers, workers->at("w"));
    workers->erase("w");
    count.reset();
    cr_assert(workers->empty());
}

Test(in_flight_count, a_worker_that_came_back_counts_anew) {
    const auto workers = one_worker();
    std::optional<InFlightCount> count;
    count.emplace(workers, workers->at("w"));
    workers->erase("w");
    (*workers)["w"].instance.id = "w";
    count.reset();
    cr_assert_eq(workers->at("w").in_flight, 0U);
}

Test(in_flight_count, may_outlive_the_workers) {
    auto workers = one_worker();
    std::optional<InFlightCount> count;
    count.emplace(workers, workers->at("w"));
    workers.reset();
    count.reset();
}
