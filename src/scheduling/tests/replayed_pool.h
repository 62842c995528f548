#pragma once

#include <functional>
#include <memory>

#include "common/random.h"
#include "scheduling/tests/scheduler_fixture.h"

namespace chervilslip::scheduling::tests {

/// The load of a replayed pool.
struct replayed_load {
    int workers = 24;
    std::int64_t slots = 4; ///< tasks that a worker runs at the same time
    double load = 0.7;      ///< in multiples of what the pool can run
    std::int64_t run_ms = 1000;
    double spread = 0.5;       ///< run times differ by up to this share
    double tail = 0;           ///< share of the runs that take seven times as long
    double far_factor = 1;     ///< how much longer runs take on half of the workers, far from data
    bool is_far_known = false; ///< the settings name that factor
    std::int64_t tasks = 3;    ///< most tasks of a job
    double cheap_share = 0;    ///< jobs of a queue whose objective is 30 times the run time
    std::uint64_t seed = 1;
};

/// Replays a load in virtual time over workers whose speed changes, and records the starts.
class replayed_pool {
public:
    explicit replayed_pool(const replayed_load& initial)
        : load(initial), random(initial.seed), owner(std::make_unique<scheduler_fixture>(
                                                   entries(), std::vector<stored_job>{}, options()))
    {
        this->take_charge();
    }

    /// Advances to a time, in milliseconds since the start.
    void run_until(std::int64_t until_ms)
    {
        const double tasks_per_job = static_cast<double>(this->load.tasks + 1) / 2;
        const double jobs_per_step =
            this->load.load * static_cast<double>(this->load.workers * this->load.slots * step_ms) /
            (static_cast<double>(this->load.run_ms) * tasks_per_job);
        while (this->owner->now_ms < until_ms) {
            for (this->due += jobs_per_step; this->due >= 1; this->due -= 1) {
                this->submit();
            }
            this->owner->advance(this->owner->now_ms + step_ms);
            this->commit();
            this->carry_out();
            this->after_step(*this);
        }
    }

    /// Replaces the owner by one that knows only what is stored, and what the workers report.
    void take_over()
    {
        std::vector<stored_job> restored;
        for (const auto& [id, spec] : this->specs) {
            const auto progress = this->stored.find(id);
            if (progress == this->stored.end()) {
                restored.push_back({spec, std::nullopt, false});
            } else if (!progress->second.empty()) {
                restored.push_back({spec, decode_progress(progress->second, id).value(), false});
            }
        }
        const std::int64_t now_ms = this->owner->now_ms;
        this->owner =
            std::make_unique<scheduler_fixture>(entries(), std::move(restored), options());
        this->owner->now_ms = now_ms;
        this->take_charge();
    }

    /// Returns the mean number of starts on the workers from `first` to before `last`, within a
    /// time, of work with little slack.
    [[nodiscard]] double mean_starts(int first, int last, std::int64_t from_ms,
                                     std::int64_t until_ms) const
    {
        double count = 0;
        for (const start_record& each : this->starts) {
            count += each.at_ms >= from_ms && each.at_ms < until_ms && each.worker >= first &&
                             each.worker < last && !each.cheap
                         ? 1
                         : 0;
        }
        return count / (last - first);
    }

    /// Returns a digest of all starts in their order: task, run, worker.
    [[nodiscard]] std::uint64_t digest() const
    {
        return this->starts_digest;
    }

    /// Returns how many workers from `first` to before `last` count as slow.
    [[nodiscard]] std::int64_t slow_workers(int first, int last) const
    {
        const auto& all = this->owner->under_test.all_workers();
        return std::count_if(all.begin(), all.end(), [first, last](const auto& each) {
            const int number = number_of(each.first);
            return number >= first && number < last &&
                   each.second.speed.verdict == speed_verdict::slow;
        });
    }

    replayed_load load;
    std::function<double(int worker, std::int64_t ms)> speed = [](int, std::int64_t) {
        return 1.0;
    };
    std::function<void(replayed_pool&)> after_step = [](replayed_pool&) {
    };
    common::random_source random;
    std::unique_ptr<scheduler_fixture> owner;

private:
    static constexpr std::int64_t step_ms = 10;

    struct simulated_run {
        start_command start;
        int worker = 0;
        double remaining_ms = 0; ///< at full speed
    };

    struct start_record {
        std::int64_t at_ms = 0;
        int worker = 0;
        bool cheap = false;
    };

    [[nodiscard]] std::vector<worker_entry> entries() const
    {
        std::vector<worker_entry> all;
        for (int i = 0; i < this->load.workers; ++i) {
            all.push_back(make_worker("w" + std::to_string(100 + i), "main", i % 2 ? "r1" : "r2"));
            all.back().capacity = {1000 * this->load.slots, 1024 * this->load.slots, 0, 0};
        }
        return all;
    }

    [[nodiscard]] scheduler_options options() const
    {
        scheduler_options chosen;
        chosen.far_run_factor = this->load.is_far_known ? this->load.far_factor : 1.0;
        return chosen;
    }

    static int number_of(const std::string& worker)
    {
        return std::stoi(worker.substr(1)) - 100;
    }

    void take_charge()
    {
        policy rules;
        rules.version = 2;
        rules.queues["permits"] = make_job("x").policy;
        rules.queues["cheap"] = make_job("x").policy;
        rules.queues["cheap"].stretch = 30;
        rules.teams["fire"] = {1.0, {}};
        this->owner->under_test.configure(rules);
        this->owner->hold_journal = true;
        this->carry_out();
    }

    void submit()
    {
        const auto tasks = 1 + static_cast<std::int64_t>(this->random.below(
                                   static_cast<std::uint64_t>(this->load.tasks)));
        jobs::job job = make_job("j" + std::to_string(++this->submitted), tasks);
        job.accepted_ms = start_unix_ms + this->owner->now_ms;
        job.steps[0].estimate = milliseconds(this->load.run_ms);
        if (this->load.far_factor > 1) {
            job.steps[0].preferred_rack = "r1";
        }
        if (this->load.cheap_share > 0 && this->random.chance(this->load.cheap_share)) {
            job.queue = "cheap";
            job.policy.stretch = 30;
        }
        this->specs[job.id] = job;
        this->owner->under_test.submit_job(job, this->owner->now());
    }

    void commit()
    {
        while (!this->owner->journal.empty()) {
            for (const journal_write& each : std::exchange(this->owner->journal, {})) {
                for (const document_change& change : each.changes) {
                    this->stored[change.job] = change.progress;
                }
                this->owner->under_test.handle_journal_commit(each.batch, this->owner->now());
            }
            this->owner->advance();
        }
    }

    void begin(const start_command& start)
    {
        const int worker = number_of(start.worker.id);
        const jobs::job& job = this->specs.at(start.task.job);
        double run_ms = static_cast<double>(this->load.run_ms) *
                        (1 + this->load.spread * (2 * this->random.unit() - 1));
        run_ms *= this->load.tail > 0 && this->random.chance(this->load.tail) ? 7 : 1;
        run_ms *= worker % 2 == 0 ? this->load.far_factor : 1;
        this->runs.push_back({start, worker, run_ms});
        this->starts.push_back({this->owner->now_ms, worker, job.queue == "cheap"});
        const std::string text =
            start.task.to_string() + "/" + std::to_string(start.run) + "@" + start.worker.id + ";";
        for (const char each : text) {
            constexpr std::uint64_t fnv_prime = 1099511628211U;
            this->starts_digest =
                (this->starts_digest ^ static_cast<unsigned char>(each)) * fnv_prime;
        }
    }

    void carry_out()
    {
        for (const start_command& each : std::exchange(this->owner->starts, {})) {
            this->begin(each);
            this->owner->answer_start(each, command_outcome::accepted);
        }
        std::map<std::string, std::vector<reported_run>> running;
        std::erase_if(this->runs, [&](simulated_run& each) {
            const std::string& worker = each.start.worker.id;
            each.remaining_ms -= step_ms * this->speed(each.worker, this->owner->now_ms);
            if (each.remaining_ms > 0) {
                running[worker].push_back(scheduler_fixture::running(each.start));
                return false;
            }
            this->unreported[worker].push_back(
                make_finished_run(++this->ends[worker], each.start, end_cause::done));
            return true;
        });
        for (const auto& [worker, poll] : std::map(this->owner->polls)) {
            std::erase_if(this->unreported[worker], [&poll = poll](const finished_run& each) {
                return each.number <= poll.acknowledged;
            });
            this->owner->answer_poll(worker, running[worker], this->unreported[worker]);
        }
        this->commit();
    }

    double due = 0;
    std::int64_t submitted = 0;
    std::uint64_t starts_digest = 14695981039346656037U;
    std::map<std::string, jobs::job> specs;
    std::map<std::string, std::string> stored; ///< progress by job; empty: closed
    std::vector<simulated_run> runs;
    std::vector<start_record> starts;
    std::map<std::string, std::int64_t> ends; ///< by worker
    std::map<std::string, std::vector<finished_run>> unreported;
};

} // namespace chervilslip::scheduling::tests
