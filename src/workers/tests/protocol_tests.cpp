#include <criterion/criterion.h>

#include "fakes/worker_model.h"

namespace {

using namespace chervilslip;
using common::milliseconds;
using requests::reply_kind;

const requests::attempt_id attempt{"task", 2, "vm-1", "e1"};

workers::start_order order_of(const std::string& task, int number, const std::string& node = "a",
                              std::int64_t incarnation = 1)
{
    workers::start_order order;
    order.attempt = {task, number, "vm-1", "e1"};
    order.node = node;
    order.incarnation = incarnation;
    order.need = {1, 1, 0, 1};
    order.body = "body";
    return order;
}

struct fixture {
    fakes::worker_model worker{"vm-1", {8, 1024, 0, 2}};
    common::steady_time now{std::chrono::hours(1)};

    reply_kind start(const workers::start_order& order)
    {
        return this->worker.start(order, {milliseconds(100), false}, this->now).kind;
    }
};

Test(protocol, reply_to_another_attempt_is_never_taken)
{
    // given a whole and valid reply
    const std::string text =
        workers::to_json(attempt, {reply_kind::finished, true, "output", milliseconds(5)}).dump();
    auto other = attempt;
    other.number = 3;

    // when / then
    cr_assert(workers::parse_task_reply(text, attempt).value().output == "output");
    cr_assert_not(workers::parse_task_reply(text, other).has_value());
}

Test(protocol, reply_cut_short_at_any_byte_is_an_error)
{
    // given
    const std::string text =
        workers::to_json(attempt, {reply_kind::finished, true, "output", milliseconds(5)}).dump();

    for (std::size_t size = 0; size < text.size(); ++size) {
        // when / then
        cr_assert_not(workers::parse_task_reply(text.substr(0, size), attempt).has_value());
    }
}

Test(protocol, start_order_and_usage_come_back_as_they_were)
{
    // given
    const auto order = order_of("t", 1);
    workers::usage_snapshot usage{"e1", 4, true, {}};
    usage.tasks.push_back({"t", "r", 1, "a", "red", {1, 2, 3, 4}, milliseconds(900)});

    // when / then
    cr_assert(workers::parse_start_order(workers::to_json(order).dump(), "p").value() == order);
    cr_assert(workers::parse_usage(workers::to_json(usage).dump(), "p").value() == usage);
}

Test(worker_model, refusal_is_final_for_its_attempt)
{
    // given a full worker that refuses
    fixture each;
    each.start(order_of("t1", 1));
    each.start(order_of("t2", 1));
    cr_assert(each.start(order_of("t3", 1)) == reply_kind::full);

    // when it has room again, and a copy of the refused start arrives late
    each.now += milliseconds(200);

    // then
    cr_assert(each.start(order_of("t3", 1)) == reply_kind::not_started);
    cr_assert(each.start(order_of("t3", 2)) == reply_kind::running);
}

Test(worker_model, query_of_an_unknown_attempt_keeps_it_from_starting)
{
    // given
    fixture each;
    const auto asked = each.worker.query({"t", 1, "vm-1", "e1"}, milliseconds(100), each.now);

    // when / then
    cr_assert(asked.kind == reply_kind::not_started);
    cr_assert(each.start(order_of("t", 1)) == reply_kind::not_started);
}

Test(worker_model, start_of_an_earlier_incarnation_is_fenced_off)
{
    // given a node that has started anew and asked for the use
    fixture each;
    each.worker.usage("a", 5, each.now);

    // when / then
    cr_assert(each.start(order_of("t1", 1, "a", 4)) == reply_kind::not_started);
    cr_assert(each.start(order_of("t2", 1, "a", 5)) == reply_kind::running);
}

Test(worker_model, claimed_task_starts_for_its_claimant_alone)
{
    // given two nodes that claim the same task, the later incarnation last
    fixture each;
    cr_assert(each.worker.claim("t", "a", 1, each.now).kind == requests::claim_kind::free);
    cr_assert(each.worker.claim("t", "b", 2, each.now).kind == requests::claim_kind::free);

    // when / then: the refusal is final for attempt 1, whoever sends it
    cr_assert(each.start(order_of("t", 1, "a", 1)) == reply_kind::claimed);
    cr_assert(each.start(order_of("t", 1, "b", 2)) == reply_kind::not_started);
    cr_assert(each.start(order_of("t", 2, "b", 2)) == reply_kind::running);
    cr_assert(each.worker.claim("t", "c", 1, each.now).kind == requests::claim_kind::running);
}

Test(worker_model, task_without_renewal_stops_when_its_lease_is_over)
{
    // given a task longer than its lease
    fixture each;
    auto order = order_of("t", 1);
    order.lease = milliseconds(50);
    each.start(order);

    // when
    each.now += milliseconds(60);
    const auto asked = each.worker.query(order.attempt, milliseconds(50), each.now);

    // then
    cr_assert(asked.kind == reply_kind::finished && !asked.succeeded);
}

Test(worker_model, restarted_worker_says_that_it_has_forgotten)
{
    // given
    fixture each;
    each.start(order_of("t", 1));

    // when
    each.worker.reboot(each.now);
    const auto known = each.worker.claim("t", "b", 1, each.now + milliseconds(10));
    const auto meaning = workers::claim_for_node(known, "t", "vm-1", std::chrono::minutes(15));

    // then
    cr_assert(meaning.kind == requests::claim_kind::inconclusive);
    cr_assert(each.start(order_of("t", 1)) == reply_kind::epoch_changed);
}

} // namespace
