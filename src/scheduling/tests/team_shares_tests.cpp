#include "scheduling/tests/shared_pool.h"

// Replays loads of several teams on one pool. Jobs are in time and of the same priority, so without
// shares the oldest go first, whatever their team.
namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using namespace chervilslip::scheduling::tests;

constexpr std::int64_t settle_ms = 3000; ///< the shortage is noticed, and runs before it end
constexpr std::int64_t window_ms = 10'000;
constexpr double bound = 0.9; ///< of its share that a team gets over ten seconds

Test(team_shares, work_of_a_team_is_not_held_up_by_the_peak_of_another)
{
    // given: work of 10 s for the whole pool
    shared_pool pool({{"a", 1.0}, {"b", 1.0}}, 8, 1);
    pool.submit("a", 120, 667);
    pool.run_for(500);

    // when: work of 1.7 s
    pool.submit("b", 20, 667);
    const std::int64_t submitted_ms = pool.fixture.now_ms;
    pool.run_for(20'000);

    // then: its half of the pool does it in 3.3 s
    std::int64_t last_ms = 0;
    for (const auto& [job, ended_ms] : pool.ended_ms) {
        last_ms = pool.team_of.at(job) == "b" ? std::max(last_ms, ended_ms) : last_ms;
    }
    cr_assert(pool.ended_ms.size() == 140);
    cr_assert(last_ms - submitted_ms < 5000, "%ld ms", static_cast<long>(last_ms - submitted_ms));
}

Test(team_shares, teams_with_enough_work_get_their_shares)
{
    struct load {
        std::string name;
        std::map<std::string, double> weights; ///< the first team submits first
        std::int64_t workers;                  ///< of four processors
        std::int64_t run_ms;
        std::int64_t processors = 1000; ///< of a task
        std::int64_t target_ms = 600'000;
    };
    std::map<std::string, double> many;
    for (char team = 'a'; team < 'a' + 20; ++team) {
        many[std::string(1, team)] = 1.0;
    }
    const std::vector<load> loads{
        {"many small teams, 2.4 tasks each", many, 12, 800},
        {"more teams than tasks that run", many, 4, 400},
        {"a light team first", {{"a", 1}, {"b", 10}, {"c", 100}}, 28, 800},
        {"a heavy team first", {{"a", 100}, {"b", 10}, {"c", 1}}, 28, 800},
        {"parts of tasks", {{"a", 1}, {"b", 1}, {"c", 3}}, 2, 600},
        {"late work", {{"a", 1}, {"b", 1}}, 4, 400, 1000, 0},
        {"tasks that leave a processor unused", {{"a", 1}, {"b", 1}}, 8, 800, 3000},
    };
    for (const load& each : loads) {
        // given: enough work for the time, of four tasks a job
        shared_pool pool(each.weights, each.workers, 4, {}, milliseconds(each.target_ms));
        double weights = 0;
        for (const auto& [team, weight] : each.weights) {
            weights += weight;
        }
        const std::int64_t tasks = each.workers * (4000 / each.processors);
        std::map<std::string, double> shares;
        for (const auto& [team, weight] : each.weights) {
            const double share = static_cast<double>(tasks) * weight / weights;
            shares[team] = share;
            const double ended = share * (settle_ms + window_ms) / static_cast<double>(each.run_ms);
            pool.submit(team, 10 + static_cast<int>(ended / 3 + static_cast<double>(tasks) / 2),
                        each.run_ms, 4, each.processors);
        }
        pool.run_for(settle_ms);

        // when
        const auto usage = pool.run_for(window_ms);

        // then: of what could be used, as some time passes between an end and the next start
        double all = 0;
        for (const auto& [team, used] : usage) {
            all += used;
        }
        cr_expect(all > bound * static_cast<double>(tasks), "%s: %.2f of %ld are used",
                  each.name.c_str(), all, static_cast<long>(tasks));
        for (const auto& [team, share] : shares) {
            const double used = usage.contains(team) ? usage.at(team) : 0;
            const double part = share * all / static_cast<double>(tasks);
            cr_expect(used >= bound * part, "%s: %s has %.2f of %.2f", each.name.c_str(),
                      team.c_str(), used, part);
        }
    }
}

Test(team_shares, a_team_that_returns_gets_its_share_but_nothing_that_it_has_saved_up)
{
    // given: a team that left all to the other for ten seconds
    shared_pool pool({{"a", 1.0}, {"b", 1.0}}, 4, 4);
    pool.submit("a", 1000, 800);
    pool.submit("b", 40, 800);
    pool.run_for(8000);
    cr_assert(pool.run_for(window_ms).at("a") > 15);

    // when
    pool.submit("b", 1000, 800);
    pool.run_for(settle_ms);

    // then
    const auto usage = pool.run_for(window_ms);
    cr_assert(usage.at("b") >= bound * 8, "%.2f", usage.at("b"));
    cr_assert(usage.at("a") >= bound * 8, "%.2f", usage.at("a"));
}

Test(team_shares, a_new_owner_knows_the_usage_from_what_runs)
{
    // given: tasks of a run on the whole pool, and its other jobs go first if ranks decide
    constexpr std::int64_t tasks = 8;
    stored_job stored{shared_pool::make_team_job("a", "old", tasks), std::nullopt, false};
    stored.progress = initial_progress(stored.spec);
    stored.progress->state = jobs::job_state::running;
    std::vector<shared_pool::run_state> inherited;
    for (std::int64_t i = 0; i < tasks; ++i) {
        task_progress& progress = stored.progress->tasks[0][0].at(static_cast<std::size_t>(i));
        progress.state = task_progress::phase::open;
        progress.run = 1;
        progress.worker = {"w" + std::to_string(i), 1};
        // They end one after another, once the shortage has been noticed.
        inherited.push_back({{}, 1000 + i * 100});
        inherited.back().start.worker = progress.worker;
        inherited.back().start.task = {"old", 0, 0, i};
        inherited.back().start.run = 1;
    }
    shared_pool pool({{"a", 1.0}, {"b", 1.0}}, tasks, 1, {stored});
    pool.team_of["old"] = "a";
    pool.runs = inherited;
    pool.submit("a", 20, 5000);
    pool.submit("b", 20, 5000);

    // when: four of them have ended
    pool.run_for(1380);

    // then
    cr_assert(pool.started.size() == 4, "%zu", pool.started.size());
    for (const std::string& job : pool.started) {
        cr_assert(pool.team_of.at(job) == "b", "%s", job.c_str());
    }
}

/// Returns which jobs were started, in order. Their ids don't depend on the teams.
std::vector<std::string> starts_of(const std::string& second_team, int jobs)
{
    shared_pool pool({{"a", 1.0}, {second_team, 1.0}}, 4, 2);
    const auto submit = [&pool, jobs](const std::string& team) {
        pool.submit(team, jobs, 300);
        pool.run_for(100);
    };
    for (int wave = 0; wave < 3; ++wave) {
        submit("a");
        submit(second_team);
        pool.run_for(1500);
    }
    return pool.started;
}

Test(team_shares, the_order_changes_only_while_a_pool_is_short)
{
    // given: a single team has the order without shares
    for (const int jobs : {2, 4, 10}) { // all fit; they wait for up to 0.4 s
        cr_assert(starts_of("a", jobs) == starts_of("b", jobs), "%d jobs", jobs);
    }
    cr_assert(starts_of("a", 30) != starts_of("b", 30));
}

} // namespace
