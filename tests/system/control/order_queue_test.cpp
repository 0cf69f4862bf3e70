// The queue of operators' orders.
#include "system/control/order_queue.h"

#include "support/expect.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace willowrill;

namespace {

// Stands for a replica: records what it is asked.
struct FakeReplica {
    std::vector<replication::Event> asked;
    control::OrderQueue queue{[this](replication::Event event) { asked.push_back(std::move(event)); }};
    std::uint64_t last_confirm() const { return std::get<replication::ConfirmLeadership>(asked.back()).id; }
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
    const auto proposed = std::get<replication::Propose>(fake.asked.back());
    cr_assert_eq(configuration::decode(proposed.content).value().version, 2U);
    fake.queue.on(replication::Committed{proposed.id + 1}); // of somebody else
    cr_assert_eq(done, 0);
    fake.queue.on(replication::Committed{proposed.id});
    cr_assert_eq(done, 1);
}

Test(order_queue, an_unknown_outcome_is_not_a_rejection) {
    FakeReplica fake;
    std::vector<errors::ErrorKind> kinds;
    const auto note = [&](const control::OrderResult& result) { kinds.push_back(result.error().kind); };
    fake.queue.submit(configuration::PutConfiguration{0, body}, note);
    fake.queue.submit(configuration::PutConfiguration{0, "{"}, note);
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    cr_assert_eq(kinds.size(), 2U);
    cr_assert_geq(errors::answer_to(kinds[0]).status, 500U);
    cr_assert_eq(errors::answer_to(kinds[1]).status, 400U);
}

Test(order_queue, orders_run_one_after_the_other_and_are_bounded) {
    FakeReplica fake;
    int refused = 0;
    for (std::size_t i = 0; i < control::max_waiting_orders + 3; ++i)
        fake.queue.submit(configuration::Evacuate{"z"},
                          [&](const control::OrderResult& result) { refused += result ? 0 : 1; });
    cr_assert_eq(fake.asked.size(), 1U, "the second waits for the first");
    cr_assert_eq(refused, 2);
}

Test(order_queue, a_read_waits_for_leadership_confirmation) {
    FakeReplica fake;
    configuration::ControlState state;
    state.configuration = body;
    fake.queue.on_state(state, {});
    std::string read;
    fake.queue.read([&](errors::Result<std::string> text) { read = text ? text.value() : "error"; });
    cr_assert(read.empty());
    fake.queue.on(replication::LeadershipConfirmed{fake.last_confirm()});
    expect_text(read.c_str(), body);
    fake.queue.read([&](errors::Result<std::string> text) { read = text ? text.value() : "error"; });
    fake.queue.on(replication::OutcomeUnknown{fake.last_confirm()});
    expect_text(read.c_str(), "error");
}
