#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

void set_capacity(scheduler_fixture& fixture, std::size_t worker, std::int64_t processors)
{
    fixture.listed.at(worker).capacity.processors = processors;
    fixture.under_test.update_workers(fixture.listed, fixture.now());
}

/// Commits all journal writes, also those that follow from a commit.
void commit_journal(scheduler_fixture& fixture)
{
    fixture.hold_journal = false;
    for (const journal_write& write : std::exchange(fixture.journal, {})) {
        fixture.under_test.handle_journal_commit(write.batch, fixture.now());
    }
    fixture.advance(fixture.now_ms + 100);
}

Test(capacity_changes, planned_start_is_not_sent_after_the_capacity_has_shrunk)
{
    // given: starts that wait for the journal
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    fixture.hold_journal = true;
    fixture.submit_job(make_job("j1", 4));

    // when
    set_capacity(fixture, 0, 2500);
    commit_journal(fixture);

    // then
    cr_assert_eq(fixture.starts.size(), 2);
    cr_assert_leq(fixture.under_test.all_workers().at("w1").used.processors, 2500);
}

Test(capacity_changes, worker_above_its_shrunk_capacity_gets_no_task_until_it_has_grown)
{
    // given
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1", 3));
    cr_assert_eq(fixture.starts.size(), 3);
    for (const start_command& start : std::vector<start_command>(fixture.starts)) {
        fixture.answer_start(start, command_outcome::accepted);
    }

    // when
    set_capacity(fixture, 0, 2000);
    fixture.submit_job(make_job("j2"));
    fixture.advance(fixture.now_ms + 300);

    // then
    cr_assert_eq(fixture.starts.size(), 3);
    cr_assert(fixture.stops.empty());

    // when
    set_capacity(fixture, 0, 4000);
    fixture.advance(fixture.now_ms + 300);

    // then
    cr_assert_eq(fixture.starts.size(), 4);
}

Test(capacity_changes, new_owner_counts_inherited_runs_against_the_shrunk_capacity)
{
    // given: a job with three open runs and one waiting task
    stored_job stored{make_job("j1", 4), initial_progress(make_job("j1", 4)), false};
    for (std::size_t i = 0; i < 3; ++i) {
        task_progress& task = stored.progress->tasks[0][0][i];
        task.state = task_progress::phase::open;
        task.run = 1;
        task.worker = {"w1", 1};
    }
    worker_entry shrunk = make_worker("w1");
    shrunk.capacity.processors = 3500;

    // when
    scheduler_fixture fixture({shrunk}, {stored});
    std::vector<reported_run> running;
    for (std::int64_t i = 0; i < 3; ++i) {
        running.push_back({{"j1", 0, 0, i}, 1, {}, 50, 0});
    }
    fixture.answer_poll("w1", running);
    fixture.advance(fixture.now_ms + 300);

    // then
    cr_assert(fixture.starts.empty());
}

Test(capacity_changes, gang_is_not_left_in_part_after_a_capacity_has_shrunk)
{
    // given: a gang of three, on two workers, that waits for the journal
    worker_entry small = make_worker("w2");
    small.capacity.processors = 2000;
    worker_entry large = make_worker("w1");
    large.capacity.processors = 2000;
    scheduler_fixture fixture({large, small});
    fixture.answer_first_polls();
    fixture.hold_journal = true;
    jobs::job gang = make_job("j1", 3);
    gang.steps[0].gang = true;
    fixture.submit_job(gang);

    // when
    set_capacity(fixture, 0, 500);
    set_capacity(fixture, 1, 1500);
    commit_journal(fixture);

    // then: each member that was started is stopped
    for (const start_command& start : fixture.starts) {
        cr_assert(std::any_of(fixture.stops.begin(), fixture.stops.end(),
                              [&start](const stop_command& each) {
                                  return each.task == start.task && each.run == start.run;
                              }));
    }
}

} // namespace
