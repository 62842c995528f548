#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(scheduler, starts_a_task_only_after_its_journal_entry_is_durable)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.hold_journal = true;

    // when
    fixture.submit_job(make_job("j1"));

    // then
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.journal.size() == 1);

    // when
    fixture.hold_journal = false;
    fixture.advance();

    // then
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].run == 1);
}

Test(scheduler, starts_nothing_on_a_worker_that_has_not_seen_its_token)
{
    // given
    scheduler_fixture fixture;

    // when
    fixture.submit_job(make_job("j1"));

    // then
    cr_assert(fixture.starts.empty());
}

Test(scheduler, reports_a_job_as_completed_only_when_that_is_durable)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1"));
    const start_command start = fixture.starts.at(0);
    fixture.answer_start(start, command_outcome::accepted);
    fixture.hold_journal = true;

    // when
    fixture.now_ms += 500;
    fixture.answer_poll(start.worker.id, {}, {make_finished_run(1, start, end_cause::done)});

    // then
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::running);

    // when
    fixture.hold_journal = false;
    fixture.advance(fixture.now_ms + 20);
    fixture.advance(fixture.now_ms + 20);

    // then
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::completed);
}

Test(scheduler, acknowledges_an_end_only_when_it_is_durable)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1", 2));
    const start_command start = fixture.starts.at(0);
    for (const start_command& each : std::vector(fixture.starts)) {
        fixture.answer_start(each, command_outcome::accepted);
    }
    fixture.hold_journal = true;

    // when
    fixture.now_ms += 500;
    fixture.answer_poll(start.worker.id, {}, {make_finished_run(7, start, end_cause::done)});
    fixture.advance(fixture.now_ms + 1000);

    // then
    cr_assert(fixture.polls.contains(start.worker.id));
    cr_assert(fixture.polls[start.worker.id].acknowledged == 0);

    // when
    fixture.hold_journal = false;
    fixture.advance();
    fixture.answer_poll(start.worker.id, {}, {make_finished_run(7, start, end_cause::done)});
    fixture.advance(fixture.now_ms + 1000);

    // then
    cr_assert(fixture.polls[start.worker.id].acknowledged == 7);
}

Test(scheduler, waits_for_earlier_steps)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    jobs::job job = make_job("j1");
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = {0};

    // when
    fixture.submit_job(job);

    // then
    cr_assert(fixture.starts.size() == 1);

    // when
    const start_command first = fixture.starts[0];
    fixture.answer_start(first, command_outcome::accepted);
    fixture.now_ms += 500;
    fixture.answer_poll(first.worker.id, {}, {make_finished_run(1, first, end_cause::done)});
    fixture.advance(fixture.now_ms + 20);

    // then
    cr_assert(fixture.starts.size() == 2);
    cr_assert(fixture.starts[1].task.step == 1);
}

Test(scheduler, a_cancelled_job_is_stopped_and_starts_nothing_more)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1", 9));
    for (const start_command& each : std::vector(fixture.starts)) {
        fixture.answer_start(each, command_outcome::accepted);
    }
    const std::size_t running = fixture.starts.size();
    cr_assert(running == 8); // two workers with four processors each

    // when
    fixture.under_test.cancel_job("j1", fixture.now());
    fixture.advance(fixture.now_ms + 20);
    fixture.advance(fixture.now_ms + 200);

    // then
    cr_assert(fixture.stops.size() == running);
    cr_assert(fixture.starts.size() == running);
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::cancelled);
}

Test(scheduler, a_cancellation_received_before_its_job_takes_effect)
{
    // given: the store lists cancellations before jobs, and the notification of the job was lost
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.under_test.cancel_job("j1", fixture.now());

    // when
    fixture.submit_job(make_job("j1"));
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.starts.empty());
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::cancelled);
}

Test(scheduler, a_job_fails_after_its_last_attempt_which_runs_on_another_worker)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1"));
    const start_command first = fixture.starts.at(0);
    fixture.answer_start(first, command_outcome::accepted);

    // when
    fixture.now_ms += 100;
    fixture.answer_poll(first.worker.id, {}, {make_finished_run(1, first, end_cause::failed)});
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.starts.size() == 2);
    cr_assert(fixture.starts[1].worker.id != first.worker.id);

    // when
    const start_command second = fixture.starts[1];
    fixture.answer_start(second, command_outcome::accepted);
    fixture.now_ms += 100;
    fixture.answer_poll(second.worker.id, {}, {make_finished_run(1, second, end_cause::failed)});
    fixture.advance(fixture.now_ms + 100);
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.starts.size() == 2);
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::failed);
}

Test(scheduler, a_retry_does_not_wait_forever_if_all_workers_have_failed)
{
    // given: the only worker has failed the task, and no other task could succeed there
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1"));
    const start_command first = fixture.starts.at(0);
    fixture.answer_start(first, command_outcome::accepted);
    fixture.now_ms += 100;
    fixture.answer_poll("w1", {}, {make_finished_run(1, first, end_cause::failed)});

    // when
    fixture.advance(fixture.now_ms + 1000);
    const std::size_t starts_during_pause = fixture.starts.size();
    fixture.advance(fixture.now_ms + 1000);
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(starts_during_pause == 1);
    cr_assert(fixture.starts.size() == 2);
}

Test(scheduler, a_team_never_starts_beyond_its_limit)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    policy rules;
    rules.version = 2;
    rules.queues["permits"] = make_job("x").policy;
    rules.teams["fire"] = {1.0, {2000, 0, 0, 0}};
    fixture.under_test.configure(rules);

    // when
    fixture.submit_job(make_job("j1", 6));

    // then
    cr_assert(fixture.starts.size() == 2);
}

Test(scheduler, a_worker_gets_no_more_than_its_capacity)
{
    // given
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();

    // when
    fixture.submit_job(make_job("j1", 6));

    // then
    cr_assert(fixture.starts.size() == 4);
}

Test(scheduler, nothing_starts_on_a_draining_worker)
{
    // given
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    worker_entry draining = make_worker("w1");
    draining.draining = true;
    fixture.under_test.update_workers({draining}, fixture.now());

    // when
    fixture.submit_job(make_job("j1"));

    // then
    cr_assert(fixture.starts.empty());
}

Test(scheduler, a_worker_whose_tasks_all_fail_gets_one_task_at_a_time)
{
    // given: the tasks of three jobs have ended `failed` on w1
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1"));
    fixture.submit_job(make_job("j2"));
    fixture.submit_job(make_job("j3"));
    std::vector<finished_run> failures;
    for (const start_command& each : std::vector(fixture.starts)) {
        fixture.answer_start(each, command_outcome::accepted);
        failures.push_back(make_finished_run(static_cast<std::int64_t>(failures.size()) + 1, each,
                                             end_cause::failed));
    }
    fixture.now_ms += 100;
    fixture.answer_poll("w1", {}, failures);
    const std::size_t starts_before = fixture.starts.size();

    // when
    fixture.submit_job(make_job("j4", 3));
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.starts.size() == starts_before + 1);
}

Test(scheduler, a_worker_whose_tasks_all_fail_gets_one_task_at_a_time_beside_lasting_ones)
{
    // given: a lasting task on w1, and three failures
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    jobs::job lasting = make_job("lasting");
    lasting.steps[0].long_running = true;
    fixture.submit_job(lasting);
    const start_command kept = fixture.starts.at(0);
    fixture.answer_start(kept, command_outcome::accepted);
    for (const char* id : {"j1", "j2", "j3"}) {
        fixture.submit_job(make_job(id));
    }
    fixture.advance();
    std::vector<finished_run> failures;
    for (const start_command& each :
         std::vector(fixture.starts.begin() + 1, fixture.starts.end())) {
        fixture.answer_start(each, command_outcome::accepted);
        failures.push_back(make_finished_run(static_cast<std::int64_t>(failures.size()) + 1, each,
                                             end_cause::failed));
    }
    fixture.now_ms += 100;
    fixture.answer_poll("w1", {scheduler_fixture::running(kept)}, failures);
    cr_assert(fixture.under_test.all_workers().at("w1").consecutive_failures == 3);
    const std::size_t starts_before = fixture.starts.size();

    // when
    fixture.submit_job(make_job("j4", 2));
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.starts.size() == starts_before + 1, "%zu", fixture.starts.size());
}

Test(scheduler, tasks_that_fail_on_several_workers_put_none_of_these_on_probation)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    std::map<std::string, std::int64_t> ends;
    const auto fail = [&fixture, &ends](const start_command& start) {
        fixture.answer_start(start, command_outcome::accepted);
        fixture.now_ms += 100;
        fixture.answer_poll(start.worker.id, {},
                            {make_finished_run(++ends[start.worker.id], start, end_cause::failed)});
        fixture.advance(fixture.now_ms + 500);
    };

    // when: hopeless jobs fail on one worker, then on the other
    for (const char* id : {"j1", "j2", "j3", "j4"}) {
        fixture.submit_job(make_job(id));
        const start_command first = fixture.starts.back();
        fail(first);
        const start_command second = fixture.starts.back();
        cr_assert(second.task == first.task && second.worker != first.worker);
        fail(second);
    }

    // then
    for (const auto& [id, worker] : fixture.under_test.all_workers()) {
        cr_assert(worker.consecutive_failures == 0, "%s", id.c_str());
    }
    cr_assert(fixture.under_test.counters().jobs_failed == 4);
}

Test(scheduler, a_timed_job_starts_no_occurrence_early)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    jobs::job job = make_job("j1");
    job.repeats = 2;
    job.first_due_ms = start_unix_ms + 1000;
    job.interval = milliseconds(1000);

    // when, then
    fixture.submit_job(job);
    fixture.advance(990);
    cr_assert(fixture.starts.empty());
    fixture.advance(1150);
    fixture.advance(1170);
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts[0].task.occurrence == 0);
}

Test(scheduler, a_gang_starts_whole_or_not_at_all)
{
    // given: capacity for eight tasks, a gang of nine and a gang of three
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    jobs::job large = make_job("j1", 9);
    large.steps[0].gang = true;
    jobs::job small = make_job("j2", 3);
    small.steps[0].gang = true;

    // when
    fixture.submit_job(large);
    fixture.submit_job(small);

    // then
    cr_assert(fixture.starts.size() == 3);
    for (const start_command& each : fixture.starts) {
        cr_assert(each.task.job == "j2");
        cr_assert(each.run == 1);
    }
}

Test(scheduler, the_completion_of_one_member_completes_the_gang)
{
    // given
    scheduler_fixture fixture;
    fixture.answer_first_polls();
    jobs::job job = make_job("j1", 3);
    job.steps[0].gang = true;
    fixture.submit_job(job);
    const start_command start = fixture.starts.at(0);
    for (const start_command& each : std::vector(fixture.starts)) {
        fixture.answer_start(each, command_outcome::accepted);
    }

    // when
    fixture.now_ms += 500;
    fixture.answer_poll(start.worker.id, {}, {make_finished_run(1, start, end_cause::done)});
    fixture.advance(fixture.now_ms + 20);
    fixture.advance(fixture.now_ms + 20);

    // then
    cr_assert(fixture.under_test.state_of("j1") == jobs::job_state::completed);
}

Test(scheduler, starts_nothing_while_cancellations_may_be_unknown_to_it)
{
    // given an owner that falls behind in reading its input
    scheduler_options options;
    options.max_input_age = milliseconds(2000);
    scheduler_fixture fixture({make_worker("w1")}, {}, options);
    fixture.answer_first_polls();
    fixture.advance(2100);

    // when
    fixture.submit_job(make_job("j1"));

    // then
    cr_assert(fixture.starts.empty());

    // when it has read everything up to a moment ago
    fixture.under_test.confirm_input(time_at(fixture.now_ms - 500));
    fixture.advance(fixture.now_ms + 200);

    // then
    cr_assert(fixture.starts.size() == 1);
}

Test(scheduler, a_backlog_of_journal_writes_delays_all_jobs_alike)
{
    // given more changed jobs than fit into the writes that may be under way
    scheduler_options options;
    options.journal_lanes = 2;
    std::vector<worker_entry> workers;
    for (int i = 0; i < 40; ++i) {
        workers.push_back(make_worker("w" + std::to_string(i)));
    }
    scheduler_fixture fixture(workers, {}, options);
    fixture.answer_first_polls();
    fixture.hold_journal = true;
    for (int i = 0; i < 100; ++i) {
        // The first jobs have the ids that sort last.
        fixture.under_test.submit_job(make_job("j" + std::to_string(999 - i)), fixture.now());
        fixture.advance(fixture.now_ms + 30);
    }

    // when the writes under way are committed
    cr_assert(fixture.journal.size() == 2, "writes of the lanes are independent");
    fixture.hold_journal = false;
    fixture.advance();

    // then the next ones hold the jobs that have waited longest
    std::set<std::string> first_started;
    for (std::size_t i = 0; i < 40; ++i) {
        first_started.insert(fixture.starts.at(i).task.job);
    }
    cr_assert(first_started.contains("j999"));
    cr_assert(first_started.contains("j970"));
    cr_assert(!first_started.contains("j900"));
}

Test(scheduler, a_start_is_rejected_in_time_by_a_worker_with_a_slow_clock)
{
    // given a worker whose clock is 2% slow and was read 1,500 ms ago
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    const std::int64_t read_at = fixture.now_ms;
    fixture.now_ms += 1500;

    // when
    fixture.submit_job(make_job("j1"));

    // then it rejects the start once the start's timeout has passed
    cr_assert(fixture.starts.size() == 1);
    const scheduler_options defaults;
    const std::int64_t rejected_from = fixture.now_ms + defaults.start_timeout.count();
    const auto slow_clock = read_at + worker_clock_offset_ms +
                            static_cast<std::int64_t>((rejected_from - read_at) * 98 / 100);
    cr_assert(fixture.starts[0].deadline_ms <= slow_clock);
    cr_assert(fixture.starts[0].deadline_ms > slow_clock - 100);
}

Test(scheduler, starts_of_an_owner_that_handles_reports_late_are_not_rejected_as_too_late)
{
    // given: the owner has handled one report in time, and handles the next 1.5 s late
    scheduler_options options;
    scheduler_fixture fixture({make_worker("w1")}, {}, options);
    fixture.answer_first_polls();
    fixture.advance(1000);
    fixture.answer_poll("w1");
    fixture.advance(3000);
    fixture.answer_delay_ms = 1500;
    fixture.answer_poll("w1");

    // when
    fixture.submit_job(make_job("j1"));

    // then: the deadline leaves the start its time on the worker's clock, less what that clock may
    // have drifted since the report that was handled in time
    const std::int64_t drift_ms = (fixture.now_ms - 1000 + options.start_timeout.count()) * 2 / 100;
    const std::int64_t clock_ms = fixture.now_ms + worker_clock_offset_ms;
    const std::int64_t left_ms = fixture.starts.at(0).deadline_ms - clock_ms;
    cr_assert(left_ms <= options.start_timeout.count());
    cr_assert(left_ms >= options.start_timeout.count() - drift_ms - 1, "%ld ms",
              static_cast<long>(left_ms));
}

Test(scheduler, the_lease_of_a_run_ends_no_earlier_on_a_slow_clock_than_the_owner_assumes)
{
    // given: a worker's clock that runs 2% slow
    scheduler_fixture fixture({make_worker("w1")});
    fixture.worker_clock_rate = 0.98;
    fixture.answer_first_polls();
    for (int i = 0; i < 20; ++i) {
        fixture.answer_delay_ms = i % 2 == 0 ? 0 : 900;
        fixture.advance(fixture.now_ms + 1400);
        fixture.answer_poll("w1");
    }
    fixture.advance(fixture.now_ms + 100);

    // then
    const worker_state& worker = fixture.under_test.all_workers().at("w1");
    const std::int64_t deadline_ms = *fixture.polls.at("w1").deadline_ms;
    cr_assert(worker.clock_at(worker.leases_end_by) >= deadline_ms);
    cr_assert(fixture.clock_ms_at(worker.leases_end_by) >= deadline_ms);
}

Test(scheduler, planned_starts_of_a_cancelled_job_are_dropped_and_the_others_keep_their_order)
{
    // given: one lane, whose write under way holds the first job
    scheduler_options options;
    options.journal_lanes = 1;
    scheduler_fixture fixture({make_worker("w1"), make_worker("w2")}, {}, options);
    fixture.answer_first_polls();
    fixture.hold_journal = true;
    for (const std::string id : {"first", "z", "cancelled", "a"}) {
        fixture.submit_job(make_job(id));
    }

    // when
    fixture.under_test.cancel_job("cancelled", fixture.now());
    fixture.hold_journal = false;
    fixture.advance(fixture.now_ms + 100);
    fixture.advance(fixture.now_ms + 100);

    // then
    std::vector<std::string> started;
    for (const start_command& each : fixture.starts) {
        started.push_back(each.task.job);
    }
    const std::vector<std::string> expected{"first", "z", "a"};
    cr_assert(started == expected);
}

Test(scheduler, a_job_whose_progress_exceeds_a_stored_value_fails_and_holds_up_no_other)
{
    // given: one lane, and a job of an earlier version
    scheduler_options options;
    options.journal_lanes = 1;
    options.max_document_bytes = 5000;
    jobs::job huge = make_job("huge", 6000);
    scheduler_fixture fixture({make_worker("w1")}, {}, options);
    fixture.answer_first_polls();

    // when
    fixture.submit_job(huge);
    fixture.submit_job(make_job("small"));
    fixture.advance(fixture.now_ms + 100);

    // then
    cr_assert(fixture.under_test.state_of("huge") == jobs::job_state::failed);
    cr_assert(fixture.starts.size() == 1);
    cr_assert(fixture.starts.front().task.job == "small");
}

Test(scheduler, large_checkpoints_are_dropped_rather_than_their_job)
{
    // given
    scheduler_options options;
    options.max_document_bytes = 500;
    scheduler_fixture fixture({make_worker("w1")}, {}, options);
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1"));
    const start_command start = fixture.starts.front();
    fixture.answer_start(start, command_outcome::accepted);

    // when
    fixture.now_ms += 100;
    finished_run stopped = make_finished_run(1, start, end_cause::stopped);
    stopped.checkpoint.assign(1000, 'x');
    fixture.answer_poll("w1", {}, {stopped});
    fixture.advance(fixture.now_ms + 200);

    // then
    cr_assert(fixture.starts.size() == 2);
    cr_assert(fixture.starts.back().checkpoint.empty());
}

} // namespace
