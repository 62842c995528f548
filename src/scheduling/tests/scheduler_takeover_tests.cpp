#include <limits>

#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(scheduler_takeover, a_run_on_a_restarted_worker_survives_a_takeover)
{
    // given stored runs on two instances of one worker: it restarted before the earlier owner had
    // stored that the first run was lost
    job_progress progress = initial_progress(make_job("j1", 2));
    for (std::int64_t i = 0; i < 2; ++i) {
        task_progress& task = progress.tasks[0][0][static_cast<std::size_t>(i)];
        task.state = task_progress::phase::open;
        task.run = 1;
        task.worker = {"w1", i + 1};
    }
    worker_entry restarted = make_worker("w1");
    restarted.instance.started_at_ms = 2;
    scheduler_fixture fixture({restarted, make_worker("w2")}, {{make_job("j1", 2), progress}});

    // when
    worker_report report;
    report.started_at_ms = 2;
    report.clock_ms = 100;
    report.running = {{{"j1", 0, 0, 1}, 1, {}, 0, 0}};
    fixture.answer_poll("w2");
    settle_starts_in_flight(fixture, [&] {
        fixture.under_test.handle_poll_result(
            {restarted.instance, fixture.now(), command_outcome::accepted, report}, fixture.now());
        report.clock_ms += 50;
    });

    // then only the run of the instance that has ended is repeated
    cr_assert(fixture.stops.empty());
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].task.index == 0);
}

// Rule TWICE: the earlier owner's start was accepted by the next instance of its worker, and the
// owner ended before it learned of the restart.
Test(scheduler_takeover, a_start_of_an_earlier_owner_on_the_next_instance_is_not_made_twice)
{
    // given a stored run on an instance that has been replaced
    job_progress progress = initial_progress(make_job("j1"));
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    worker_entry restarted = make_worker("w1");
    restarted.instance.started_at_ms = 2;
    scheduler_fixture fixture({restarted, make_worker("w2")}, {{make_job("j1"), progress, false}});

    // when
    fixture.answer_poll("w2");
    fixture.advance(200);

    // then
    cr_assert(fixture.starts.empty());

    // when
    answer_poll_of(fixture, restarted.instance, {{{"j1", 0, 0, 0}, 1, {}, 0, 0}});
    fixture.advance(400);

    // then
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.stops.empty());
}

Test(scheduler_takeover,
     a_start_of_an_earlier_owner_is_made_again_if_the_next_instance_stays_silent)
{
    // given
    job_progress progress = initial_progress(make_job("j1"));
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    worker_entry restarted = make_worker("w1");
    restarted.instance.started_at_ms = 2;
    scheduler_fixture fixture({restarted, make_worker("w2")}, {{make_job("j1"), progress, false}});
    fixture.answer_poll("w2");

    // when, then: the instance may carry the start out 12 s late, with a lease of 6.3 s
    fixture.advance(18'200);
    cr_assert(fixture.starts.empty());
    fixture.advance(18'400);
    fixture.advance(18'500);
    cr_assert(fixture.starts.size() == 1);
}

Test(scheduler_takeover, a_start_that_an_earlier_owner_passed_on_is_kept_while_it_may_begin_late)
{
    // given: the earlier owner knew of the restart, so the journal names the next instance
    job_progress progress = initial_progress(make_job("j1"));
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    progress.tasks[0][0][0].may_begin_late = true;
    scheduler_fixture fixture({make_worker("w1"), make_worker("w2")},
                              {{make_job("j1"), progress, false}});
    fixture.answer_poll("w2");

    // when, then: the silent instance may carry the start out 12 s late, with a lease of 6.3 s
    fixture.advance(18'200);
    cr_assert(fixture.starts.empty());
    fixture.advance(18'400);
    fixture.advance(18'500);
    cr_assert(fixture.starts.size() == 1);
}

Test(scheduler_takeover, a_redundant_run_of_an_earlier_owner_counts_until_it_has_ended)
{
    // given: the first task is done, but its second run is still at work; the limit allows one run
    const jobs::job job = make_job("j1", 2);
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0].state = task_progress::phase::done;
    progress.tasks[0][0][0].run = 2;
    progress.tasks[0][0][0].worker = {"w1", 1};
    scheduler_fixture fixture({make_worker("w1"), make_worker("w2")}, {{job, progress}});
    policy rules;
    rules.version = 2;
    rules.queues["permits"] = job.policy;
    rules.teams["fire"] = {1.0, {1000, 0, 0, 0}};
    fixture.under_test.configure(rules);

    // when
    fixture.answer_poll("w2");
    const reported_run redundant{{"j1", 0, 0, 0}, 2, {}, 100, 0};
    fixture.answer_poll("w1", {redundant});
    fixture.advance(fixture.now_ms + 200);

    // then
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.stops.size() == 1);
    cr_assert(fixture.stops.front().run == 2);

    // when
    fixture.answer_poll("w1", {}, {{1, redundant.task, 2, end_cause::stopped, {}}});
    fixture.advance(fixture.now_ms + 200);

    // then
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts.front().task.index == 1);
}

// Rule LOST: a worker with another id answered at the address of one that had ended during the
// takeover, and each answer put off the time from which the task was started again.
Test(scheduler_takeover, a_task_is_started_again_once_another_worker_answers_at_the_address)
{
    // given
    jobs::job lasting = make_job("j1");
    lasting.steps[0].long_running = true;
    job_progress progress = initial_progress(lasting);
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    scheduler_fixture fixture({make_worker("w1"), make_worker("w2")}, {{lasting, progress, false}});
    fixture.answer_poll("w2");

    // when
    fixture.under_test.handle_poll_result(
        {{"w1", 1}, fixture.now(), command_outcome::other_worker, {}}, fixture.now());
    fixture.advance(300);

    // then
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].worker.id == "w2");
}

Test(scheduler_takeover, answers_of_another_instance_do_not_put_off_the_end_of_the_leases)
{
    // given
    job_progress progress = initial_progress(make_job("j1"));
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    scheduler_fixture fixture({make_worker("w1"), make_worker("w2")},
                              {{make_job("j1"), progress, false}});

    // when: the start of the earlier owner may begin 12 s late, with a lease of 6.3 s
    while (fixture.now_ms < 19'000 && fixture.starts.empty()) {
        fixture.answer_poll("w2");
        fixture.under_test.handle_poll_result(
            {{"w1", 1}, fixture.now(), command_outcome::other_instance, {}}, fixture.now());
        fixture.advance(fixture.now_ms + 250);
    }

    // then
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.now_ms > 18'000);
}

/// Returns a job that an earlier version accepted: the sum of its tasks overflows.
jobs::job make_endless_job(const std::string& id)
{
    jobs::job endless = make_job(id);
    endless.steps.push_back(endless.steps[0]);
    endless.steps[1].count = std::numeric_limits<std::int64_t>::max();
    return endless;
}

// Rule LOST: each owner in turn threw on one stored job, and none started any other.
Test(scheduler_takeover, a_stored_job_that_can_never_be_done_ends_and_holds_up_no_other)
{
    // given
    scheduler_fixture fixture({make_worker("w1")}, {{make_endless_job("endless"), std::nullopt},
                                                    {make_job("sound"), std::nullopt}});

    // when
    fixture.answer_poll("w1");
    fixture.advance(800);

    // then
    cr_assert(fixture.under_test.state_of("endless") == jobs::job_state::failed);
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].task.job == "sound");
}

Test(scheduler_takeover, a_submitted_job_that_can_never_be_done_ends_and_holds_up_no_other)
{
    // given
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_poll("w1");

    // when
    fixture.submit_job(make_endless_job("endless"));
    fixture.submit_job(make_job("sound"));
    fixture.advance(400);

    // then
    cr_assert(fixture.under_test.state_of("endless") == jobs::job_state::failed);
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].task.job == "sound");
}

// Rule TWICE: a job whose progress could not be read was begun anew, beside its runs.
Test(scheduler_takeover, a_job_whose_progress_is_unusable_ends_and_is_not_begun_anew)
{
    // given progress of a job with other tasks, progress that can't be decoded, and one of no tasks
    stored_job of_other_tasks{make_job("j1", 2), initial_progress(make_job("j1", 3)), false};
    stored_job unreadable{make_job("j2"), std::nullopt, false, "unexpected structure"};
    stored_job of_no_tasks{make_job("j3"), job_progress{}, false};
    scheduler_fixture fixture({make_worker("w1")}, {of_other_tasks, unreadable, of_no_tasks});

    // when
    fixture.answer_poll("w1", {{{"j2", 0, 0, 0}, 1, {}, 0, 0}});
    fixture.advance(400);

    // then only the last one starts, and what runs of the others is stopped
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::failed);
    cr_assert(fixture.under_test.state_of("j2") == jobs::job_state::failed);
    cr_assert(fixture.stops.size() == 1);
    cr_assert(fixture.stops[0].task.job == "j2");
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].task.job == "j3");
}

} // namespace
