#include "scheduling/tests/cell_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(cell, starts_a_task_only_after_the_journal_holds_it)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.hold_journal = true;

    // when
    cell.take_job(make_job("j1"));

    // then
    cr_assert(cell.starts.empty());
    cr_assert(cell.journal.size() == 1);

    // when
    cell.hold_journal = false;
    cell.run();

    // then
    cr_assert(cell.starts.size() == 1);
    cr_assert(cell.starts[0].run == 1);
}

Test(cell, starts_nothing_on_a_worker_that_has_not_seen_its_token)
{
    // given
    fixture cell;

    // when
    cell.take_job(make_job("j1"));

    // then
    cr_assert(cell.starts.empty());
}

Test(cell, shows_a_job_as_completed_only_when_that_is_durable)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order start = cell.starts.at(0);
    cell.answer_start(start, verdict::accepted);
    cell.hold_journal = true;

    // when
    cell.now_ms += 500;
    cell.answer_look(start.worker.id, {}, {ended(1, start, end_cause::done)});

    // then
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::running);

    // when
    cell.hold_journal = false;
    cell.run(cell.now_ms + 20);
    cell.run(cell.now_ms + 20);

    // then
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::completed);
}

Test(cell, acknowledges_an_end_only_when_it_is_durable)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1", 2));
    const start_order start = cell.starts.at(0);
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
    }
    cell.hold_journal = true;

    // when
    cell.now_ms += 500;
    cell.answer_look(start.worker.id, {}, {ended(7, start, end_cause::done)});
    cell.run(cell.now_ms + 1000);

    // then
    cr_assert(cell.looks.contains(start.worker.id));
    cr_assert(cell.looks[start.worker.id].acknowledged == 0);

    // when
    cell.hold_journal = false;
    cell.run();
    cell.answer_look(start.worker.id, {}, {ended(7, start, end_cause::done)});
    cell.run(cell.now_ms + 1000);

    // then
    cr_assert(cell.looks[start.worker.id].acknowledged == 7);
}

Test(cell, waits_for_earlier_steps)
{
    // given
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1");
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};

    // when
    cell.take_job(job);

    // then
    cr_assert(cell.starts.size() == 1);

    // when
    const start_order first = cell.starts[0];
    cell.answer_start(first, verdict::accepted);
    cell.now_ms += 500;
    cell.answer_look(first.worker.id, {}, {ended(1, first, end_cause::done)});
    cell.run(cell.now_ms + 20);

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.starts[1].task.step == 1);
}

Test(cell, a_cancelled_job_is_stopped_and_starts_nothing_more)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1", 9));
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
    }
    const std::size_t running = cell.starts.size();
    cr_assert(running == 8); // two workers of four processors

    // when
    cell.decides.cancel_job("j1", cell.now());
    cell.run(cell.now_ms + 20);
    cell.run(cell.now_ms + 200);

    // then
    cr_assert(cell.stops.size() == running);
    cr_assert(cell.starts.size() == running);
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::cancelled);
}

Test(cell, a_cancel_that_is_seen_before_its_job_holds)
{
    // given: the store lists cancels before jobs, and the hint of the job was lost
    fixture cell;
    cell.greet_all();
    cell.decides.cancel_job("j1", cell.now());

    // when
    cell.take_job(make_job("j1"));
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.empty());
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::cancelled);
}

Test(cell, attempts_end_a_job_and_the_last_is_made_elsewhere)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order first = cell.starts.at(0);
    cell.answer_start(first, verdict::accepted);

    // when
    cell.now_ms += 100;
    cell.answer_look(first.worker.id, {}, {ended(1, first, end_cause::failed)});
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.starts[1].worker.id != first.worker.id);

    // when
    const start_order second = cell.starts[1];
    cell.answer_start(second, verdict::accepted);
    cell.now_ms += 100;
    cell.answer_look(second.worker.id, {}, {ended(1, second, end_cause::failed)});
    cell.run(cell.now_ms + 100);
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::failed);
}

Test(cell, a_retry_is_not_kept_waiting_where_all_workers_have_failed)
{
    // given: the only worker has failed the task, and nothing else runs that could be done there
    fixture cell({make_worker("w1")});
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order first = cell.starts.at(0);
    cell.answer_start(first, verdict::accepted);
    cell.now_ms += 100;
    cell.answer_look("w1", {}, {ended(1, first, end_cause::failed)});

    // when
    cell.run(cell.now_ms + 1000);
    const std::size_t soon = cell.starts.size();
    cell.run(cell.now_ms + 1000);
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(soon == 1);
    cr_assert(cell.starts.size() == 2);
}

Test(cell, a_team_never_starts_beyond_its_limit)
{
    // given
    fixture cell;
    cell.greet_all();
    policy rules;
    rules.version = 2;
    rules.queues["permits"] = make_job("x").policy;
    rules.teams["fire"] = {1.0, {2000, 0, 0, 0}};
    cell.decides.configure(rules);

    // when
    cell.take_job(make_job("j1", 6));

    // then
    cr_assert(cell.starts.size() == 2);
}

Test(cell, a_worker_gets_no_more_than_its_capacity)
{
    // given
    fixture cell({make_worker("w1")});
    cell.greet_all();

    // when
    cell.take_job(make_job("j1", 6));

    // then
    cr_assert(cell.starts.size() == 4);
}

Test(cell, nothing_new_starts_on_a_worker_that_drains)
{
    // given
    fixture cell({make_worker("w1")});
    cell.greet_all();
    worker_entry draining = make_worker("w1");
    draining.draining = true;
    cell.decides.see_workers({draining}, cell.now());

    // when
    cell.take_job(make_job("j1"));

    // then
    cr_assert(cell.starts.empty());
}

Test(cell, a_worker_that_fails_all_gets_one_task_at_a_time)
{
    // given: three ends `failed` of three jobs on w1
    fixture cell({make_worker("w1")});
    cell.greet_all();
    cell.take_job(make_job("j1"));
    cell.take_job(make_job("j2"));
    cell.take_job(make_job("j3"));
    std::vector<finished_row> failures;
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
        failures.push_back(
            ended(static_cast<std::int64_t>(failures.size()) + 1, each, end_cause::failed));
    }
    cell.now_ms += 100;
    cell.answer_look("w1", {}, failures);
    const std::size_t before = cell.starts.size();

    // when
    cell.take_job(make_job("j4", 3));
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.size() == before + 1);
}

Test(cell, a_timed_job_starts_no_occurrence_early)
{
    // given
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1");
    job.repeats = 2;
    job.first_due_ms = start_unix_ms + 1000;
    job.interval = milliseconds(1000);

    // when, then
    cell.take_job(job);
    cell.run(990);
    cr_assert(cell.starts.empty());
    cell.run(1150);
    cell.run(1170);
    cr_assert(cell.starts.size() == 1);
    cr_assert(cell.starts[0].task.occurrence == 0);
}

Test(cell, a_gang_starts_whole_or_not_at_all)
{
    // given: room for eight, a gang of nine and one of three
    fixture cell;
    cell.greet_all();
    jobs::job large = make_job("j1", 9);
    large.steps[0].gang = true;
    jobs::job small = make_job("j2", 3);
    small.steps[0].gang = true;

    // when
    cell.take_job(large);
    cell.take_job(small);

    // then
    cr_assert(cell.starts.size() == 3);
    for (const start_order& each : cell.starts) {
        cr_assert(each.task.job == "j2");
        cr_assert(each.run == 1);
    }
}

Test(cell, one_end_stands_for_the_whole_gang)
{
    // given
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1", 3);
    job.steps[0].gang = true;
    cell.take_job(job);
    const start_order start = cell.starts.at(0);
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
    }

    // when
    cell.now_ms += 500;
    cell.answer_look(start.worker.id, {}, {ended(1, start, end_cause::done)});
    cell.run(cell.now_ms + 20);
    cell.run(cell.now_ms + 20);

    // then
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::completed);
}

} // namespace
