#pragma once

#include <criterion/criterion.h>

#include "scheduling/cell.h"

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
    entry.life = {id, 1};
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

inline finished_row ended(std::int64_t number, const start_order& order, end_cause cause)
{
    return {number, order.task, order.run, cause, {}};
}

/// One cell with its workers played by the test: orders are collected, answers are given by hand.
class fixture {
public:
    explicit fixture(std::vector<worker_entry> entries = {make_worker("w1"), make_worker("w2")},
                     std::vector<stored_job> stored = {})
        : decides(cell_options{}), listed(std::move(entries))
    {
        policy rules;
        rules.version = 1;
        rules.queues["permits"] = make_job("x").policy;
        rules.teams["fire"] = {1.0, {}};
        this->decides.configure(rules);
        this->decides.extend_authority(at(1'000'000'000));
        this->decides.restore(std::move(stored), at(0));
        this->decides.see_workers(this->listed, at(0));
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
            this->decides.journal_durable(batch, this->now());
        }
    }

    /// Answers the open look of a worker.
    void answer_look(const std::string& worker, std::vector<running_row> running = {},
                     std::vector<finished_row> finished = {})
    {
        look_report report;
        report.born_ms = 1;
        report.clock_ms = this->now_ms + worker_clock_offset_ms;
        report.running = std::move(running);
        report.finished = std::move(finished);
        this->looks.erase(worker);
        this->decides.take_look({{worker, 1}, this->sent[worker], verdict::accepted, report},
                                this->now());
        this->run();
    }

    void fail_look(const std::string& worker)
    {
        this->looks.erase(worker);
        this->decides.take_look({{worker, 1}, this->sent[worker], verdict::unknown, {}},
                                this->now());
        this->run();
    }

    /// Lets every worker answer its first look: nothing runs.
    void greet_all()
    {
        for (const worker_entry& entry : this->listed) {
            this->answer_look(entry.life.id);
        }
    }

    void answer_start(const start_order& order, verdict outcome)
    {
        order_answer answer;
        answer.worker = order.worker;
        answer.task = order.task;
        answer.run = order.run;
        answer.outcome = outcome;
        this->decides.take_start(answer, this->now());
        this->run();
    }

    void take_job(const jobs::job& job)
    {
        this->decides.take_job(job, this->now());
        this->now_ms += 20;
        this->run();
    }

    [[nodiscard]] steady_time now() const
    {
        return at(this->now_ms);
    }

    [[nodiscard]] static running_row running(const start_order& order, std::int64_t percent = 100)
    {
        return {order.task, order.run, {}, percent, 0};
    }

    cell decides;
    std::vector<worker_entry> listed;
    std::int64_t now_ms = 0;
    bool hold_journal = false;
    std::vector<journal_order> journal;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::map<std::string, look_order> looks; ///< open, by worker
    std::map<std::string, steady_time> sent;

private:
    void take(action&& what)
    {
        if (auto* look = std::get_if<look_order>(&what)) {
            this->sent[look->worker.id] = this->now();
            this->looks[look->worker.id] = *look;
        } else if (auto* start = std::get_if<start_order>(&what)) {
            this->starts.push_back(*start);
        } else if (auto* stop = std::get_if<stop_order>(&what)) {
            this->stops.push_back(*stop);
        } else if (auto* order = std::get_if<journal_order>(&what)) {
            this->journal.push_back(*order);
        }
    }
};

} // namespace chervilslip::scheduling::tests
