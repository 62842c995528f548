#include <criterion/criterion.h>

#include <deque>
#include <map>

#include "scheduling/tests/scheduler_fixture.h"

// Plays queues whose workers an advice service allows, in virtual time.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

constexpr std::int64_t round_ms = 10; ///< of virtual time
constexpr std::int64_t poll_ms = 250;
constexpr int worker_count = 30; ///< with room for four tasks each

/// Handles one call at a time, rejects calls when many wait, and also handles those whose caller
/// has given up.
class advice_service {
public:
    static constexpr std::int64_t each_ms = 2;
    static constexpr std::size_t max_waiting = 32;
    static constexpr std::int64_t call_limit_ms = 2500; ///< the caller gives up

    void call(const advice_request& request, std::int64_t now)
    {
        ++this->calls;
        if (this->queue.size() >= max_waiting) {
            ++this->rejected;
            this->responses.push_back(response_to(request));
            return;
        }
        this->queue.push_back({request, now, false});
        this->begin_next(now);
    }

    /// Returns the responses that reach the caller.
    std::vector<advice_response> work_until(std::int64_t now)
    {
        for (waiting_call& each : this->queue) {
            if (!each.given_up && now >= each.sent_ms + call_limit_ms) {
                each.given_up = true;
                ++this->given_up;
                this->responses.push_back(response_to(each.request));
            }
        }
        while (this->busy_until && *this->busy_until <= now) {
            const std::int64_t ended = *std::exchange(this->busy_until, std::nullopt);
            if (!this->queue.front().given_up) {
                this->responses.push_back(this->decide(this->queue.front().request));
            }
            this->queue.pop_front();
            this->begin_next(ended);
        }
        return std::exchange(this->responses, {});
    }

    std::int64_t decide_ms = 40;
    std::int64_t calls = 0;
    std::int64_t rejected = 0;
    std::int64_t given_up = 0;
    std::int64_t valid_ms = 60'000;
    std::set<std::string> refused; ///< jobs that it never advises on
    /// Workers that it allows for a job; for others every second one.
    std::map<std::string, std::set<std::string>> allowed_for;

private:
    struct waiting_call {
        advice_request request;
        std::int64_t sent_ms = 0;
        bool given_up = false;
    };

    static advice_response response_to(const advice_request& request)
    {
        return {request.job, request.occurrence, request.step, std::nullopt, {}};
    }

    [[nodiscard]] advice_response decide(const advice_request& request) const
    {
        advice_response response = response_to(request);
        if (this->refused.contains(request.job)) {
            return response;
        }
        response.valid = milliseconds(this->valid_ms);
        response.tickets.emplace();
        for (const std::string& worker : request.workers) {
            const auto chosen = this->allowed_for.find(request.job);
            const bool allowed = chosen != this->allowed_for.end()
                                     ? chosen->second.contains(worker)
                                     : std::hash<std::string>{}(request.job + worker) % 2 == 0;
            if (allowed) {
                (*response.tickets)[worker] = request.job + "-" + worker;
            }
        }
        return response;
    }

    void begin_next(std::int64_t now)
    {
        if (!this->busy_until && !this->queue.empty()) {
            const auto named =
                static_cast<std::int64_t>(this->queue.front().request.workers.size());
            this->busy_until = now + this->decide_ms + each_ms * named;
        }
    }

    std::deque<waiting_call> queue;
    std::optional<std::int64_t> busy_until;
    std::vector<advice_response> responses;
};

/// A pool whose tasks last, with the service that advises on it.
class advised_pool {
public:
    explicit advised_pool(int workers = worker_count) : fixture(make_workers(workers))
    {
        policy rules;
        rules.version = 2;
        rules.queues["permits"] = advised_job("x").policy;
        rules.teams["fire"] = {1.0, {}};
        this->fixture.under_test.configure(rules);
        this->fixture.answer_first_polls();
    }

    static jobs::job advised_job(const std::string& id, std::int64_t tasks = 1)
    {
        jobs::job job = make_job(id, tasks);
        job.policy.advised = true;
        return job;
    }

    void submit(std::int64_t jobs, std::int64_t tasks = 1)
    {
        for (std::int64_t i = 0; i < jobs; ++i) {
            const std::string id = "j" + std::to_string(++this->submitted);
            this->submitted_ms[id] = this->fixture.now_ms;
            this->fixture.under_test.submit_job(advised_job(id, tasks), this->fixture.now());
        }
    }

    void run(std::int64_t duration_ms)
    {
        for (std::int64_t time = 0; time < duration_ms; time += round_ms) {
            this->fixture.advance(this->fixture.now_ms + round_ms);
            for (const advice_request& each : std::exchange(this->fixture.advice, {})) {
                this->service.call(each, this->fixture.now_ms);
            }
            for (const advice_response& each : this->service.work_until(this->fixture.now_ms)) {
                this->fixture.under_test.handle_advice(each, this->fixture.now());
                this->fixture.under_test.react(this->fixture.now(),
                                               start_unix_ms + this->fixture.now_ms);
            }
            for (const start_command& each : std::exchange(this->fixture.starts, {})) {
                cr_assert_eq(each.ticket, each.task.job + "-" + each.worker.id);
                this->running[each.worker.id].push_back(scheduler_fixture::running(each));
                this->started_ms[each.task.job] = this->fixture.now_ms;
                ++this->starts;
                this->fixture.answer_start(each, command_outcome::accepted);
            }
            if (this->fixture.now_ms % poll_ms == 0) {
                for (const auto& [worker, poll] : std::map(this->fixture.polls)) {
                    this->fixture.answer_poll(worker, this->running[worker]);
                }
            }
        }
    }

    /// Returns the longest time between a job's submission and its start. Precondition: all have
    /// started.
    [[nodiscard]] std::int64_t longest_wait_ms() const
    {
        std::int64_t longest = 0;
        for (const auto& [job, at] : this->started_ms) {
            longest = std::max(longest, at - this->submitted_ms.at(job));
        }
        return longest;
    }

    scheduler_fixture fixture;
    advice_service service;
    std::map<std::string, std::int64_t> submitted_ms; ///< by job
    std::map<std::string, std::int64_t> started_ms;   ///< by job
    std::int64_t starts = 0;                          ///< of tasks

private:
    static std::vector<worker_entry> make_workers(int count)
    {
        std::vector<worker_entry> entries;
        entries.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            entries.push_back(make_worker("w" + std::to_string(i)));
        }
        return entries;
    }

    std::int64_t submitted = 0;
    std::map<std::string, std::vector<reported_run>> running; ///< by worker
};

Test(advice, burst_is_served_at_the_rate_of_the_service)
{
    constexpr std::int64_t jobs = 100;
    advised_pool pool;
    pool.submit(jobs);
    pool.run(12'000);
    cr_log_info("%ld calls, %ld given up, %ld rejected; %zu jobs started, the last after %ld ms",
                pool.service.calls, pool.service.given_up, pool.service.rejected,
                pool.started_ms.size(), pool.longest_wait_ms());
    cr_expect_eq(pool.started_ms.size(), jobs);
    cr_expect_eq(pool.service.given_up, 0);
    cr_expect_eq(pool.service.rejected, 0);
    // A call for ten workers a job, and a tenth of the jobs may ask a second time.
    const std::int64_t call_ms = pool.service.decide_ms + 10 * advice_service::each_ms;
    cr_expect_leq(pool.longest_wait_ms(), jobs * call_ms * 11 / 10);
}

Test(advice, jobs_that_were_cancelled_in_a_burst_are_not_asked_for)
{
    advised_pool pool;
    pool.submit(100);
    pool.run(300);
    const std::int64_t calls = pool.service.calls;
    for (int i = 11; i <= 100; ++i) {
        pool.fixture.under_test.cancel_job("j" + std::to_string(i), pool.fixture.now());
    }
    pool.run(1000);
    for (int i = 1; i <= 10; ++i) {
        cr_expect(pool.started_ms.contains("j" + std::to_string(i)), "j%d", i);
    }
    // The two calls under way may be for cancelled jobs.
    cr_expect_leq(pool.service.calls - calls, 12);
}

Test(advice, calls_to_a_slow_service_are_not_given_up)
{
    advised_pool pool;
    pool.service.decide_ms = 1000;
    pool.submit(6);
    pool.run(8000);
    cr_expect_eq(pool.service.given_up, 0);
    cr_expect_eq(pool.started_ms.size(), 6);
}

Test(advice, step_that_the_service_rejects_holds_up_no_other)
{
    advised_pool pool;
    pool.service.refused = {"j1"};
    pool.submit(20);
    pool.run(3000);
    cr_expect_eq(pool.started_ms.size(), 19);
}

Test(advice, step_that_may_run_on_one_worker_only_finds_it)
{
    advised_pool pool(60);
    pool.service.allowed_for["j1"] = {"w9"};
    pool.submit(1);
    pool.run(2000);
    cr_expect_eq(pool.started_ms.size(), 1);
}

Test(advice, step_whose_allowed_workers_are_full_asks_for_others)
{
    advised_pool pool(12);
    for (int i = 0; i < 12; ++i) {
        pool.service.allowed_for["j1"].insert("w" + std::to_string(i));
    }
    pool.submit(1, 46);
    pool.run(2000);
    cr_expect_eq(pool.starts, 46, "%ld tasks", pool.starts);
}

} // namespace
