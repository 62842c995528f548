#include <criterion/criterion.h>

#include "soak/world.h"

namespace {

using namespace chervilslip;
using requests::injected_fault;

constexpr std::uint64_t steps = 100'000;

const std::vector<std::string> all_checks{
    "team_of_key",     "upper_limit",        "at_most_once",     "answer_matches_request",
    "not_run_is_true", "slots_not_oversold", "legal_transition", "answered_once",
    "own_answer",      "fleet_limit",        "nothing_lost",     "refused_not_run",
    "started_once",    "key_runs_once",      "team_of_request"};

soak::world_report run(std::uint64_t seed, injected_fault fault, int workers)
{
    soak::world_options options;
    options.seed = seed;
    options.steps = steps;
    options.workers = workers;
    options.fault = fault;
    return soak::world(options).run();
}

void assert_fires(injected_fault fault, const std::string& check, int workers = 24)
{
    // given a planted fault, and a few seeds to meet the moment in which it matters
    std::uint64_t violations = 0;
    std::uint64_t first_step = 0;
    for (std::uint64_t seed = 1; seed <= 6 && violations == 0; ++seed) {
        // when
        const auto report = run(seed, fault, workers);
        const auto found = report.violations_by_name.find(check);
        violations += found == report.violations_by_name.end() ? 0 : found->second;
        first_step = report.first_violation_step;
    }

    // then
    cr_assert(violations > 0, "%s never fired", check.c_str());
    cr_assert(first_step > 0);
}

Test(world, seeds_are_clean_and_every_check_is_made)
{
    for (const std::uint64_t seed : {11, 12, 13, 14}) {
        // given / when
        const auto report = run(seed, injected_fault::none, 24);

        // then
        cr_assert(report.violations == 0, "seed %lu: %s", seed, report.trace.back().c_str());
        for (const std::string& name : all_checks) {
            const auto found = report.checks_by_name.find(name);
            cr_assert(found != report.checks_by_name.end() && found->second > 0,
                      "%s was never checked", name.c_str());
        }
    }
}

Test(world, same_seed_takes_the_same_steps)
{
    // given / when
    const auto first = run(5, injected_fault::none, 24);
    const auto second = run(5, injected_fault::none, 24);

    // then
    cr_assert(first.steps == second.steps);
    cr_assert(first.fates == second.fates);
}

Test(world, work_for_another_team_is_noticed)
{
    assert_fires(injected_fault::wrong_team, "team_of_key");
    assert_fires(injected_fault::wrong_team, "team_of_request");
}

Test(world, work_above_a_limit_is_noticed)
{
    assert_fires(injected_fault::ignore_limit, "upper_limit");
    assert_fires(injected_fault::ignore_limit, "fleet_limit");
}

Test(world, second_start_of_an_unrepeatable_request_is_noticed)
{
    assert_fires(injected_fault::repeat_unrepeatable, "at_most_once");
    assert_fires(injected_fault::repeat_unrepeatable, "started_once");
}

Test(world, crossed_answer_is_noticed)
{
    assert_fires(injected_fault::accept_any_answer, "answer_matches_request");
}

Test(world, false_not_run_is_noticed)
{
    assert_fires(injected_fault::claim_not_run, "not_run_is_true");
    assert_fires(injected_fault::claim_not_run, "refused_not_run");
}

Test(world, oversold_slots_are_noticed)
{
    assert_fires(injected_fault::ignore_slots, "slots_not_oversold", 3);
}

Test(world, second_run_under_an_idempotency_key_is_noticed)
{
    assert_fires(injected_fault::skip_claims, "key_runs_once");
}

Test(world, illegal_transition_is_noticed)
{
    assert_fires(injected_fault::skip_stage, "legal_transition");
}

} // namespace
