#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(cell_recovery, an_unanswered_start_runs_nowhere_else_until_it_can_not_happen)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command start = scheduler.starts.at(0);
    const std::string worker = start.worker.id;

    // when: the worker does not list it before the start's deadline
    scheduler.answer_start(start, command_outcome::unknown);
    scheduler.now_ms += 100;
    scheduler.answer_look(worker);
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.size() == 1);

    // when: it does not list it after the deadline either
    scheduler.now_ms += 2000;
    scheduler.answer_look(worker);
    scheduler.run(scheduler.now_ms + 200);

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.starts[1].run == 2);
}

Test(cell_recovery, a_silent_workers_task_waits_for_its_lease)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command start = scheduler.starts.at(0);
    const std::string worker = start.worker.id;
    const std::string other = worker == "w1" ? "w2" : "w1";
    scheduler.answer_start(start, command_outcome::accepted);

    // when
    const auto held_until = scheduler.decides.all_workers().at(worker).runs_until;
    scheduler.fail_look(worker);
    while (scheduler.now() < held_until) {
        cr_assert(scheduler.starts.size() == 1);
        if (scheduler.looks.contains(worker)) {
            scheduler.fail_look(worker);
        }
        if (scheduler.looks.contains(other)) {
            scheduler.answer_look(other);
        }
        scheduler.run(scheduler.now_ms + 50);
    }
    for (int i = 0; i < 4; ++i) {
        scheduler.run(scheduler.now_ms + 50);
    }

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.starts[1].worker.id == other);
}

Test(cell_recovery, an_end_that_is_listed_late_saves_the_next_run)
{
    // given: a run whose lease ran out while its worker was silent, and no room elsewhere
    fixture scheduler({make_worker("w1")});
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command start = scheduler.starts.at(0);
    scheduler.answer_start(start, command_outcome::accepted);
    scheduler.fail_look("w1");
    while (scheduler.now() < scheduler.decides.all_workers().at("w1").runs_until) {
        if (scheduler.looks.contains("w1")) {
            scheduler.fail_look("w1");
        }
        scheduler.run(scheduler.now_ms + 50);
    }

    // when
    scheduler.run(scheduler.now_ms + 300);
    scheduler.answer_look("w1", {}, {ended(1, start, end_cause::done)});
    scheduler.run(scheduler.now_ms + 50);
    scheduler.run(scheduler.now_ms + 50);

    // then
    cr_assert(scheduler.starts.size() == 1);
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::completed);
}

Test(cell_recovery, a_later_life_proves_that_the_earlier_ended)
{
    // given
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command start = scheduler.starts.at(0);
    scheduler.answer_start(start, command_outcome::accepted);

    // when
    worker_entry reborn = make_worker(start.worker.id);
    reborn.instance.started_at_ms = 2;
    const worker_entry other = make_worker(start.worker.id == "w1" ? "w2" : "w1");
    scheduler.decides.update_workers({reborn, other}, scheduler.now());
    scheduler.run(scheduler.now_ms + 100);

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.starts[1].worker.id == other.instance.id);
}

Test(cell_recovery, the_entry_of_an_ended_life_is_left_out)
{
    // given
    fixture scheduler;
    worker_entry later = make_worker("w3");
    later.vm = "vm-w1";
    later.instance.started_at_ms = 5;

    // when
    scheduler.decides.update_workers({make_worker("w1"), make_worker("w2"), later},
                                     scheduler.now());
    scheduler.decides.update_workers({make_worker("w1"), make_worker("w2"), later},
                                     scheduler.now());
    scheduler.run(scheduler.now_ms + 10);

    // then
    cr_assert(!scheduler.decides.all_workers().contains("w1") ||
              !scheduler.decides.all_workers().at("w1").listed);
    cr_assert(scheduler.decides.all_workers().at("w3").listed);
}

Test(cell_recovery, a_new_owner_adopts_what_runs_and_restarts_what_never_began)
{
    // given: an earlier owner's journal says that two tasks may run on w1
    const jobs::job job = make_job("j1", 2);
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 3, 0, {"w1", 1}, {}};
    progress.tasks[0][0][1] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    fixture scheduler({make_worker("w1"), make_worker("w2")}, {{job, progress, false}});

    // when: w1 lists only the first
    scheduler.answer_look("w1", {{{"j1", 0, 0, 0}, 3, {}, 100, 0}});
    scheduler.answer_look("w2");
    scheduler.run(scheduler.now_ms + 50);

    // then
    cr_assert(scheduler.stops.empty());
    cr_assert(scheduler.starts.size() == 1);
    cr_assert(scheduler.starts[0].task.index == 1);
    cr_assert(scheduler.starts[0].run == 2);
}

Test(cell_recovery, a_new_owner_waits_for_a_worker_that_does_not_answer)
{
    // given
    const jobs::job job = make_job("j1");
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"gone", 1}, {}};
    fixture scheduler({make_worker("w1")}, {{job, progress, false}});
    scheduler.answer_look("w1");
    const auto wait = scheduler_options{}.inherited_lease.count();

    // when, then
    scheduler.run(wait - 100);
    cr_assert(scheduler.starts.empty());
    scheduler.run(wait + 100);
    scheduler.run(wait + 200);
    cr_assert(scheduler.starts.size() == 1);
    cr_assert(scheduler.starts[0].run == 2);
}

Test(cell_recovery, runs_that_nobody_asked_for_are_stopped)
{
    // given
    fixture scheduler;

    // when
    scheduler.answer_look("w1", {{{"unknown", 0, 0, 0}, 1, {}, 100, 0}});

    // then
    cr_assert(scheduler.stops.size() == 1);
    cr_assert(scheduler.stops[0].task.job == "unknown");
}

Test(cell_recovery, without_authority_nothing_starts_and_leases_are_not_extended)
{
    // given
    scheduler lapsed(scheduler_options{});
    lapsed.extend_authority(at(100));
    lapsed.restore({}, at(0));
    lapsed.update_workers({make_worker("w1")}, at(0));
    lapsed.tick(at(0), start_unix_ms);
    lapsed.take_actions();
    worker_report report;
    report.started_at_ms = 1;
    report.clock_ms = 7000;
    lapsed.handle_poll_result({{"w1", 1}, at(0), command_outcome::accepted, report}, at(10));
    lapsed.take_actions();

    // when
    lapsed.submit_job(make_job("j1"), at(3000));
    lapsed.tick(at(3000), start_unix_ms);
    report.clock_ms = 10000;
    lapsed.handle_poll_result({{"w1", 1}, at(2000), command_outcome::accepted, report}, at(3010));
    lapsed.tick(at(3050), start_unix_ms);

    // then: a lease ends `hold_time` after the authority did, on the worker's clock
    const auto latest = 7000 + (100 - 10) + scheduler_options{}.lease_duration.count();
    for (const action& each : lapsed.take_actions()) {
        cr_assert(!std::holds_alternative<start_command>(each));
        cr_assert(!std::holds_alternative<journal_write>(each));
        if (const auto* poll = std::get_if<poll_command>(&each)) {
            cr_assert(poll->deadline_ms.value_or(0) <= latest);
        }
    }
}

Test(cell_recovery, a_worker_that_has_a_newer_owner_deposes_this_one)
{
    // given
    fixture scheduler;

    // when
    scheduler.decides.handle_poll_result({{"w1", 1}, scheduler.now(), command_outcome::fenced, {}},
                                         scheduler.now());

    // then
    cr_assert(scheduler.decides.is_fenced());
}

Test(cell_recovery, an_evacuation_takes_away_no_more_than_the_budget)
{
    // given: two tasks of a lasting step, one of which may be away
    fixture scheduler;
    scheduler.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].max_unavailable = 1;
    job.steps[0].max_per_vm = 1;
    scheduler.submit_job(job);
    cr_assert(scheduler.starts.size() == 2);
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
    }
    scheduler.now_ms += 1500;
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_look(each.worker.id, {fixture::running(each)});
    }

    // when
    scheduler.decides.evacuate("w1", scheduler.now());
    scheduler.decides.evacuate("w2", scheduler.now());
    scheduler.run(scheduler.now_ms + 10);

    // then
    cr_assert(scheduler.stops.size() == 1);
}

Test(cell_recovery, a_task_on_a_silent_worker_counts_as_away)
{
    // given: two lasting tasks at work, one of which may be away
    fixture scheduler;
    scheduler.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].max_unavailable = 1;
    job.steps[0].max_per_vm = 1;
    scheduler.submit_job(job);
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_start(each, command_outcome::accepted);
    }
    scheduler.now_ms += 1500;
    for (const start_command& each : std::vector(scheduler.starts)) {
        scheduler.answer_look(each.worker.id, {fixture::running(each)});
    }

    // when
    scheduler.run(scheduler.now_ms + 100);
    scheduler.fail_look("w2");
    scheduler.decides.evacuate("w1", scheduler.now());
    scheduler.run(scheduler.now_ms + 10);

    // then
    cr_assert(scheduler.stops.empty());
}

Test(cell_recovery, a_new_owner_takes_nothing_away_while_an_earlier_ones_stops_may_be_under_way)
{
    // given: two lasting tasks, one of which may be away; both still look at work to a new owner,
    // although the one before may have told a worker to stop its task
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].max_unavailable = 1;
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    progress.tasks[0][0][1] = {task_progress::phase::open, 1, 0, {"w2", 1}, {}};
    fixture scheduler({make_worker("w1"), make_worker("w2")}, {{job, progress, false}});
    const auto answer_both = [&scheduler] {
        scheduler.answer_look("w1", {{{"j1", 0, 0, 0}, 1, {}, 100, 0}});
        scheduler.answer_look("w2", {{{"j1", 0, 0, 1}, 1, {}, 100, 0}});
    };
    answer_both();

    // when
    scheduler.decides.evacuate("w1", scheduler.now());
    scheduler.run(scheduler.now_ms + 50);

    // then
    cr_assert(scheduler.stops.empty());

    // when: such a stop would have shown by now
    scheduler.run(scheduler_options{}.stop_grace.count() + 1000);
    answer_both();
    scheduler.decides.evacuate("w1", scheduler.now());
    scheduler.run(scheduler.now_ms + 50);

    // then
    cr_assert(scheduler.stops.size() == 1);
}

Test(cell_recovery, a_new_owner_moves_lasting_tasks_off_a_worker_that_drains)
{
    // given: an earlier owner's journal says that a lasting task runs on w1, which drains
    jobs::job job = make_job("j1", 1);
    job.steps[0].long_running = true;
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    worker_entry leaving = make_worker("w1");
    leaving.draining = true;
    fixture scheduler({leaving, make_worker("w2")}, {{job, progress, false}});

    // when
    scheduler.answer_look("w2");
    scheduler.answer_look("w1", {{{"j1", 0, 0, 0}, 1, {}, 100, 0}});

    // then
    cr_assert(scheduler.stops.size() == 1);
    cr_assert(scheduler.stops[0].worker.id == "w1");
}

Test(cell_recovery, an_end_that_is_listed_after_the_next_run_began_counts)
{
    // given: a run whose lease ran out while its worker was silent, and the next one on w2
    fixture scheduler;
    scheduler.greet_all();
    scheduler.submit_job(make_job("j1"));
    const start_command first = scheduler.starts.at(0);
    const std::string other = first.worker.id == "w1" ? "w2" : "w1";
    scheduler.answer_start(first, command_outcome::accepted);
    scheduler.fail_look(first.worker.id);
    for (int i = 0; i < 400 && scheduler.starts.size() == 1; ++i) {
        for (const std::string& each : {first.worker.id, other}) {
            if (scheduler.looks.contains(each)) {
                each == other ? scheduler.answer_look(each) : scheduler.fail_look(each);
            }
        }
        scheduler.run(scheduler.now_ms + 50);
    }
    cr_assert(scheduler.starts.size() == 2);
    const start_command second = scheduler.starts[1];
    scheduler.answer_start(second, command_outcome::accepted);

    // when
    scheduler.run(scheduler.now_ms + 300);
    scheduler.answer_look(first.worker.id, {}, {ended(1, first, end_cause::done)});
    scheduler.run(scheduler.now_ms + 50);
    scheduler.run(scheduler.now_ms + 50);

    // then
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::completed);
    cr_assert(scheduler.stops.size() == 1);
    cr_assert(scheduler.stops[0].worker.id == second.worker.id);
    cr_assert(scheduler.stops[0].run == second.run);

    // when: whatever becomes of the run that is not needed
    scheduler.run(scheduler.now_ms + 1500);
    scheduler.answer_look(other, {}, {ended(1, second, end_cause::failed)});
    for (int i = 0; i < 10; ++i) {
        scheduler.run(scheduler.now_ms + 100);
    }

    // then
    cr_assert(scheduler.starts.size() == 2);
    cr_assert(scheduler.decides.all_workers().at(other).runs.empty());
    cr_assert(scheduler.decides.state_of("j1") == jobs::job_state::completed);
}

} // namespace
