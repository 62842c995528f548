#pragma once

#include "scheduling/tests/scheduler_fixture.h"

namespace chervilslip::scheduling::tests {

/// Replays jobs of several teams in one pool in virtual time, over workers that start what they are
/// told and run it for as long as its job says.
class shared_pool {
public:
    static constexpr std::int64_t step_ms = 10; ///< of virtual time

    shared_pool(const std::map<std::string, double>& weights, std::int64_t worker_count,
                std::int64_t tasks_per_worker, std::vector<stored_job> stored = {},
                milliseconds target = milliseconds(600'000))
        : fixture(workers(worker_count, tasks_per_worker), std::move(stored))
    {
        policy rules;
        rules.version = 2;
        rules.queues["permits"] = make_job("x").policy;
        // Unless told otherwise, all jobs are in time, so that the older ones go first.
        rules.queues["permits"].target = target;
        for (const auto& [team, weight] : weights) {
            rules.teams[team] = {weight, {}};
        }
        this->fixture.under_test.configure(rules);
    }

    static jobs::job make_team_job(const std::string& team, const std::string& id,
                                   std::int64_t tasks, std::int64_t processors = 1000)
    {
        jobs::job job = make_job(id, tasks);
        job.team = team;
        job.steps[0].task_resources = {processors, 0, 0, 0};
        return job;
    }

    /// Submits `count` jobs. Run times differ by job, or all tasks would end at the same times.
    void submit(const std::string& team, int count, std::int64_t mean_run_ms,
                std::int64_t tasks = 1, std::int64_t processors = 1000)
    {
        for (int i = 0; i < count; ++i) {
            const std::string id = "j" + std::to_string(++this->submitted);
            jobs::job job = make_team_job(team, id, tasks, processors);
            job.accepted_ms = start_unix_ms + this->fixture.now_ms;
            this->team_of[id] = team;
            this->run_ms[id] = mean_run_ms * 3 / 4 + this->submitted * 97 % (mean_run_ms / 2);
            this->fixture.under_test.submit_job(job, this->fixture.now());
        }
    }

    /// Lets time pass. Returns the tasks that each team had running, on average.
    std::map<std::string, double> run_for(std::int64_t duration_ms)
    {
        std::map<std::string, double> usage;
        const std::int64_t end = this->fixture.now_ms + duration_ms;
        while (this->fixture.now_ms < end) {
            this->fixture.advance(this->fixture.now_ms + step_ms);
            this->carry_out();
            for (const run_state& each : this->runs) {
                usage[this->team_of.at(each.start.task.job)] +=
                    static_cast<double>(step_ms) / static_cast<double>(duration_ms);
            }
        }
        return usage;
    }

    struct run_state {
        start_command start;
        std::int64_t ends_ms = 0;
    };

    scheduler_fixture fixture;
    std::vector<std::string> started;             ///< jobs, in the order of their starts
    std::map<std::string, std::int64_t> ended_ms; ///< by job
    std::map<std::string, std::int64_t> run_ms;   ///< by job
    std::map<std::string, std::string> team_of;   ///< by job
    std::vector<run_state> runs;

private:
    static std::vector<worker_entry> workers(std::int64_t count, std::int64_t tasks_per_worker)
    {
        std::vector<worker_entry> entries;
        for (std::int64_t i = 0; i < count; ++i) {
            entries.push_back(make_worker("w" + std::to_string(i)));
            entries.back().capacity.processors = 1000 * tasks_per_worker;
        }
        return entries;
    }

    void carry_out()
    {
        for (const start_command& each : std::exchange(this->fixture.starts, {})) {
            this->started.push_back(each.task.job);
            this->runs.push_back({each, this->fixture.now_ms + this->run_ms.at(each.task.job)});
            this->fixture.answer_start(each, command_outcome::accepted);
        }
        std::map<std::string, std::vector<reported_run>> running;
        std::erase_if(this->runs, [&](const run_state& each) {
            const std::string& worker = each.start.worker.id;
            if (each.ends_ms > this->fixture.now_ms) {
                running[worker].push_back(scheduler_fixture::running(each.start));
                return false;
            }
            this->ended_ms[each.start.task.job] = this->fixture.now_ms;
            this->unreported[worker].push_back(
                make_finished_run(++this->ends[worker], each.start, end_cause::done));
            return true;
        });
        for (const auto& [worker, poll] : std::map(this->fixture.polls)) {
            std::erase_if(this->unreported[worker], [&poll = poll](const finished_run& each) {
                return each.number <= poll.acknowledged;
            });
            this->fixture.answer_poll(worker, running[worker], this->unreported[worker]);
        }
    }

    std::int64_t submitted = 0;
    std::map<std::string, std::int64_t> ends; ///< by worker
    std::map<std::string, std::vector<finished_run>> unreported;
};

} // namespace chervilslip::scheduling::tests
