#include <cmath>

#include "common/random.h"
#include "scheduling/tests/scheduler_fixture.h"

// Run times that are learned per queue and shape.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

/// Adds run times of about a second, of which 3 in 100 take seven times as long.
void add_tailed(run_time_distribution& times, int count, double scale = 1.0)
{
    common::random_source random(7);
    for (int i = 0; i < count; ++i) {
        const double run_ms = (500 + 1000 * random.unit()) * (random.chance(0.03) ? 7 : 1) * scale;
        times.add(milliseconds(std::llround(run_ms)));
    }
}

bool is_within(milliseconds value, std::int64_t least, std::int64_t most)
{
    return value.count() >= least && value.count() <= most;
}

} // namespace

// Guards against one mean for a distribution with a tail: a reservation needs its upper quantile.
Test(run_times, quantiles_show_the_body_and_the_tail)
{
    run_time_distribution times;
    add_tailed(times, 2000);

    const std::vector<std::tuple<double, std::int64_t, std::int64_t>> cases{
        {0.1, 500, 750}, {0.5, 850, 1150}, {0.9, 1250, 1700}, {0.995, 3500, 12000}};
    for (const auto& [share, least, most] : cases) {
        cr_assert(is_within(times.quantile(share), least, most), "%.3f: %ld", share,
                  static_cast<long>(times.quantile(share).count()));
    }
    cr_assert(times.share_longer(milliseconds(3000)) < 0.09);
    cr_assert(times.share_longer(milliseconds(100)) > 0.99);
}

// Guards against a declared time that is believed for good, or ignored at once.
Test(run_times, the_declared_time_fades_with_the_samples)
{
    duration_estimator durations;
    const milliseconds declared(3000);
    cr_assert(durations.quantile("q", declared, 0.5) == declared);
    cr_assert(durations.quantile("q", declared, 0.95) > 3 * declared);
    milliseconds previous = declared;
    for (int i = 1; i <= 40; ++i) {
        durations.add("q", milliseconds(1000));
        const milliseconds median = durations.quantile("q", declared, 0.5);
        cr_assert(median <= previous, "after %d: %ld", i, static_cast<long>(median.count()));
        previous = median;
    }
    cr_assert(is_within(durations.quantile("q", declared, 0.5), 850, 1050));
    cr_assert(is_within(durations.quantile("q", declared, 0.99), 950, 1050));
}

// Guards against quantiles of the past after a queue's times have changed.
Test(run_times, quantiles_follow_a_tenfold_change)
{
    for (const double factor : {10.0, 0.1}) {
        run_time_distribution times;
        add_tailed(times, 1000);
        add_tailed(times, 80, factor);
        const auto expected = static_cast<std::int64_t>(1000 * factor);
        cr_assert(is_within(times.quantile(0.5), expected / 2, expected * 3 / 2), "%.1f: %ld",
                  factor, static_cast<long>(times.quantile(0.5).count()));
    }
}

// Guards against memory that grows with the sizes and images that callers choose.
Test(run_times, the_number_of_shapes_of_a_queue_is_bounded)
{
    duration_estimator durations;
    std::set<const run_time_distribution*> known;
    for (int i = 0; i < 1000; ++i) {
        jobs::step step;
        step.image = "image-" + std::to_string(i);
        known.insert(&durations.of_shape("q", shape_of(step, 0)));
    }
    cr_assert(known.size() <= 17, "%zu shapes", known.size());
}

// Guards against run times that are none: of a resumed run, and of a run of an earlier owner,
// whose begin is not known.
Test(run_times, resumed_and_inherited_runs_are_no_samples)
{
    for (const bool inherited : {false, true}) {
        stored_job stored{make_job("j"), std::nullopt, false};
        stored.spec.steps[0].checkpoints = true;
        stored.progress = initial_progress(stored.spec);
        task_progress& task = stored.progress->tasks[0][0][0];
        task.run = 1;
        task.checkpoint = inherited ? "" : "half";
        if (inherited) {
            task.state = task_progress::phase::open;
            task.worker = {"w1", 1};
        }
        scheduler_fixture fixture({make_worker("w1")}, {stored});
        start_command start;
        start.task = {"j", 0, 0, 0};
        start.run = 1;
        if (inherited) {
            fixture.answer_poll("w1", {scheduler_fixture::running(start)});
        } else {
            fixture.answer_first_polls();
            fixture.advance(200);
            cr_assert(fixture.starts.size() == 1);
            start = fixture.starts[0];
            fixture.answer_start(start, command_outcome::accepted);
        }
        fixture.advance(700);
        fixture.answer_poll("w1", {}, {make_finished_run(1, start, end_cause::done)});
        cr_assert(fixture.under_test.counters().ends_done == 1);
        cr_assert(fixture.under_test.run_times().summaries(8).empty());
    }
}

// Guards against metrics whose number of labels grows with the queues.
Test(run_times, summaries_name_the_queues_with_most_runs)
{
    duration_estimator durations;
    for (int queue = 0; queue < 50; ++queue) {
        for (int i = 0; i <= queue; ++i) {
            durations.add("q" + std::to_string(queue), milliseconds(1000));
        }
    }
    const auto rows = durations.summaries(8);
    cr_assert(rows.size() == 8);
    cr_assert(rows[0].queue == "q49" && rows[0].samples == 50);
    cr_assert(is_within(rows[0].upper, 850, 1050));
}
