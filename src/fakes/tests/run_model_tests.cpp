#include <criterion/criterion.h>

#include "fakes/run_model.h"

namespace {

using namespace chervilslip;
using scheduling::command_outcome;
using scheduling::end_cause;

const scheduling::worker_instance instance{"w1", 1};
const jobs::task_id task{"j1", 0, 0, 0};

fakes::run_model make_worker(fakes::run_hooks hooks = {})
{
    scheduling::worker_entry entry;
    entry.instance = instance;
    entry.capacity = {1000, 1000, 0, 0};
    fakes::run_model_options wanted;
    wanted.guards_capacity = true;
    return fakes::run_model(entry, wanted, std::move(hooks));
}

fakes::run_request request(std::int64_t run, std::int64_t deadline_ms = 1000)
{
    return {task, run, deadline_ms, {600, 100, 0, 0}, {}, false};
}

Test(run_model, refuses_an_older_owner)
{
    // given
    auto worker = make_worker();
    worker.poll(instance, 5, 0, {}, 0);

    // when, then
    cr_assert(worker.start(instance, 4, request(1), 0) == command_outcome::fenced);
    cr_assert(worker.start(instance, 5, request(1), 0) == command_outcome::accepted);
}

Test(run_model, refuses_a_late_start_and_one_for_another_life)
{
    // given
    auto worker = make_worker();

    // when, then
    cr_assert(worker.start(instance, 1, request(1, 10), 11) == command_outcome::too_late);
    cr_assert(worker.start({"w1", 2}, 1, request(1), 0) == command_outcome::other_instance);
}

Test(run_model, a_stop_that_comes_first_refuses_its_start)
{
    // given
    auto worker = make_worker();
    worker.stop(instance, 1, task, 3);

    // when, then
    cr_assert(worker.start(instance, 1, request(3), 0) == command_outcome::stale_run);
    cr_assert(worker.start(instance, 1, request(4), 0) == command_outcome::accepted);
}

Test(run_model, a_start_that_is_repeated_is_the_same_run)
{
    // given
    int begun = 0;
    fakes::run_hooks hooks;
    hooks.on_start = [&begun](const fakes::run_model&, fakes::run_request&) {
        ++begun;
    };
    auto worker = make_worker(hooks);
    worker.start(instance, 1, request(1), 0);

    // when
    const command_outcome again = worker.start(instance, 1, request(1), 1);

    // then
    cr_assert(again == command_outcome::accepted);
    cr_assert(begun == 1);
}

Test(run_model, keeps_to_its_capacity)
{
    // given
    auto worker = make_worker();
    worker.start(instance, 1, request(1), 0);
    fakes::run_request other = request(1);
    other.task.index = 1;

    // when, then
    cr_assert(worker.start(instance, 1, other, 0) == command_outcome::no_capacity);
}

Test(run_model, what_has_no_lease_lapses)
{
    // given
    auto worker = make_worker();
    worker.start(instance, 1, request(1, 1000), 0);
    worker.poll(instance, 1, 0, 2000, 500);

    // when, then
    worker.settle(1900);
    cr_assert(worker.runs().size() == 1);
    worker.settle(2001);
    cr_assert(worker.runs().empty());
    cr_assert(worker.report(2001).finished.at(0).cause == end_cause::lapsed);
}

Test(run_model, a_stop_takes_its_time_and_keeps_the_room)
{
    // given
    scheduling::worker_entry entry;
    entry.instance = instance;
    entry.capacity = {1000, 1000, 0, 0};
    fakes::run_model worker(entry, {.guards_capacity = true, .stop_ms = 300}, {});
    worker.start(instance, 1, request(1, 5000), 0);
    fakes::run_request other = request(1, 5000);
    other.task.index = 1;

    // when
    worker.settle(100);
    worker.stop(instance, 1, task, 1);
    worker.settle(399);

    // then
    cr_assert(worker.start(instance, 1, other, 399) == command_outcome::no_capacity);
    worker.settle(400);
    cr_assert(worker.report(400).finished.at(0).cause == end_cause::stopped);
    cr_assert(worker.start(instance, 1, other, 400) == command_outcome::accepted);
}

Test(run_model, a_run_lists_its_checkpoint_once_it_is_saved)
{
    // given
    auto worker = make_worker();
    fakes::run_request resumed = request(2, 5000);
    resumed.checkpoint = "of run 1";
    resumed.next_checkpoint = "of run 2";
    resumed.saves = 100;
    worker.start(instance, 1, resumed, 0);

    // when, then
    worker.settle(99);
    cr_assert(worker.report(99).running.at(0).checkpoint == "of run 1");
    worker.settle(100);
    cr_assert(worker.report(100).running.at(0).checkpoint == "of run 2");
    worker.stop(instance, 1, task, 2);
    cr_assert(worker.report(100).finished.at(0).checkpoint == "of run 2");
}

Test(run_model, ends_are_listed_until_they_are_noted)
{
    // given
    std::vector<jobs::task_id> noted;
    fakes::run_hooks hooks;
    hooks.on_noted = [&noted](const scheduling::finished_run& row, bool) {
        noted.push_back(row.task);
    };
    auto worker = make_worker(hooks);
    fakes::run_request short_run = request(1, 5000);
    short_run.ends = 100;
    worker.start(instance, 1, short_run, 0);
    worker.settle(100);

    // when, then
    cr_assert(worker.report(100).finished.size() == 1);
    cr_assert(worker.report(100).finished[0].cause == end_cause::done);
    worker.poll(instance, 1, 1, {}, 200);
    cr_assert(!worker.has_ends());
    cr_assert(noted.size() == 1);
}

} // namespace
