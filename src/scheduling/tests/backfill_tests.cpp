#include <cmath>
#include <map>

#include "common/random.h"
#include "scheduling/tests/scheduler_fixture.h"

// Replays large tasks and gangs under a load of small tasks in virtual time, over workers that
// start what they are told.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

constexpr std::int64_t worker_processors = 8000;
constexpr std::int64_t small_processors = 1000;
constexpr std::int64_t small_run_ms = 1000;
constexpr std::int64_t step_ms = 10;
constexpr std::int64_t warm_up_ms = 3000;
constexpr std::int64_t extra_wait_ms = 1000; ///< beyond the runs that hold a VM, by the bound

std::vector<worker_entry> make_pool(std::int64_t workers)
{
    std::vector<worker_entry> entries;
    for (std::int64_t i = 0; i < workers; ++i) {
        entries.push_back(
            make_worker("w" + std::to_string(i), "main", "r" + std::to_string(i / 2)));
        entries.back().capacity = {worker_processors, 16'000, 0, 0};
    }
    return entries;
}

jobs::job make_large_job(const std::string& id, std::int64_t tasks = 1)
{
    jobs::job job = make_job(id, tasks);
    job.queue = "large";
    job.team = "police";
    job.steps[0].task_resources.processors = worker_processors;
    return job;
}

/// A pool of workers under a stream of small tasks that exceeds it.
class contended_pool {
public:
    explicit contended_pool(std::int64_t workers, bool reserves = true,
                            std::vector<stored_job> stored = {})
        : fixture(make_pool(workers), std::move(stored), options_with(reserves))
    {
    }

    void submit(jobs::job job, std::int64_t duration_ms = small_run_ms)
    {
        job.accepted_ms = start_unix_ms + this->fixture.now_ms;
        this->run_ms[job.id] = duration_ms;
        this->submitted_ms[job.id] = this->fixture.now_ms;
        this->fixture.under_test.submit_job(job, this->fixture.now());
    }

    void run_until(std::int64_t end_ms)
    {
        while (this->fixture.now_ms < end_ms) {
            while (this->streams && this->small_waiting < 2 * this->small_slots()) {
                const std::string id = "s" + std::to_string(++this->smalls);
                this->small_waiting += this->tasks_per_job;
                // Run times differ, so a worker never becomes empty by itself.
                this->submit(make_job(id, this->tasks_per_job),
                             small_run_ms * 9 / 10 +
                                 static_cast<std::int64_t>(this->random.below(200)));
            }
            this->fixture.advance(this->fixture.now_ms + step_ms);
            this->carry_out();
        }
    }

    /// Returns the time of a job's first start since it was submitted; -1: none.
    [[nodiscard]] std::int64_t wait_of(const std::string& id) const
    {
        const auto found = this->started_ms.find(id);
        return found == this->started_ms.end() ? -1 : found->second - this->submitted_ms.at(id);
    }

    [[nodiscard]] const reservation_book& book() const
    {
        return this->fixture.under_test.reserved_places();
    }

    /// Returns the workers of the only reservation.
    [[nodiscard]] std::string reserved_worker() const
    {
        cr_assert_eq(this->book().open().size(), 1);
        return this->book().open()[0].places.begin()->first;
    }

    /// Lets a worker run a small task of an earlier owner until `ends_ms`.
    void inherit(const jobs::task_id& task, const std::string& worker, std::int64_t ends_ms)
    {
        start_command start;
        start.task = task;
        start.run = 1;
        start.worker = {worker, 1};
        this->runs.push_back({start, ends_ms});
    }

    scheduler_fixture fixture;
    std::int64_t tasks_per_job = 1;
    bool streams = true;
    std::int64_t small_ends = 0;
    std::set<std::string> silent;          ///< workers that answer no polls
    std::set<std::string> denied;          ///< workers that the advice service does not allow
    std::vector<std::string> advised_jobs; ///< of each call to that service
    std::vector<std::string> sequence;
    std::map<std::string, std::int64_t> started_ms;
    std::map<std::string, std::int64_t> run_ms;
    std::map<std::string, std::string> first_worker;
    std::map<std::string, std::int64_t> starts_of;

private:
    struct run_state {
        start_command start;
        std::int64_t ends_ms = 0;
    };

    static scheduler_options options_with(bool reserves)
    {
        scheduler_options options;
        options.reserves_room = reserves;
        return options;
    }

    [[nodiscard]] std::int64_t small_slots() const
    {
        return static_cast<std::int64_t>(this->fixture.listed.size()) * worker_processors /
               small_processors;
    }

    void carry_out()
    {
        for (const start_command& each : std::exchange(this->fixture.starts, {})) {
            const std::string& job = each.task.job;
            this->sequence.push_back(each.task.to_string() + " on " + each.worker.id);
            ++this->starts_of[job];
            this->started_ms.emplace(job, this->fixture.now_ms);
            this->first_worker.emplace(job, each.worker.id);
            this->small_waiting -= job[0] == 's' ? 1 : 0;
            this->runs.push_back({each, this->fixture.now_ms + this->run_ms.at(job)});
            this->fixture.answer_start(each, command_outcome::accepted);
        }
        for (const advice_request& each : std::exchange(this->fixture.advice, {})) {
            this->advised_jobs.push_back(each.job);
            std::map<std::string, std::string> tickets;
            for (const std::string& worker : each.workers) {
                if (!this->denied.contains(worker)) {
                    tickets[worker] = "ticket";
                }
            }
            this->fixture.under_test.handle_advice(
                {each.job, each.occurrence, each.step, tickets, milliseconds(3000)},
                this->fixture.now());
        }
        std::map<std::string, std::vector<reported_run>> running;
        std::erase_if(this->runs, [&](const run_state& each) {
            const std::string& worker = each.start.worker.id;
            if (each.ends_ms > this->fixture.now_ms) {
                running[worker].push_back(scheduler_fixture::running(each.start));
                return false;
            }
            this->small_ends += each.start.task.job[0] == 's' ? 1 : 0;
            this->unreported[worker].push_back(
                make_finished_run(++this->ends[worker], each.start, end_cause::done));
            return true;
        });
        for (const auto& [worker, poll] : std::map(this->fixture.polls)) {
            if (this->silent.contains(worker)) {
                this->fixture.fail_poll(worker);
                continue;
            }
            std::vector<finished_run>& rows = this->unreported[worker];
            std::erase_if(rows, [acknowledged = poll.acknowledged](const finished_run& each) {
                return each.number <= acknowledged;
            });
            this->fixture.answer_poll(worker, running[worker], rows);
        }
    }

    common::random_source random{1};
    std::vector<run_state> runs;
    std::map<std::string, std::int64_t> ends; ///< by worker
    std::map<std::string, std::vector<finished_run>> unreported;
    std::map<std::string, std::int64_t> submitted_ms;
    std::int64_t smalls = 0;
    std::int64_t small_waiting = 0;
};

/// Guards against large tasks that never find an empty worker. Two tasks as large as a worker begin
/// within the longest run time that holds it and a second, and the small tasks lose little.
Test(backfill, large_tasks_start_in_time_under_a_stream_of_small_ones)
{
    constexpr std::int64_t end_ms = warm_up_ms + 25'000;
    std::map<bool, std::int64_t> small_ends;
    for (const bool reserves : {true, false}) {
        // given
        contended_pool pool(8, reserves);
        pool.run_until(warm_up_ms);

        // when
        pool.submit(make_large_job("l1"));
        pool.submit(make_large_job("l2"));
        pool.run_until(end_ms);

        // then
        small_ends[reserves] = pool.small_ends;
        for (const std::string id : {"l1", "l2"}) {
            const std::int64_t wait = pool.wait_of(id);
            const std::int64_t longest = small_run_ms * 11 / 10;
            cr_assert(reserves ? wait >= 0 && wait <= longest + extra_wait_ms : wait == -1,
                      "%s: %ld ms", id.c_str(), static_cast<long>(wait));
        }
        cr_assert_eq(pool.book().counters().used, reserves ? 2 : 0);
        cr_assert(pool.book().open().empty());
    }
    const auto lost = static_cast<double>(small_ends[false] - small_ends[true]) /
                      static_cast<double>(small_ends[false]);
    cr_assert(lost <= 0.05, "%.3f of the small tasks", lost);
}

/// Guards against a gang whose members never find room at the same time.
Test(backfill, all_members_of_a_gang_start_together)
{
    for (const bool same_rack : {false, true}) {
        contended_pool pool(8);
        pool.run_until(warm_up_ms);
        jobs::job gang = make_large_job("g1", 6);
        gang.steps[0].gang = true;
        gang.steps[0].same_rack = same_rack;
        gang.steps[0].task_resources.processors = worker_processors * 5 / 8;
        pool.submit(gang);
        pool.run_until(warm_up_ms + 4000);

        const std::int64_t wait = pool.wait_of("g1");
        cr_assert(wait >= 0 && wait <= 1100 + 500 + extra_wait_ms, "%ld ms",
                  static_cast<long>(wait));
        cr_assert_eq(pool.book().counters().used, 1);
    }
}

/// Guards against a reservation that waits for a run which goes on far beyond its forecast.
Test(backfill, a_run_that_overstays_its_forecast_moves_the_reservation)
{
    // given: the run on w0 is declared to end first, and lasts
    contended_pool pool(2);
    pool.streams = false;
    pool.run_until(50);
    jobs::job lasting = make_large_job("a", 1);
    lasting.team = "fire"; // the reserving team has less than its share
    lasting.steps[0].estimate = milliseconds(500);
    lasting.steps[0].task_resources.processors = 6000;
    pool.submit(lasting, 60'000);
    pool.run_until(100);
    jobs::job other = lasting;
    other.id = "b";
    other.steps[0].estimate = milliseconds(3000);
    pool.submit(other, 3000);
    pool.run_until(200);
    cr_assert_neq(pool.first_worker.at("a"), pool.first_worker.at("b"));

    // when
    pool.submit(make_large_job("l1"));
    pool.streams = true;
    pool.run_until(900);
    cr_assert_eq(pool.reserved_worker(), pool.first_worker.at("a"));
    pool.run_until(6000);

    // then
    cr_assert_eq(pool.first_worker["l1"], pool.first_worker.at("b"));
    cr_assert_leq(pool.wait_of("l1"), 3000 + extra_wait_ms);
    cr_assert_eq(pool.book().counters().moved, 1);
}

enum class disturbance { drain, cordon, loss };

/// Guards against room that is kept on a worker which can not be used any more.
Test(backfill, a_reservation_leaves_a_worker_that_may_not_be_used)
{
    for (const disturbance each : {disturbance::drain, disturbance::cordon, disturbance::loss}) {
        contended_pool pool(8);
        pool.run_until(warm_up_ms);
        pool.submit(make_large_job("l1"));
        pool.run_until(warm_up_ms + 200);
        const std::string gone = pool.reserved_worker();
        switch (each) {
        case disturbance::drain:
            for (worker_entry& entry : pool.fixture.listed) {
                entry.draining = entry.instance.id == gone;
            }
            pool.fixture.under_test.update_workers(pool.fixture.listed, pool.fixture.now());
            break;
        case disturbance::cordon:
            pool.fixture.under_test.set_cordon(gone, true);
            break;
        case disturbance::loss:
            pool.silent.insert(gone);
            break;
        }
        pool.run_until(warm_up_ms + 3500);

        const std::int64_t wait = pool.wait_of("l1");
        cr_assert(wait >= 0 && wait <= 200 + 1100 + extra_wait_ms, "%ld ms",
                  static_cast<long>(wait));
        cr_assert_neq(pool.first_worker.at("l1"), gone);
        cr_assert_eq(pool.book().counters().given_up, 1);
    }
}

/// Guards against room that is kept on a worker which the advice service denies, and against calls
/// to that service for tasks that may not use the room.
Test(backfill, a_reservation_leaves_a_worker_that_the_advice_service_denies)
{
    contended_pool pool(8);
    pool.run_until(warm_up_ms);
    jobs::job large = make_large_job("l1");
    large.policy.advised = true;
    pool.submit(large);
    while (pool.book().open().empty() && pool.fixture.now_ms < warm_up_ms + 500) {
        pool.run_until(pool.fixture.now_ms + step_ms);
    }
    pool.denied.insert(pool.reserved_worker());
    jobs::job small = make_job("x1"); // only the reserved worker gets room for it
    small.queue = "small";
    small.policy.advised = true;
    small.steps[0].task_resources.processors = worker_processors / 2;
    pool.submit(small);
    while (pool.wait_of("l1") < 0 && pool.fixture.now_ms < warm_up_ms + 2500) {
        pool.run_until(pool.fixture.now_ms + step_ms);
    }

    const std::int64_t wait = pool.wait_of("l1");
    cr_assert(wait >= 0 && wait <= 2 * 1100 + 200, "%ld ms", static_cast<long>(wait));
    cr_assert(!pool.denied.contains(pool.first_worker.at("l1")));
    cr_assert_eq(pool.book().counters().given_up, 1);
    cr_assert(!pool.advised_jobs.empty());
    cr_assert_eq(pool.advised_jobs[0], "l1");
}

/// Guards against room that is kept for a job which has ended.
Test(backfill, a_cancelled_job_keeps_no_room)
{
    contended_pool pool(8);
    pool.run_until(warm_up_ms);
    pool.submit(make_large_job("l1"));
    pool.run_until(warm_up_ms + 200);
    const std::string worker = pool.reserved_worker();

    pool.fixture.under_test.cancel_job("l1", pool.fixture.now());
    pool.run_until(warm_up_ms + 2000);

    cr_assert(pool.book().open().empty());
    cr_assert_eq(pool.fixture.under_test.all_workers().at(worker).free().processors, 0);
}

/// Guards against a new owner that fills up the workers from which the previous one kept small
/// tasks.
Test(backfill, a_new_owner_reserves_anew)
{
    // given: all workers are full of inherited runs, and a large task waits
    constexpr std::int64_t per_worker = worker_processors / small_processors;
    std::vector<stored_job> stored;
    for (int worker = 0; worker < 4; ++worker) {
        const jobs::job job = make_job("s-old-" + std::to_string(worker), per_worker);
        stored.push_back({job, initial_progress(job), false});
        for (task_progress& task : stored.back().progress->tasks[0][0]) {
            task.state = task_progress::phase::open;
            task.run = 1;
            task.worker = {"w" + std::to_string(worker), 1};
        }
    }
    stored.push_back({make_large_job("l1"), std::nullopt, false});
    contended_pool pool(4, true, stored);
    pool.run_ms["l1"] = small_run_ms;
    for (std::int64_t i = 0; i < 4 * per_worker; ++i) {
        const std::string worker = std::to_string(i % 4);
        pool.inherit({"s-old-" + worker, 0, 0, i / 4}, "w" + worker, 300 + i * 20);
    }

    // when
    pool.run_until(3000);

    // then
    const auto started = pool.started_ms.find("l1");
    cr_assert(started != pool.started_ms.end());
    cr_assert_leq(started->second, small_run_ms + extra_wait_ms);
    cr_assert_eq(pool.book().counters().used, 1);
}

/// Guards against changes for pools in which no task is held up.
Test(backfill, without_a_blocked_large_task_the_starts_are_as_without_reservations)
{
    std::map<bool, std::vector<std::string>> sequences;
    for (const bool reserves : {true, false}) {
        contended_pool pool(8, reserves);
        for (int i = 0; i < 4; ++i) { // these find room at once
            pool.submit(make_large_job("l" + std::to_string(i)));
        }
        pool.run_until(8000);
        sequences[reserves] = pool.sequence;
        cr_assert_eq(pool.book().counters().made, 0);
    }
    cr_assert_gt(sequences[true].size(), 100);
    cr_assert(sequences[true] == sequences[false]);
}

/// Guards against a step that waits forever behind smaller tasks of later rank, although its tasks
/// are no larger than half of a worker. Only one of its tasks gets a reservation.
Test(backfill, a_step_that_smaller_tasks_of_later_rank_overtake_gets_room)
{
    std::map<bool, std::int64_t> starts;
    for (const bool reserves : {true, false}) {
        // given: a step that always ranks before the small tasks
        contended_pool pool(4, reserves);
        pool.run_until(warm_up_ms);
        jobs::job medium = make_large_job("m1", 8);
        medium.steps[0].task_resources.processors = worker_processors / 2;
        medium.policy.priority = -1;
        medium.policy.target = milliseconds(100'000);

        // when
        pool.submit(medium);

        // then
        for (std::int64_t ms = 0; ms <= 10'000; ms += 100) {
            pool.run_until(warm_up_ms + ms);
            cr_assert_leq(pool.book().open().size(), 1);
        }
        starts[reserves] = pool.starts_of["m1"];
    }
    cr_assert(starts[true] >= 4 && starts[true] > 2 * starts[false], "%ld and %ld starts",
              static_cast<long>(starts[true]), static_cast<long>(starts[false]));
}

/// Guards against rounds that visit the runs of all workers for the sake of reservations.
Test(backfill, reservations_look_at_few_workers)
{
    constexpr std::int64_t seconds = 2;
    contended_pool pool(350);
    pool.tasks_per_job = 8;
    pool.run_until(1500);
    for (int i = 0; i < 100; ++i) {
        pool.submit(make_large_job("l" + std::to_string(i), 8));
    }
    const reservation_counters before = pool.book().counters();
    std::size_t most_open = 0;
    for (std::int64_t ms = 0; ms < seconds * 1000; ms += 100) {
        pool.run_until(1500 + ms);
        most_open = std::max(most_open, pool.book().open().size());
    }
    const auto forecasts = pool.book().counters().forecasts - before.forecasts;
    cr_assert(most_open > 0 && most_open <= 4, "%lu open", static_cast<unsigned long>(most_open));
    // Ten comparisons a second of 32 workers for each of four reservations, and their refreshes.
    cr_assert(forecasts <= seconds * (10 * 4 * 32 + 20 * 4), "%lu forecasts",
              static_cast<unsigned long>(forecasts));
}

} // namespace
