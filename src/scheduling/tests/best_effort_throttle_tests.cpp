#include <criterion/criterion.h>

#include "scheduling/best_effort_throttle.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using common::milliseconds;

common::steady_time time_at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + milliseconds(ms));
}

std::vector<throttle_input> serving_and_best_effort(std::int64_t tail_latency_ms,
                                                    std::int64_t percent)
{
    return {{{"serves", 0, 0, 0}, 1, false, milliseconds(100), tail_latency_ms, 100},
            {{"fills", 0, 0, 0}, 2, true, milliseconds(0), 0, percent}};
}

Test(best_effort_throttle, throttles_best_effort_tasks_while_a_serving_task_exceeds_its_target)
{
    // given
    best_effort_throttle throttle;

    // when
    const auto first = throttle.plan("w1", serving_and_best_effort(150, 100), time_at(0));
    const auto second = throttle.plan("w1", serving_and_best_effort(150, 50), time_at(500));
    const auto third = throttle.plan("w1", serving_and_best_effort(150, 25), time_at(1000));

    // then: paused at the third poll
    cr_assert(first == (std::vector<throttle_change>{{{"fills", 0, 0, 0}, 2, 50}}));
    cr_assert(second.at(0).percent == 25);
    cr_assert(third.at(0).percent == 0);
}

Test(best_effort_throttle, speeds_best_effort_tasks_up_after_latencies_have_stayed_low)
{
    // given
    best_effort_throttle throttle;
    throttle.plan("w1", serving_and_best_effort(150, 0), time_at(0));

    // when, then
    cr_assert(throttle.plan("w1", serving_and_best_effort(50, 0), time_at(1000)).empty());
    cr_assert(throttle.plan("w1", serving_and_best_effort(90, 0), time_at(3000)).empty());
    cr_assert(throttle.plan("w1", serving_and_best_effort(50, 0), time_at(3000)).at(0).percent ==
              25);
}

Test(best_effort_throttle, does_not_throttle_best_effort_tasks_while_latencies_are_low)
{
    // given
    best_effort_throttle throttle;

    // when, then
    cr_assert(throttle.plan("w1", serving_and_best_effort(50, 100), time_at(0)).empty());
}

} // namespace
