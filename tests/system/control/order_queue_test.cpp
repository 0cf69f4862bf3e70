// Tests the queue of operators' orders.
#include "system/control/order_queue.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill;

namespace {

// Records the events that the queue passes to the replica.
struct FakeReplica {
    std::vector<replication::Event> events;
    control::OrderQueue queue{[this](replication::Event event) { events.push_back(std::move(event)); }};
    std::uint64_t last_confirm() const { return std::get<replication::ConfirmLeadership>(events.back()).id; }
};

const char* const body = R"({"configVersion":2,"routes":[],"services":[]})";

} // namespace

Test(order_queue, an_order_is_confirmed_then_replicated_then_acknowledged) {
    FakeReplica fake;
    int done = 0;
    fake.queue.submit(configuration::PutConfiguration{0, body}, [&](const control::OrderResult& result) {
        cr_assert(static_cast<bool>(result));
        ++done;
    });
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    cr_assert_eq(done, 0);
    const auto proposed = std::get<replication::Propose>(fake.events.back());
    cr_assert_eq(configuration::decode(proposed.content).value().version, 2U);
    fake.queue.on(replication::Committed{proposed.id + 1}); // belongs to another proposal
    cr_assert_eq(done, 0);
    fake.queue.on(replication::Committed{proposed.id});
    cr_assert_eq(done, 1);
}

Test(order_queue, an_unknown_outcome_is_not_a_rejection) {
    FakeReplica fake;
    std::vector<errors::ErrorKind> kinds;
    const auto record_error = [&](const control::OrderResult& result) {
        kinds.push_back(result.error().kind);
    };
    fake.queue.submit(configuration::PutConfiguration{0, body}, record_error);
    fake.queue.submit(configuration::PutConfiguration{0, "{"}, record_error);
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    cr_assert_eq(kinds.size(), 2U);
    cr_assert_geq(errors::answer_to(kinds[0]).status, 500U);
    cr_assert_eq(errors::answer_to(kinds[1]).status, 400U);
}

Test(order_queue, orders_run_one_at_a_time_and_the_queue_is_bounded) {
    FakeReplica fake;
    int rejected = 0;
    for (std::size_t i = 0; i < control::max_waiting_orders + 3; ++i)
        fake.queue.submit(configuration::Evacuate{"z"},
                          [&](const control::OrderResult& result) { rejected += result ? 0 : 1; });
    cr_assert_eq(fake.events.size(), 1U, "the second waits for the first");
    cr_assert_eq(rejected, 2);
}

Test(order_queue, a_read_waits_for_leadership_confirmation) {
    FakeReplica fake;
    configuration::ControlState state;
    state.configuration = body;
    fake.queue.on_state(state, {});
    std::string received;
    fake.queue.read([&](errors::Result<std::string> text) { received = text ? text.value() : "error"; });
    cr_assert(received.empty());
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    expect_text(received.c_str(), body);
    fake.queue.read([&](errors::Result<std::string> text) { received = text ? text.value() : "error"; });
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    expect_text(received.c_str(), "error");
}
