#include "scheduling/tests/scheduler_fixture.h"

// Counts what the owner does for its decisions, in virtual time.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

std::vector<worker_entry> make_workers(int count)
{
    std::vector<worker_entry> entries;
    for (int i = 0; i < count; ++i) {
        entries.push_back(make_worker("w" + std::to_string(i)));
    }
    return entries;
}

/// Returns the rounds of a second in which an event frees or needs capacity every millisecond.
std::uint64_t rounds_of_a_busy_second(int workers)
{
    scheduler_fixture fixture(make_workers(workers));
    fixture.answer_first_polls();
    const auto before = fixture.under_test.counters().dispatch_rounds;
    constexpr std::int64_t second = 1000;
    const std::int64_t begin = fixture.now_ms + second;
    for (std::int64_t ms = 0; ms < second; ++ms) {
        const steady_time now = time_at(begin + ms);
        fixture.under_test.submit_job(make_job("j" + std::to_string(ms)), now);
        fixture.under_test.react(now, start_unix_ms + begin + ms);
    }
    return fixture.under_test.counters().dispatch_rounds - before;
}

/// Returns the journal writes of a second in which a job is submitted and another one cancelled
/// every two milliseconds.
int writes_of_a_busy_second(milliseconds window)
{
    scheduler_fixture fixture(make_workers(4));
    fixture.answer_first_polls();
    scheduler& under_test = fixture.under_test;
    under_test.set_batch_window(window);
    int writes = 0;
    for (std::int64_t ms = 2; ms < 1000; ms += 2) {
        const steady_time now = time_at(fixture.now_ms + ms);
        under_test.submit_job(make_job("j" + std::to_string(ms)), now);
        under_test.cancel_job("j" + std::to_string(ms - 2), now);
        under_test.tick(now, start_unix_ms + fixture.now_ms + ms);
        for (const action& each : under_test.take_actions()) {
            if (const auto* write = std::get_if<journal_write>(&each)) {
                ++writes;
                under_test.handle_journal_commit(write->batch, now);
            }
        }
    }
    return writes;
}

/// Returns the lines that the owner of a large fleet logs while jobs are submitted and cancelled.
int lines_of_cancelled_jobs(int jobs, milliseconds window)
{
    scheduler_fixture fixture(make_workers(200));
    fixture.answer_first_polls();
    fixture.under_test.set_batch_window(window);
    int lines = 0;
    for (int i = 0; i < jobs; ++i) {
        const std::string id = "j" + std::to_string(i);
        fixture.under_test.submit_job(make_job(id), fixture.now());
        fixture.under_test.cancel_job(id, fixture.now());
        for (const action& each : fixture.under_test.take_actions()) {
            lines += std::holds_alternative<decision_record>(each) ? 1 : 0;
        }
    }
    return lines;
}

} // namespace

Test(dispatch_cost, only_traced_jobs_are_logged_while_the_owner_lags)
{
    constexpr int jobs = 1000;
    const int calm = lines_of_cancelled_jobs(jobs, milliseconds(0));
    const int lagging = lines_of_cancelled_jobs(jobs, milliseconds(10));
    cr_assert(calm >= jobs, "%d lines", calm);
    cr_assert(lagging > 0);
    cr_assert(lagging < jobs / 10, "%d lines", lagging);
}

Test(dispatch_cost, a_worker_is_polled_when_due_though_all_are_scanned_less_often)
{
    constexpr std::int64_t poll_gap_ms = 25;
    scheduler_fixture fixture(make_workers(1100));
    fixture.answer_first_polls();
    fixture.advance(fixture.now_ms + 200);
    for (int i = 0; i < 20; ++i) {
        const std::string id = "w" + std::to_string(i);
        cr_assert(fixture.polls.contains(id));
        fixture.answer_poll(id);
        cr_assert(!fixture.polls.contains(id));
        fixture.advance(fixture.now_ms + poll_gap_ms - 1);
        cr_assert(!fixture.polls.contains(id), "%s is polled too early", id.c_str());
        fixture.advance(fixture.now_ms + 1);
        cr_assert(fixture.polls.contains(id), "%s is not polled in time", id.c_str());
    }
}

Test(dispatch_cost, journal_writes_become_fewer_when_the_owner_lags)
{
    const int calm = writes_of_a_busy_second(milliseconds(0));
    const int lagging = writes_of_a_busy_second(milliseconds(40));
    cr_assert(lagging * 2 < calm, "%d of %d writes", lagging, calm);
    cr_assert(lagging > 0);
}

Test(dispatch_cost, rounds_are_rarer_the_more_workers_a_round_visits)
{
    const std::uint64_t small = rounds_of_a_busy_second(2);
    const std::uint64_t large = rounds_of_a_busy_second(1100);
    cr_assert(small >= 40, "%lu rounds", static_cast<unsigned long>(small));
    cr_assert(large <= 64, "%lu rounds", static_cast<unsigned long>(large));
}

Test(dispatch_cost, jobs_that_wait_for_an_earlier_step_are_not_ranked)
{
    constexpr int jobs = 20;
    scheduler_fixture fixture(make_workers(jobs));
    fixture.answer_first_polls();
    for (int i = 0; i < jobs; ++i) {
        jobs::job job = make_job("j" + std::to_string(i), 2);
        job.steps.push_back(job.steps.front());
        job.steps.back().after = {0};
        fixture.submit_job(job);
    }
    fixture.advance(fixture.now_ms + 100);
    cr_assert(fixture.starts.size() == 2 * jobs);
    const auto before = fixture.under_test.counters();
    for (int round = 1; round <= 10; ++round) {
        fixture.advance(fixture.now_ms + 100);
    }
    const auto after = fixture.under_test.counters();
    cr_assert(after.dispatch_rounds > before.dispatch_rounds);
    cr_assert(after.jobs_ranked == before.jobs_ranked, "%lu ranked",
              static_cast<unsigned long>(after.jobs_ranked - before.jobs_ranked));
}
