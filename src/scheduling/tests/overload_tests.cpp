#include <cmath>
#include <map>

#include "common/random.h"
#include "scheduling/tests/scheduler_fixture.h"

// Replays load beyond the size of a pool in virtual time, over workers that start what they are
// told, and counts the jobs that end within their objective.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

constexpr std::int64_t worker_count = 12;
constexpr std::int64_t tasks_per_worker = 4; ///< that run at the same time
constexpr std::int64_t tasks_per_step = 6;
constexpr double mean_steps = 1.5; ///< a job has one step or two
constexpr std::int64_t mean_run_ms = 800;
constexpr std::int64_t step_ms = 10; ///< of virtual time

/// A pool under a load that is a multiple of what it can run.
class overloaded_pool {
public:
    explicit overloaded_pool(std::uint64_t seed) : random(seed), fixture(workers())
    {
        this->fixture.answer_first_polls();
    }

    /// Submits jobs for `duration_ms` at `load` times the pool's capacity, and lets all end.
    /// Returns the share of the jobs that ended within their objective.
    double run(double load, std::int64_t duration_ms)
    {
        const double tasks_per_ms =
            static_cast<double>(worker_count * tasks_per_worker) / static_cast<double>(mean_run_ms);
        const double jobs_per_step =
            load * tasks_per_ms / (mean_steps * static_cast<double>(tasks_per_step)) * step_ms;
        double due = 0;
        const std::int64_t begin = this->fixture.now_ms;
        while (this->fixture.now_ms < begin + duration_ms || !this->runs.empty()) {
            if (this->fixture.now_ms < begin + duration_ms) {
                for (due += jobs_per_step; due >= 1; due -= 1) {
                    this->submit();
                }
            }
            this->fixture.advance(this->fixture.now_ms + step_ms);
            this->carry_out();
        }
        return static_cast<double>(this->in_time) / static_cast<double>(this->submitted);
    }

private:
    struct submitted_job {
        std::int64_t submitted_ms = 0;
        std::int64_t run_ms = 0; ///< of each task
        std::int64_t steps = 1;
        std::int64_t open_tasks = 0;
    };

    struct run_state {
        start_command start;
        std::int64_t ends_ms = 0;
    };

    static std::vector<worker_entry> workers()
    {
        std::vector<worker_entry> entries;
        for (std::int64_t i = 0; i < worker_count; ++i) {
            entries.push_back(make_worker("w" + std::to_string(i)));
            entries.back().capacity.processors = 1000 * tasks_per_worker;
        }
        return entries;
    }

    void submit()
    {
        jobs::job job = make_job("j" + std::to_string(++this->submitted), tasks_per_step);
        job.accepted_ms = start_unix_ms + this->fixture.now_ms;
        job.steps[0].estimate = milliseconds(mean_run_ms);
        submitted_job& known = this->jobs[job.id];
        known.submitted_ms = this->fixture.now_ms;
        // Run times differ by job from half to one and a half times the mean.
        known.run_ms = mean_run_ms / 2 + static_cast<std::int64_t>(this->random.below(mean_run_ms));
        if (this->random.chance(0.5)) {
            job.steps.push_back(job.steps[0]);
            job.steps[1].after = {0};
            known.steps = 2;
        }
        known.open_tasks = known.steps * tasks_per_step;
        this->fixture.under_test.submit_job(job, this->fixture.now());
    }

    void carry_out()
    {
        for (const start_command& each : std::exchange(this->fixture.starts, {})) {
            this->runs.push_back(
                {each, this->fixture.now_ms + this->jobs.at(each.task.job).run_ms});
            this->fixture.answer_start(each, command_outcome::accepted);
        }
        std::map<std::string, std::vector<reported_run>> running;
        std::map<std::string, std::vector<finished_run>> ended;
        std::erase_if(this->runs, [&](const run_state& each) {
            const std::string& worker = each.start.worker.id;
            if (each.ends_ms > this->fixture.now_ms) {
                running[worker].push_back(scheduler_fixture::running(each.start));
                return false;
            }
            this->handle_end(each.start.task.job);
            ended[worker].push_back(
                make_finished_run(++this->ends[worker], each.start, end_cause::done));
            return true;
        });
        for (const auto& [worker, poll] : std::map(this->fixture.polls)) {
            this->unreported[worker].insert(this->unreported[worker].end(), ended[worker].begin(),
                                            ended[worker].end());
            ended.erase(worker);
            std::erase_if(this->unreported[worker], [&poll = poll](const finished_run& each) {
                return each.number <= poll.acknowledged;
            });
            this->fixture.answer_poll(worker, running[worker], this->unreported[worker]);
        }
        for (auto& [worker, rows] : ended) {
            this->unreported[worker].insert(this->unreported[worker].end(), rows.begin(),
                                            rows.end());
        }
    }

    void handle_end(const std::string& id)
    {
        submitted_job& job = this->jobs.at(id);
        if (--job.open_tasks > 0) {
            return;
        }
        const jobs::queue_policy policy = make_job("x").policy;
        const double objective = policy.stretch * static_cast<double>(job.steps * job.run_ms) +
                                 static_cast<double>(policy.target.count());
        this->in_time += static_cast<double>(this->fixture.now_ms - job.submitted_ms) <= objective;
    }

    common::random_source random;
    scheduler_fixture fixture;
    std::map<std::string, submitted_job> jobs;
    std::vector<run_state> runs;
    std::map<std::string, std::int64_t> ends; ///< by worker
    std::map<std::string, std::vector<finished_run>> unreported;
    std::int64_t submitted = 0;
    std::int64_t in_time = 0;
};

Test(overload, a_turn_of_demand_beyond_the_pool_serves_most_of_what_the_pool_can_run)
{
    for (const double load : {2.0, 3.0}) {
        // given a turn of eight seconds at a multiple of the pool's capacity
        const double attainable = 1.0 / load;
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            overloaded_pool pool(seed);

            // when
            const double in_time = pool.run(load, 8000);

            // then at least two thirds of what the pool can run are in time
            cr_assert(in_time > attainable * 2 / 3, "load %.1f, seed %lu: %.3f", load,
                      static_cast<unsigned long>(seed), in_time);
        }
    }
}

Test(overload, a_load_within_the_pool_is_served_in_time)
{
    // given, when
    overloaded_pool pool(1);
    const double in_time = pool.run(0.7, 8000);

    // then
    cr_assert(in_time > 0.95, "%.3f", in_time);
}

} // namespace
