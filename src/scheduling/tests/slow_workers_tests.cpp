#include <cmath>

#include "scheduling/tests/replayed_pool.h"

// Replays loads over workers whose speed changes, in virtual time.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

constexpr int workers = 24;
constexpr int slow_from = 20; ///< a sixth of the workers
constexpr double slow_speed = 0.2;

/// Returns a speed function: workers from `slow_from` on are slow within a time.
auto slow_within(std::int64_t from_ms, std::int64_t until_ms)
{
    return [=](int worker, std::int64_t ms) {
        return worker >= slow_from && ms >= from_ms && ms < until_ms ? slow_speed : 1.0;
    };
}

/// Advances a pool, and returns the most workers that counted as slow at a time.
std::int64_t most_slow(replayed_pool& pool, std::int64_t until_ms)
{
    std::int64_t most = 0;
    pool.after_step = [&most](replayed_pool& each) {
        most = std::max(most, each.slow_workers(0, workers));
    };
    pool.run_until(until_ms);
    return most;
}

std::int64_t count_records(const replayed_pool& pool, decision_record::kind kind)
{
    const auto& records = pool.owner->records;
    return std::count_if(records.begin(), records.end(),
                         [kind](const decision_record& each) { return each.event == kind; });
}

const std::vector<replayed_load> normal_loads{
    {.slots = 4, .load = 0.7},
    {.slots = 4, .load = 1.3, .seed = 2},
    {.slots = 16, .load = 0.7, .run_ms = 300, .seed = 3},
    {.slots = 1, .load = 0.9, .tasks = 1, .seed = 4},
};

} // namespace

// Guards against workers that are called slow by chance, by a whole job of long tasks, or because
// their runs are far from their data.
Test(slow_workers, neither_a_tail_nor_far_data_makes_a_worker_slow)
{
    for (replayed_load load : normal_loads) {
        for (const auto& [far_factor, is_known] :
             {std::pair{1.0, false}, {3.0, false}, {3.0, true}}) {
            load.tail = 0.03;
            load.far_factor = far_factor;
            load.is_far_known = is_known;
            replayed_pool pool(load);
            const std::int64_t most = most_slow(pool, 60'000);
            cr_assert(most == 0, "slots %ld, load %.1f, far %.0f: %ld slow",
                      static_cast<long>(load.slots), load.load, far_factor,
                      static_cast<long>(most));
            // Far runs don't count as long ones, neither with a known factor nor without.
            const milliseconds upper = pool.owner->under_test.run_times().quantile(
                "permits", shape_of(make_job("x").steps[0], 0), milliseconds(0), 0.9);
            cr_assert(upper.count() < 2 * load.run_ms, "slots %ld, far %.0f: %ld",
                      static_cast<long>(load.slots), far_factor, static_cast<long>(upper.count()));
        }
    }
}

// Guards against any change of placement where nobody is slow. The digests of the sequence of start
// commands are those of the scheduler before it judged speed.
Test(slow_workers, nothing_changes_while_all_workers_run_at_the_expected_speed)
{
    const std::vector<std::uint64_t> before{3680857070658289137U, 5033908885301949630U,
                                            657457380344215013U, 9526487458154338730U};
    for (std::size_t i = 0; i < normal_loads.size(); ++i) {
        replayed_load load = normal_loads[i];
        load.cheap_share = 0.2;
        replayed_pool pool(load);
        pool.run_until(20'000);
        cr_assert(pool.digest() == before[i], "load %zu: %lu", i,
                  static_cast<unsigned long>(pool.digest()));
    }
}

// Guards against work with little slack on a worker that runs at a fifth of its speed. A worker
// with one run at a time is left out: the evidence of four runs comes one after the other.
Test(slow_workers, a_slow_worker_gets_less_than_a_tenth_of_the_work_with_little_slack)
{
    for (replayed_load load : normal_loads) {
        if (load.slots == 1) {
            continue;
        }
        for (const double tail : {0.0, 0.03}) {
            load.tail = tail;
            replayed_pool pool(load);
            pool.speed = slow_within(10'000, 1'000'000);
            pool.run_until(40'000);
            const double slow = pool.mean_starts(slow_from, workers, 12'000, 40'000);
            const double normal = pool.mean_starts(0, slow_from, 12'000, 40'000);
            cr_assert(slow <= normal / 10, "slots %ld, load %.1f, tail %.2f: %.2f of %.2f",
                      static_cast<long>(load.slots), load.load, tail, slow, normal);
            cr_assert(pool.slow_workers(0, slow_from) == 0);
        }
    }
}

// Guards against workers that are avoided for good, or for long where cheap work can try them.
Test(slow_workers, a_worker_is_used_again_soon_after_its_recovery)
{
    for (const double cheap_share : {0.0, 0.3}) {
        replayed_load load{.slots = 4, .load = 0.9, .cheap_share = cheap_share};
        replayed_pool pool(load);
        pool.speed = slow_within(10'000, 20'000);
        std::int64_t last_slow_ms = 0;
        pool.after_step = [&last_slow_ms](replayed_pool& each) {
            last_slow_ms = each.slow_workers(0, workers) > 0 ? each.owner->now_ms : last_slow_ms;
        };
        pool.run_until(45'000);
        const std::int64_t most_ms = cheap_share > 0 ? 5'000 : 12'000;
        cr_assert(last_slow_ms > 12'000);
        cr_assert(last_slow_ms < 20'000 + most_ms, "cheap %.1f: slow until %ld", cheap_share,
                  static_cast<long>(last_slow_ms));
        replayed_pool untroubled(load);
        untroubled.run_until(45'000);
        const double again = pool.mean_starts(slow_from, workers, 32'000, 45'000);
        const double usual = untroubled.mean_starts(slow_from, workers, 32'000, 45'000);
        cr_assert(again > 0.8 * usual, "cheap %.1f: %.2f of %.2f", cheap_share, again, usual);
        const std::int64_t slow = count_records(pool, decision_record::kind::worker_slow);
        const std::int64_t recovered = count_records(pool, decision_record::kind::worker_recovered);
        cr_assert(slow == workers - slow_from && recovered == slow, "cheap %.1f: %ld, %ld",
                  cheap_share, static_cast<long>(slow), static_cast<long>(recovered));
    }
}

// Guards against workers that are avoided because the run times of a queue, or the speed of the
// whole pool, have changed: the others would be overloaded.
Test(slow_workers, a_change_of_the_whole_pool_makes_no_worker_slow)
{
    for (const replayed_load& load : normal_loads) {
        for (const bool is_pool_slow : {false, true}) {
            replayed_pool pool(load);
            if (is_pool_slow) {
                pool.speed = [](int, std::int64_t ms) {
                    return ms < 15'000 ? 1.0 : slow_speed;
                };
            }
            pool.run_until(15'000);
            pool.load.run_ms *= is_pool_slow ? 1 : 10;
            pool.load.load /= is_pool_slow ? 5 : 1;
            const std::int64_t most = most_slow(pool, 45'000);
            cr_assert(most <= 1, "slots %ld, pool slow: %d, %ld slow",
                      static_cast<long>(load.slots), static_cast<int>(is_pool_slow),
                      static_cast<long>(most));
        }
    }
}

// Guards against an owner that takes the runs it inherits for short ones, or for evidence, and
// against one that does not learn.
Test(slow_workers, a_new_owner_finds_the_slow_workers_again)
{
    replayed_pool pool({.slots = 4, .load = 0.7, .tail = 0.03});
    pool.speed = slow_within(10'000, 1'000'000);
    pool.run_until(20'000);
    cr_assert(pool.slow_workers(slow_from, workers) == workers - slow_from);
    pool.take_over();
    cr_assert(pool.slow_workers(0, workers) == 0);
    pool.run_until(40'000);
    cr_assert(pool.slow_workers(slow_from, workers) == workers - slow_from);
    cr_assert(pool.slow_workers(0, slow_from) == 0);
    const double slow = pool.mean_starts(slow_from, workers, 28'000, 40'000);
    const double normal = pool.mean_starts(0, slow_from, 28'000, 40'000);
    cr_assert(slow <= normal / 10, "%.2f of %.2f", slow, normal);
}

// Guards against copies of runs that would end later than the run itself: of normal ones, and of
// those near the end of the tail.
Test(slow_workers, a_straggler_is_a_run_that_a_fresh_one_would_overtake)
{
    run_time_distribution times;
    for (int i = 0; i < 200; ++i) {
        times.add(milliseconds(500 + 5 * (i * 37 % 200)));
    }
    worker_speed speeds;
    speeds.refresh(times);
    const std::vector<std::tuple<speed_verdict, std::int64_t, bool>> cases{
        {speed_verdict::normal, 1000, false}, {speed_verdict::normal, 1500, false},
        {speed_verdict::normal, 2200, true},  {speed_verdict::normal, 5000, true},
        {speed_verdict::normal, 9900, false}, {speed_verdict::slow, 1500, false},
        {speed_verdict::slow, 2200, true},    {speed_verdict::slow, 7000, false}};
    for (const auto& [verdict, age_ms, expected] : cases) {
        speed_record worker;
        worker.verdict = verdict;
        judged_run run;
        run.shape = &speeds.reference_of(times);
        run.begun_at = time_at(0);
        cr_assert(worker_speed::is_straggler(worker, run, time_at(age_ms)) == expected,
                  "verdict %d, age %ld", static_cast<int>(verdict), static_cast<long>(age_ms));
    }
}
