#include "scheduling/tests/scheduler_fixture.h"

#include "scheduling/dispatch_round.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(dispatch_round, lists_the_usable_workers_of_each_pool)
{
    // given
    worker_map workers;
    for (const std::string id : {"w1", "w2", "w3"}) {
        workers[id].entry = make_worker(id, id == "w3" ? "other" : "main");
        workers[id].token_seen = id != "w2";
    }

    const pool_index pools{{"main", {&workers["w1"], &workers["w2"]}}, {"other", {&workers["w3"]}}};

    // when
    dispatch_round round(pools, time_at(0));

    // then
    cr_assert(round.usable_in("main").size() == 1);
    cr_assert(round.usable_in("main")[0]->entry.instance.id == "w1");
    cr_assert(round.usable_in("other").size() == 1);
    cr_assert(round.usable_in("none").empty());
}

Test(dispatch_round, a_pool_whose_workers_all_fail_keeps_two_thirds_of_its_room)
{
    // given
    worker_map workers;
    pool_index pools;
    for (const std::string id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
        workers[id].entry = make_worker(id);
        workers[id].token_seen = true;
        workers[id].consecutive_failures = id == "w5" ? 7 : 3;
        pools["main"].push_back(&workers[id]);
    }

    // when
    dispatch_round round(pools, time_at(0));
    const auto& usable = round.usable_in("main");

    // then
    cr_assert(usable.size() == workers.size());
    const auto on_probation = std::count_if(
        workers.begin(), workers.end(), [](const auto& each) { return each.second.on_probation; });
    cr_assert(on_probation == 2);
    cr_assert(workers["w5"].on_probation);
}

Test(dispatch_round, a_size_that_fits_nowhere_excludes_all_larger_sizes)
{
    // given
    const pool_index pools;
    dispatch_round round(pools, time_at(0));

    // when
    round.mark_fits_nowhere("main", {2000, 500, 0, 0});

    // then
    cr_assert(round.fits_nowhere("main", {2000, 500, 0, 0}));
    cr_assert(round.fits_nowhere("main", {3000, 500, 1, 0}));
    cr_assert(!round.fits_nowhere("main", {1999, 900, 0, 0}));
    cr_assert(!round.fits_nowhere("main", {3000, 499, 0, 0}));
    cr_assert(!round.fits_nowhere("other", {3000, 900, 0, 0}));
}

Test(dispatch_round, a_large_task_that_fits_nowhere_does_not_delay_smaller_ones)
{
    // given: one free processor on each of two workers
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    jobs::job wide = make_job("j0", 2);
    wide.steps[0].task_resources.processors = 3000;
    fixture.submit_job(wide);
    cr_assert(fixture.starts.size() == 2);

    // when
    jobs::job large = make_job("j1", 1);
    large.steps[0].task_resources.processors = 2000;
    fixture.submit_job(large);
    fixture.submit_job(make_job("j2", 3));

    // then
    cr_assert(fixture.starts.size() == 4);
    cr_assert(fixture.starts[2].task.job == "j2");
    cr_assert(fixture.starts[3].task.job == "j2");
}

} // namespace
