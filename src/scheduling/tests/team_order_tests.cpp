#include <criterion/criterion.h>

#include "scheduling/team_order.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using common::milliseconds;
using common::steady_time;

constexpr std::int64_t tasks_in_pool = 10;
const teams::resources one_task{1000, 0, 0, 0};

struct job_row {
    std::string team;
    team_order::job_traits traits;
    std::int64_t tasks = 1;
    std::int64_t processors = 1000;
};

/// One pool whose free room is given for each round.
class order_fixture {
public:
    explicit order_fixture(std::map<std::string, double> weights = {{"a", 1}, {"b", 1}})
    {
        this->order.set_weights(std::move(weights));
    }

    /// Plays one round; the jobs are in the order of their ranks. Returns the teams of the tasks
    /// that were started.
    std::string round(std::int64_t ms, const std::vector<job_row>& jobs,
                      const std::map<std::string, std::int64_t>& running)
    {
        this->order.begin_round(steady_time(std::chrono::hours(1) + milliseconds(ms)));
        for (const job_row& each : jobs) {
            this->order.add_job("main", each.team, each.traits);
        }
        std::int64_t free = tasks_in_pool;
        for (const auto& [team, count] : running) {
            free -= count;
            if (this->order.is_short("main")) {
                this->order.add_usage("main", team, {count * one_task.processors, 0, 0, 0}, {});
            }
        }
        if (this->order.is_short("main")) {
            this->order.set_capacity("main", {tasks_in_pool * one_task.processors, 0, 0, 0});
        }
        std::string started;
        std::vector<std::int64_t> left;
        for (const job_row& each : jobs) {
            left.push_back(each.tasks);
        }
        this->visits = 0;
        while (const auto number = this->order.next()) {
            ++this->visits;
            const job_row& job = jobs[*number];
            const teams::resources size{job.processors, 0, 0, 0};
            while (left[*number] > 0 && !this->order.must_yield(size)) {
                if (free < job.processors / one_task.processors) {
                    this->order.note_no_room();
                    break;
                }
                free -= job.processors / one_task.processors;
                --left[*number];
                started += job.team;
                this->order.note_start(size);
            }
        }
        this->below = this->order.end_round();
        return started;
    }

    /// Makes the pool short: a has all of it, and tasks of both teams wait for half a second.
    void make_short()
    {
        for (std::int64_t ms = 0; ms < 600; ms += 100) {
            this->round(ms, {{"a", {}}, {"b", {}}}, {{"a", tasks_in_pool}});
        }
    }

    team_order order;
    std::size_t visits = 0; ///< of jobs, in the latest round
    std::vector<team_below_share> below;
};

const team_order::job_traits begun{false, true};
const team_order::job_traits long_running{true, false};
const team_order::job_traits late{false, false, true};

Test(team_order, a_short_pool_serves_teams_under_their_share_first)
{
    struct row {
        std::string name;
        std::vector<job_row> jobs; ///< by rank
        std::map<std::string, std::int64_t> running;
        std::string started;
    };
    const std::vector<row> rows{
        {"a team over its share comes last", {{"a", {}}, {"b", {}}}, {{"a", 8}, {"b", 1}}, "b"},
        {"ranks decide between teams under it", {{"a", {}}, {"b", {}}}, {{"a", 3}, {"b", 3}}, "ab"},
        {"a team stops within a round, once it has its share",
         {{"a", {}}, {"a", {}}, {"a", {}}, {"b", {}, 9}},
         {{"a", 3}},
         "aabbbbb"},
        {"and within a job, which goes on for a tenth of the pool",
         {{"a", {}, 9}, {"b", {}, 9}},
         {{"a", 3}},
         "aaabbbb"},
        {"what nobody else wants is not left unused",
         {{"a", {}, 9}, {"b", {}, 1}},
         {{"a", 6}, {"b", 1}},
         "baa"},
        {"within a team, ranks decide",
         {{"a", {}}, {"b", {}, 1, 2000}, {"b", {}, 9}},
         {{"a", 7}},
         "bb"},
        {"long-running jobs keep the front", {{"a", long_running}, {"b", {}}}, {{"a", 9}}, "a"},
        {"a job that has begun goes on although its team has reached its share",
         {{"a", begun}, {"b", {}}},
         {{"a", 5}, {"b", 4}},
         "a"},
        {"but not if its team is far over its share",
         {{"a", begun}, {"b", {}}},
         {{"a", 7}, {"b", 2}},
         "b"},
        {"and takes it over its share by no more than a tenth of the pool",
         {{"a", begun, 9}, {"b", {}, 9}},
         {{"a", 5}, {"b", 2}},
         "abb"},
        {"late jobs leave room to those in time",
         {{"a", {}}, {"b", late}},
         {{"a", 8}, {"b", 1}},
         "a"},
        {"late jobs that have begun don't exceed the share",
         {{"a", {false, true, true}}, {"b", {}}},
         {{"a", 5}, {"b", 4}},
         "b"},
    };
    for (const row& each : rows) {
        order_fixture fixture;
        fixture.make_short();
        const std::string started = fixture.round(600, each.jobs, each.running);
        cr_expect(started == each.started, "%s: %s", each.name.c_str(), started.c_str());
    }
}

Test(team_order, a_job_that_has_begun_does_not_hold_up_a_team_that_lacks_its_share)
{
    // given: for six seconds b has had four of its five tasks
    order_fixture fixture;
    fixture.make_short();
    fixture.round(600, {{"a", {}}, {"b", {}}}, {{"a", 4}, {"b", 5}});
    for (std::int64_t ms = 700; ms < 6600; ms += 100) {
        fixture.round(ms, {{"a", {}}, {"b", {}}}, {{"a", 6}, {"b", 4}});
    }

    // when, then
    cr_assert(fixture.round(6600, {{"a", begun}, {"b", {}}}, {{"a", 5}, {"b", 4}}) == "b");
}

Test(team_order, a_shortage_is_over_once_no_two_teams_wait_for_half_a_second)
{
    // given
    order_fixture fixture;
    const std::vector<job_row> jobs{{"a", {}}, {"b", {}}};
    fixture.make_short();
    cr_assert(fixture.order.is_over_share("main", "a"));
    cr_assert(!fixture.order.is_over_share("main", "b"));

    // when: only one team finds no room
    cr_assert(fixture.round(900, jobs, {{"a", 9}}) == "b");
    fixture.round(1200, {{"a", {}}}, {{"a", 10}});

    // then
    cr_assert(fixture.round(1500, jobs, {{"a", 9}}) == "a");
    cr_assert(!fixture.order.is_over_share("main", "a"));
}

Test(team_order, a_team_that_stays_below_its_share_is_reported_once)
{
    // given: b waits for a task as large as the pool
    order_fixture fixture;
    const std::vector<job_row> jobs{{"a", {}, 9}, {"b", {}, 1, 10'000}};
    std::vector<std::int64_t> reported_ms;

    // when
    for (std::int64_t ms = 0; ms < 30'000; ms += 100) {
        fixture.round(ms, jobs, {{"a", 9}});
        if (!fixture.below.empty()) {
            cr_assert(fixture.below.size() == 1 && fixture.below[0].team == "b");
            reported_ms.push_back(ms);
        }
    }

    // then
    cr_assert(reported_ms.size() == 1, "%zu reports", reported_ms.size());
    cr_assert(reported_ms[0] > 10'500 && reported_ms[0] < 11'000);
    const auto below = fixture.order.time_below("main", "b").count();
    cr_assert(below > 29'000 && below <= 29'500, "%ld ms", static_cast<long>(below));
    cr_assert(fixture.order.time_below("main", "a").count() == 0);
}

Test(team_order, each_waiting_job_is_visited_a_few_times_at_most)
{
    // given: hundreds of jobs of twenty teams of uneven weight
    std::map<std::string, double> weights;
    std::vector<job_row> jobs;
    std::map<std::string, std::int64_t> running;
    for (int i = 0; i < 600; ++i) {
        const std::string team(1, static_cast<char>('a' + i % 20));
        weights[team] = 1 + i % 20;
        jobs.push_back({team, {}, 3});
    }
    order_fixture fixture(weights);
    for (std::int64_t ms = 0; ms < 600; ms += 100) {
        fixture.round(ms, jobs, {{"t", tasks_in_pool}});
    }

    // when
    fixture.round(600, jobs, {{"t", 4}});

    // then
    cr_assert(fixture.visits > jobs.size() && fixture.visits < 2 * jobs.size() + 60, "%zu visits",
              fixture.visits);
}

} // namespace
