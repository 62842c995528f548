#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(scheduler, starts_a_task_only_after_the_journal_holds_it)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.hold_journal = true;

    // when
    scheduler.submit_job(make_job("j1"));

    // then
    cr_assert(scheduler.starts.empty());
    cr_assert(scheduler.journal.size() == 1);

    // when
    scheduler.hold_journal = false;
    scheduler.run();

    // then
    cr_assert(scheduler.starts.size() == 1);
    cr_assert(scheduler.starts[0].run == 1);
}

Test(scheduler, starts_nothing_on_a_worker_that_has_not_seen_its_token)
{
    // given
    fixture scheduler;

    // when
    scheduler.submit_job(make_job("j1"));

    // then
    cr_assert(scheduler.starts.empty());
}

Test(scheduler, shows_a_job_as_completed_only_when_that_is_durable)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command start = scheduler.starts.at(0);
    scheduler.answer_start(start, command_outcome::accepted);
    scheduler.hold_journal = true;

    // when
    scheduler.now_ms += 500;
    scheduler.answer_look(start.worker.id, {}, {ended(1, start, end_cause::done)});

    // then
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::running);

    // when
    scheduler.hold_journal = false;
    scheduler.run(scheduler.now_ms + 20);
    scheduler.run(scheduler.now_ms + 20);

    // then
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::completed);
}

Test(scheduler, acknowledges_an_end_only_when_it_is_durable)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1", 2));
    const start_command start = scheduler.starts.at(0);
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
    }
    scheduler.hold_journal = true;

    // when
    scheduler.now_ms += 500;
    scheduler.answer_look(start.worker.id, {}, {ended(7, start, end_cause::done)});
    scheduler.run(scheduler.now_ms + 1000);

    // then
    cr_assert(scheduler.looks.contains(start.worker.id));
    cr_assert(scheduler.looks[start.worker.id].acknowledged == 0);

    // when
    scheduler.hold_journal = false;
    scheduler.run();
    scheduler.answer_look(start.worker.id, {}, {ended(7, start, end_cause::done)});
    scheduler.run(scheduler.now_ms + 1000);

    // then
    cr_assert(scheduler.looks[start.worker.id].acknowledged == 7);
}

Test(scheduler, waits_for_earlier_steps)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    jobs::job job = make_job("j1");
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};

    // when
    scheduler.submit_job(job);

    // then
    cr_assert(scheduler.starts.size() == 1);

    // when
    const start_command first = scheduler.starts[0];
    scheduler.answer_start(first, command_outcome::accepted);
    scheduler.now_ms += 500;
    scheduler.answer_look(first.worker.id, {}, {ended(1, first, end_cause::done)});
    scheduler.run(scheduler.now_ms + 20);

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.starts[1].task.step == 1);
}

Test(scheduler, a_cancelled_job_is_stopped_and_starts_nothing_more)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1", 9));
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
    }
    const std::size_t running = scheduler.starts.size();
    cr_assert(running == 8); // two workers of four processors

    // when
    scheduler.decides.cancel_job("j1", scheduler.now());
    scheduler.run(scheduler.now_ms + 20);
    scheduler.run(scheduler.now_ms + 200);

    // then
    cr_assert(scheduler.stops.size() == running);
    cr_assert(scheduler.starts.size() == running);
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::cancelled);
}

Test(scheduler, a_cancel_that_is_seen_before_its_job_holds)
{
    // given: the store lists cancels before jobs, and the hint of the job was lost
    fixture scheduler;
    scheduler.greet_all();
    scheduler.decides.cancel_job("j1", scheduler.now());

    // when
    scheduler.submit_job(make_job("j1"));
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.empty());
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::cancelled);
}

Test(scheduler, attempts_end_a_job_and_the_last_is_made_elsewhere)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command first = scheduler.starts.at(0);
    scheduler.answer_start(first, command_outcome::accepted);

    // when
    scheduler.now_ms += 100;
    scheduler.answer_look(first.worker.id, {}, {ended(1, first, end_cause::failed)});
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.starts[1].worker.id != first.worker.id);

    // when
    const start_command second = scheduler.starts[1];
    scheduler.answer_start(second, command_outcome::accepted);
    scheduler.now_ms += 100;
    scheduler.answer_look(second.worker.id, {}, {ended(1, second, end_cause::failed)});
    scheduler.run(scheduler.now_ms + 100);
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::failed);
}

Test(scheduler, a_retry_is_not_kept_waiting_where_all_workers_have_failed)
{
    // given: the only worker has failed the task, and nothing else runs that could be done there
    fixture scheduler({make_worker("w1")});
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command first = scheduler.starts.at(0);
    scheduler.answer_start(first, command_outcome::accepted);
    scheduler.now_ms += 100;
    scheduler.answer_look("w1", {}, {ended(1, first, end_cause::failed)});

    // when
    scheduler.run(scheduler.now_ms + 1000);
    const std::size_t soon = scheduler.starts.size();
    scheduler.run(scheduler.now_ms + 1000);
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(soon == 1);
    cr_assert(scheduler.starts.size() == 2);
}

Test(scheduler, a_team_never_starts_beyond_its_limit)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    policy rules;
    rules.version = 2;
    rules.queues["permits"] = make_job("x").policy;
    rules.teams["fire"] = {1.0, {2000, 0, 0, 0}};
    scheduler.decides.configure(rules);

    // when
    scheduler.submit_job(make_job("j1", 6));

    // then
    cr_assert(scheduler.starts.size() == 2);
}

Test(scheduler, a_worker_gets_no_more_than_its_capacity)
{
    // given
    fixture scheduler({make_worker("w1")});
    scheduler.greet_all();

    // when
    scheduler.submit_job(make_job("j1", 6));

    // then
    cr_assert(scheduler.starts.size() == 4);
}

Test(scheduler, nothing_new_starts_on_a_worker_that_drains)
{
    // given
    fixture scheduler({make_worker("w1")});
    scheduler.greet_all();
    worker_entry draining = make_worker("w1");
    draining.draining = true;
    scheduler.decides.update_workers({draining}, scheduler.now());

    // when
    scheduler.submit_job(make_job("j1"));

    // then
    cr_assert(scheduler.starts.empty());
}

Test(scheduler, a_worker_that_fails_all_gets_one_task_at_a_time)
{
    // given: three ends `failed` of three jobs on w1
    fixture scheduler({make_worker("w1")});
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    scheduler.submit_job(make_job("j2"));
    scheduler.submit_job(make_job("j3"));
    std::vector<finished_run> failures;
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
        failures.push_back(
            ended(static_cast<std::int64_t>(failures.size()) + 1, each, end_cause::failed));
    }
    scheduler.now_ms += 100;
    scheduler.answer_look("w1", {}, failures);
    const std::size_t before = scheduler.starts.size();

    // when
    scheduler.submit_job(make_job("j4", 3));
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.size() == before + 1);
}

Test(scheduler, a_timed_job_starts_no_occurrence_early)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    jobs::job job = make_job("j1");
    job.repeats = 2;
    job.first_due_ms = start_unix_ms + 1000;
    job.interval = milliseconds(1000);

    // when, then
    scheduler.submit_job(job);
    scheduler.run(990);
    cr_assert(scheduler.starts.empty());
    scheduler.run(1150);
    scheduler.run(1170);
    cr_assert(scheduler.starts.size() == 1);
    cr_assert(scheduler.starts[0].task.occurrence == 0);
}

Test(scheduler, a_gang_starts_whole_or_not_at_all)
{
    // given: room for eight, a gang of nine and one of three
    fixture scheduler;
    scheduler.greet_all();
    jobs::job large = make_job("j1", 9);
    large.steps[0].gang = true;
    jobs::job small = make_job("j2", 3);
    small.steps[0].gang = true;

    // when
    scheduler.submit_job(large);
    scheduler.submit_job(small);

    // then
    cr_assert(scheduler.starts.size() == 3);
    for (const start_command& each : scheduler.starts) {
        cr_assert(each.task.job == "j2");
        cr_assert(each.run == 1);
    }
}

Test(scheduler, one_end_stands_for_the_whole_gang)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    jobs::job job = make_job("j1", 3);
    job.steps[0].gang = true;
    scheduler.submit_job(job);
    const start_command start = scheduler.starts.at(0);
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
    }

    // when
    scheduler.now_ms += 500;
    scheduler.answer_look(start.worker.id, {}, {ended(1, start, end_cause::done)});
    scheduler.run(scheduler.now_ms + 20);
    scheduler.run(scheduler.now_ms + 20);

    // then
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::completed);
}

} // namespace
