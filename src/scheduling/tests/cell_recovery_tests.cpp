#include "scheduling/tests/cell_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

Test(cell_recovery, an_unanswered_start_runs_nowhere_else_until_it_can_not_happen)
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

Test(cell_recovery, a_silent_workers_task_waits_for_its_lease)
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

Test(cell_recovery, an_end_that_is_listed_late_saves_the_next_run)
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

Test(cell_recovery, a_later_life_proves_that_the_earlier_ended)
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

Test(cell_recovery, the_entry_of_an_ended_life_is_left_out)
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

Test(cell_recovery, a_new_owner_adopts_what_runs_and_restarts_what_never_began)
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

Test(cell_recovery, a_new_owner_waits_for_a_worker_that_does_not_answer)
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

Test(cell_recovery, runs_that_nobody_asked_for_are_stopped)
{
    // given
    fixture cell;

    // when
    cell.answer_look("w1", {{{"unknown", 0, 0, 0}, 1, {}, 100, 0}});

    // then
    cr_assert(cell.stops.size() == 1);
    cr_assert(cell.stops[0].task.job == "unknown");
}

Test(cell_recovery, without_authority_nothing_starts_and_leases_are_not_extended)
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

Test(cell_recovery, a_worker_that_has_a_newer_owner_deposes_this_one)
{
    // given
    fixture cell;

    // when
    cell.decides.take_look({{"w1", 1}, cell.now(), verdict::fenced, {}}, cell.now());

    // then
    cr_assert(cell.decides.is_fenced());
}

Test(cell_recovery, an_evacuation_takes_away_no_more_than_the_budget)
{
    // given: two tasks of a lasting step, one of which may be away
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].max_unavailable = 1;
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

Test(cell_recovery, a_task_on_a_silent_worker_counts_as_away)
{
    // given: two lasting tasks at work, one of which may be away
    fixture cell;
    cell.greet_all();
    jobs::job job = make_job("j1", 2);
    job.steps[0].long_running = true;
    job.steps[0].max_unavailable = 1;
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
    fixture cell({make_worker("w1"), make_worker("w2")}, {{job, progress, false}});
    const auto answer_both = [&cell] {
        cell.answer_look("w1", {{{"j1", 0, 0, 0}, 1, {}, 100, 0}});
        cell.answer_look("w2", {{{"j1", 0, 0, 1}, 1, {}, 100, 0}});
    };
    answer_both();

    // when
    cell.decides.evacuate("w1", cell.now());
    cell.run(cell.now_ms + 50);

    // then
    cr_assert(cell.stops.empty());

    // when: such a stop would have shown by now
    cell.run(cell_options{}.stop_grace.count() + 1000);
    answer_both();
    cell.decides.evacuate("w1", cell.now());
    cell.run(cell.now_ms + 50);

    // then
    cr_assert(cell.stops.size() == 1);
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
    fixture cell({leaving, make_worker("w2")}, {{job, progress, false}});

    // when
    cell.answer_look("w2");
    cell.answer_look("w1", {{{"j1", 0, 0, 0}, 1, {}, 100, 0}});

    // then
    cr_assert(cell.stops.size() == 1);
    cr_assert(cell.stops[0].worker.id == "w1");
}

Test(cell_recovery, an_end_that_is_listed_after_the_next_run_began_counts)
{
    // given: a run whose lease ran out while its worker was silent, and the next one on w2
    fixture cell;
    cell.greet_all();
    cell.take_job(make_job("j1"));
    const start_order first = cell.starts.at(0);
    const std::string other = first.worker.id == "w1" ? "w2" : "w1";
    cell.answer_start(first, verdict::accepted);
    cell.fail_look(first.worker.id);
    for (int i = 0; i < 400 && cell.starts.size() == 1; ++i) {
        for (const std::string& each : {first.worker.id, other}) {
            if (cell.looks.contains(each)) {
                each == other ? cell.answer_look(each) : cell.fail_look(each);
            }
        }
        cell.run(cell.now_ms + 50);
    }
    cr_assert(cell.starts.size() == 2);
    const start_order second = cell.starts[1];
    cell.answer_start(second, verdict::accepted);

    // when
    cell.run(cell.now_ms + 300);
    cell.answer_look(first.worker.id, {}, {ended(1, first, end_cause::done)});
    cell.run(cell.now_ms + 50);
    cell.run(cell.now_ms + 50);

    // then
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::completed);
    cr_assert(cell.stops.size() == 1);
    cr_assert(cell.stops[0].worker.id == second.worker.id);
    cr_assert(cell.stops[0].run == second.run);

    // when: whatever becomes of the run that is not needed
    cell.run(cell.now_ms + 1500);
    cell.answer_look(other, {}, {ended(1, second, end_cause::failed)});
    for (int i = 0; i < 10; ++i) {
        cell.run(cell.now_ms + 100);
    }

    // then
    cr_assert(cell.starts.size() == 2);
    cr_assert(cell.decides.all_workers().at(other).runs.empty());
    cr_assert(cell.decides.state_of("j1") == jobs::job_state::completed);
}

} // namespace
