#pragma once

#include <criterion/criterion.h>

#include "scheduling/scheduler.h"

namespace chervilslip::scheduling::tests {

using common::milliseconds;
using common::steady_time;

inline constexpr std::int64_t start_unix_ms = 1'000'000;
inline constexpr std::int64_t worker_clock_offset_ms = 5'000'000; ///< clocks share no origin

inline steady_time at(std::int64_t ms)
{
    return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

inline worker_entry make_worker(const std::string& id, const std::string& pool = "main",
                                const std::string& rack = "r1")
{
    worker_entry entry;
    entry.instance = {id, 1};
    entry.vm = "vm-" + id;
    entry.pool = pool;
    entry.address = "10.0.0.1:80";
    entry.kind = "a";
    entry.rack = rack;
    entry.capacity = {4000, 4096, 0, 0};
    return entry;
}

inline jobs::job make_job(const std::string& id, std::int64_t tasks = 1)
{
    jobs::job job;
    job.id = id;
    job.queue = "permits";
    job.team = "fire";
    job.policy = {"main", 0, 2, 1.5, milliseconds(500), false};
    job.accepted_ms = start_unix_ms;
    jobs::step step;
    step.count = tasks;
    step.task_resources = {1000, 512, 0, 0};
    step.estimate = milliseconds(1000);
    job.steps = {step};
    return job;
}

inline finished_run ended(std::int64_t number, const start_command& order, end_cause cause)
{
    return {number, order.task, order.run, cause, {}};
}

/// One cell with its workers played by the test: orders are collected, answers are given by hand.
class fixture {
public:
    explicit fixture(std::vector<worker_entry> entries = {make_worker("w1"), make_worker("w2")},
                     std::vector<stored_job> stored = {})
        : decides(scheduler_options{}), listed(std::move(entries))
    {
        policy rules;
        rules.version = 1;
        rules.queues["permits"] = make_job("x").policy;
        rules.teams["fire"] = {1.0, {}};
        this->decides.configure(rules);
        this->decides.extend_authority(at(1'000'000'000));
        this->decides.restore(std::move(stored), at(0));
        this->decides.update_workers(this->listed, at(0));
        this->run();
    }

    /// Lets time pass to `ms`, and carries journal entries out unless they are held.
    void run(std::int64_t ms = -1)
    {
        if (ms >= 0) {
            this->now_ms = ms;
        }
        this->decides.tick(this->now(), start_unix_ms + this->now_ms);
        for (int round = 0; round < 4; ++round) {
            for (action& each : this->decides.take_actions()) {
                this->take(std::move(each));
            }
            if (this->hold_journal || this->journal.empty()) {
                break;
            }
            const auto batch = this->journal.front().batch;
            this->journal.clear();
            this->decides.handle_journal_commit(batch, this->now());
        }
    }

    /// Answers the open look of a worker.
    void answer_look(const std::string& worker, std::vector<reported_run> running = {},
                     std::vector<finished_run> finished = {})
    {
        worker_report report;
        report.started_at_ms = 1;
        report.clock_ms = this->now_ms + worker_clock_offset_ms;
        report.running = std::move(running);
        report.finished = std::move(finished);
        this->looks.erase(worker);
        this->decides.handle_poll_result(
            {{worker, 1}, this->sent[worker], command_outcome::accepted, report}, this->now());
        this->run();
    }

    void fail_look(const std::string& worker)
    {
        this->looks.erase(worker);
        this->decides.handle_poll_result(
            {{worker, 1}, this->sent[worker], command_outcome::unknown, {}}, this->now());
        this->run();
    }

    /// Lets every worker answer its first look: nothing runs.
    void greet_all()
    {
        for (const worker_entry& entry : this->listed) {
            this->answer_look(entry.instance.id);
        }
    }

    void answer_start(const start_command& order, command_outcome outcome)
    {
        command_result answer;
        answer.worker = order.worker;
        answer.task = order.task;
        answer.run = order.run;
        answer.outcome = outcome;
        this->decides.handle_start_result(answer, this->now());
        this->run();
    }

    void submit_job(const jobs::job& job)
    {
        this->decides.submit_job(job, this->now());
        this->now_ms += 20;
        this->run();
    }

    [[nodiscard]] steady_time now() const
    {
        return at(this->now_ms);
    }

    [[nodiscard]] static reported_run running(const start_command& order,
                                              std::int64_t percent = 100)
    {
        return {order.task, order.run, {}, percent, 0};
    }

    scheduler decides;
    std::vector<worker_entry> listed;
    std::int64_t now_ms = 0;
    bool hold_journal = false;
    std::vector<journal_write> journal;
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::map<std::string, poll_command> looks; ///< open, by worker
    std::map<std::string, steady_time> sent;

private:
    void take(action&& what)
    {
        if (auto* poll = std::get_if<poll_command>(&what)) {
            this->sent[poll->worker.id] = this->now();
            this->looks[poll->worker.id] = *poll;
        } else if (auto* start = std::get_if<start_command>(&what)) {
            this->starts.push_back(*start);
        } else if (auto* stop = std::get_if<stop_command>(&what)) {
            this->stops.push_back(*stop);
        } else if (auto* order = std::get_if<journal_write>(&what)) {
            this->journal.push_back(*order);
        }
    }
};

} // namespace chervilslip::scheduling::tests
