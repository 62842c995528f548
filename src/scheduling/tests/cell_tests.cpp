#include "scheduling/tests/cell_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

finished_row ended(std::int64_t number, const start_order& order, end_cause cause)
{
    return {number, order.task, order.run, cause, {}};
}

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

Test(cell, an_unanswered_start_runs_nowhere_else_until_it_can_not_happen)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order start = cell.starts.at(0);
    const std::string worker = start.worker.id;

    // when: the worker does not list it before the start's deadline
    cell.answer_start(start, verdict::unknown);
    cell.now_ms += 100;
    cell.answer_look(worker);
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.size() == 1);

    // when: it does not list it after the deadline either
    cell.now_ms += 2000;
    cell.answer_look(worker);
    cell.run(cell.now_ms + 200);

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.starts[1].run == 2);
}

Test(cell, a_silent_workers_task_waits_for_its_lease)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order start = cell.starts.at(0);
    const std::string worker = start.worker.id;
    const std::string other = worker == "w1" ? "w2" : "w1";
    cell.answer_start(start, verdict::accepted);

    // when
    const auto held_until = cell.decides.all_workers().at(worker).runs_until;
    cell.fail_look(worker);
    while (cell.now() < held_until) {
        cr_assert(cell.starts.size() == 1);
        if (cell.looks.contains(worker)) {
            cell.fail_look(worker);
        }
        if (cell.looks.contains(other)) {
            cell.answer_look(other);
        }
        cell.run(cell.now_ms + 50);
    }
    for (int i = 0; i < 4; ++i) {
        cell.run(cell.now_ms + 50);
    }

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.starts[1].worker.id == other);
}

Test(cell, an_end_that_is_listed_late_saves_the_next_run)
{
    // given: a run whose lease ran out while its worker was silent, and no room elsewhere
    fixture cell({make_worker("w1")});
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order start = cell.starts.at(0);
    cell.answer_start(start, verdict::accepted);
    cell.fail_look("w1");
    while (cell.now() < cell.decides.all_workers().at("w1").runs_until) {
        if (cell.looks.contains("w1")) {
            cell.fail_look("w1");
        }
        cell.run(cell.now_ms + 50);
    }

    // when
    cell.run(cell.now_ms + 300);
    cell.answer_look("w1", {}, {ended(1, start, end_cause::done)});
    cell.run(cell.now_ms + 50);
    cell.run(cell.now_ms + 50);

    // then
    cr_assert(cell.starts.size() == 1);
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::completed);
}

Test(cell, a_later_life_proves_that_the_earlier_ended)
{
    // given
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order start = cell.starts.at(0);
    cell.answer_start(start, verdict::accepted);

    // when
    worker_entry reborn = make_worker(start.worker.id);
    reborn.life.born_ms = 2;
    const worker_entry other = make_worker(start.worker.id == "w1" ? "w2" : "w1");
    cell.decides.see_workers({reborn, other}, cell.now());
    cell.run(cell.now_ms + 100);

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.starts[1].worker.id == other.life.id);
}

Test(cell, the_entry_of_an_ended_life_is_left_out)
{
    // given
    fixture cell;
    worker_entry later = make_worker("w3");
    later.vm = "vm-w1";
    later.life.born_ms = 5;

    // when
    cell.decides.see_workers({make_worker("w1"), make_worker("w2"), later}, cell.now());
    cell.decides.see_workers({make_worker("w1"), make_worker("w2"), later}, cell.now());
    cell.run(cell.now_ms + 10);

    // then
    cr_assert(!cell.decides.all_workers().contains("w1") ||
              !cell.decides.all_workers().at("w1").listed);
    cr_assert(cell.decides.all_workers().at("w3").listed);
}

Test(cell, a_new_owner_adopts_what_runs_and_restarts_what_never_began)
{
    // given: an earlier owner's journal says that two tasks may run on w1
    const jobs::job job = make_job("j1", 2);
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 3, 0, {"w1", 1}, {}};
    progress.tasks[0][0][1] = {task_progress::phase::open, 1, 0, {"w1", 1}, {}};
    fixture cell({make_worker("w1"), make_worker("w2")}, {{job, progress, false}});

    // when: w1 lists only the first
    cell.answer_look("w1", {{{"j1", 0, 0, 0}, 3, {}, 100, 0}});
    cell.answer_look("w2");
    cell.run(cell.now_ms + 50);

    // then
    cr_assert(cell.stops.empty());
    cr_assert(cell.starts.size() == 1);
    cr_assert(cell.starts[0].task.index == 1);
    cr_assert(cell.starts[0].run == 2);
}

Test(cell, a_new_owner_waits_for_a_worker_that_does_not_answer)
{
    // given
    const jobs::job job = make_job("j1");
    job_progress progress = initial_progress(job);
    progress.tasks[0][0][0] = {task_progress::phase::open, 1, 0, {"gone", 1}, {}};
    fixture cell({make_worker("w1")}, {{job, progress, false}});
    cell.answer_look("w1");
    const auto wait = cell_options{}.inherited_hold.count();

    // when, then
    cell.run(wait - 100);
    cr_assert(cell.starts.empty());
    cell.run(wait + 100);
    cell.run(wait + 200);
    cr_assert(cell.starts.size() == 1);
    cr_assert(cell.starts[0].run == 2);
}

Test(cell, runs_that_nobody_asked_for_are_stopped)
{
    // given
    fixture cell;

    // when
    cell.answer_look("w1", {{{"unknown", 0, 0, 0}, 1, {}, 100, 0}});

    // then
    cr_assert(cell.stops.size() == 1);
    cr_assert(cell.stops[0].task.job == "unknown");
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
    rules.queues["permits"] = make_job("x").terms;
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

Test(cell, without_authority_nothing_starts_and_leases_are_not_extended)
{
    // given
    cell lapsed(cell_options{});
    lapsed.extend_authority(at(100));
    lapsed.restore({}, at(0));
    lapsed.see_workers({make_worker("w1")}, at(0));
    lapsed.tick(at(0), start_unix_ms);
    lapsed.take_actions();
    look_report report;
    report.born_ms = 1;
    report.clock_ms = 7000;
    lapsed.take_look({{"w1", 1}, at(0), verdict::accepted, report}, at(10));
    lapsed.take_actions();

    // when
    lapsed.take_job(make_job("j1"), at(3000));
    lapsed.tick(at(3000), start_unix_ms);
    report.clock_ms = 10000;
    lapsed.take_look({{"w1", 1}, at(2000), verdict::accepted, report}, at(3010));
    lapsed.tick(at(3050), start_unix_ms);

    // then: a lease ends `hold_time` after the authority did, on the worker's clock
    const auto latest = 7000 + (100 - 10) + cell_options{}.hold_time.count();
    for (const action& each : lapsed.take_actions()) {
        cr_assert(!std::holds_alternative<start_order>(each));
        cr_assert(!std::holds_alternative<journal_order>(each));
        if (const auto* look = std::get_if<look_order>(&each)) {
            cr_assert(look->deadline_ms.value_or(0) <= latest);
        }
    }
}

Test(cell, a_worker_that_has_a_newer_owner_deposes_this_one)
{
    // given
    fixture cell;

    // when
    cell.decides.take_look({{"w1", 1}, cell.now(), verdict::fenced, {}}, cell.now());

    // then
    cr_assert(cell.decides.is_fenced());
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

Test(cell, an_evacuation_takes_away_no_more_than_the_budget)
{
    // given: two tasks of a lasting step, one of which may be away
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].may_be_away = 1;
    job.steps[0].max_per_vm = 1;
    cell.take_job(job);
    cr_assert(cell.starts.size() == 2);
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
    }
    cell.now_ms += 1500;
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_look(each.worker.id, {fixture::running(each)});
    }

    // when
    cell.decides.evacuate("w1", cell.now());
    cell.decides.evacuate("w2", cell.now());
    cell.run(cell.now_ms + 10);

    // then
    cr_assert(cell.stops.size() == 1);
}

Test(cell, a_task_on_a_silent_worker_counts_as_away)
{
    // given: two lasting tasks at work, one of which may be away
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].may_be_away = 1;
    job.steps[0].max_per_vm = 1;
    cell.take_job(job);
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_start(each, verdict::accepted);
    }
    cell.now_ms += 1500;
    for (const start_order& each : std::vector(cell.starts)) {
        cell.answer_look(each.worker.id, {fixture::running(each)});
    }

    // when
    cell.run(cell.now_ms + 100);
    cell.fail_look("w2");
    cell.decides.evacuate("w1", cell.now());
    cell.run(cell.now_ms + 10);

    // then
    cr_assert(cell.stops.empty());
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
