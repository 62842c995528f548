#include "scheduling/cold_workers.h"
#include "scheduling/placement.h"
#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

worker_entry make_cold_worker(const std::string& id, std::int64_t until_ms)
{
    worker_entry entry = make_worker(id, "main", "rack-" + id);
    entry.capacity = {100'000, 1'000'000, 0, 0};
    entry.cold_until = time_at(until_ms);
    return entry;
}

scheduler_options with_limits()
{
    scheduler_options options;
    options.cold = cold_limits{1.5, 5};
    return options;
}

/// Returns how many tasks were started on a worker.
std::int64_t starts_on(const scheduler_fixture& fixture, const std::string& worker)
{
    return std::count_if(fixture.starts.begin(), fixture.starts.end(),
                         [&worker](const start_command& each) { return each.worker.id == worker; });
}

// Guards against a zone that returns cold and gets all new work because only it has room.
Test(cold_workers, starts_stay_within_the_limit_over_every_interval)
{
    // given: two cold workers with a tenth of their pool's processors each
    worker_map workers;
    workers["warm"].entry = make_cold_worker("warm", 0);
    workers["warm"].entry.capacity.processors *= 8;
    workers["cold-1"].entry = make_cold_worker("cold-1", 60'000);
    workers["cold-2"].entry = make_cold_worker("cold-2", 60'000);
    cold_workers limits(cold_limits{1.5, 5});
    std::vector<std::string> started;
    constexpr int warm_starts = 4;
    constexpr int most_in_round = warm_starts + 5 + 5;

    // when: the cold workers get nothing for many rounds, and then all that they may get
    for (int round = 0; round < 120; ++round) {
        limits.begin_round(workers, time_at(round * 10));
        for (int i = 0; i < warm_starts; ++i) {
            started.emplace_back("warm");
            limits.handle_sent_start("main");
        }
        for (const char* id : {"cold-1", "cold-2"}) {
            while (round % 60 >= 40 && cold_workers::allows(workers[id], {1000, 512, 0, 0}, {})) {
                cold_workers::handle_planned_start(workers[id]);
                limits.handle_sent_start("main");
                started.emplace_back(id);
            }
        }
    }

    // then: starts count for the round after theirs
    for (std::size_t from = 0; from < started.size(); ++from) {
        double on_cold = 0;
        for (std::size_t to = from; to < started.size(); ++to) {
            on_cold += started[to] == "cold-1" ? 1 : 0;
            const auto all = static_cast<double>(to - from + 1);
            cr_assert_leq(on_cold, 1.5 * (all + most_in_round) / 10 + 5);
        }
    }
    cr_assert_gt(std::count(started.begin(), started.end(), "cold-1"), 20);
}

// Guards against warm workers that are limited, and against a limit that outlasts the cold time.
Test(cold_workers, only_cold_workers_are_limited)
{
    struct row {
        std::optional<cold_limits> limits;
        std::int64_t cold_until_ms;
        std::size_t expected;
    };
    const std::vector<row> rows{
        {cold_limits{1.5, 5}, 0, 40},     // warm
        {cold_limits{1.5, 5}, 50, 40},    // warm by then
        {std::nullopt, 60'000, 40},       // a deployment without limits
        {cold_limits{0.0, 5}, 60'000, 5}, // the few beside its proportion
        {cold_limits{0.0, 1}, 60'000, 1},
    };
    for (const row& each : rows) {
        scheduler_options options;
        options.cold = each.limits;
        scheduler_fixture fixture({make_cold_worker("w1", each.cold_until_ms)}, {}, options);
        fixture.answer_first_polls();
        fixture.now_ms = 100;
        fixture.submit_job(make_job("j1", 40));
        fixture.advance(1000);
        cr_assert_eq(fixture.starts.size(), each.expected, "%zu", fixture.starts.size());
    }
}

// Guards against work on a cold worker while a warm one has room.
Test(cold_workers, warm_workers_with_room_come_first)
{
    scheduler_fixture fixture({make_cold_worker("cold", 60'000), make_cold_worker("warm", 0)}, {},
                              with_limits());
    fixture.answer_first_polls();
    fixture.submit_job(make_job("j1", 20));
    cr_assert_eq(starts_on(fixture, "warm"), 20);
}

// Guards against work with little slack on a cold worker, also if its data is there.
Test(cold_workers, work_with_little_slack_takes_a_warm_worker_far_from_its_data)
{
    for (const bool has_slack : {false, true}) {
        scheduler_fixture fixture({make_cold_worker("cold", 60'000), make_cold_worker("warm", 0)},
                                  {}, with_limits());
        fixture.answer_first_polls();
        jobs::job job = make_job("j1");
        job.policy.target = milliseconds(has_slack ? 60'000 : 500);
        job.steps[0].preferred_rack = "rack-cold";
        policy rules;
        rules.version = 2;
        rules.queues["permits"] = job.policy;
        fixture.under_test.configure(rules);
        fixture.submit_job(job);
        cr_assert_eq(starts_on(fixture, has_slack ? "cold" : "warm"), 1);
    }
}

// Guards against a gang that brings a cold worker more tasks at once than it may get.
Test(cold_workers, members_of_a_gang_count_together)
{
    for (const std::int64_t members : {5, 6}) {
        scheduler_fixture fixture({make_cold_worker("w1", 60'000)}, {}, with_limits());
        fixture.answer_first_polls();
        jobs::job gang = make_job("gang", members);
        gang.steps[0].gang = true;
        fixture.submit_job(gang);
        cr_assert_eq(fixture.starts.size(), members <= 5 ? 5 : 0);
    }
}

} // namespace
