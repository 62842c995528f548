#include <criterion/criterion.h>

#include "scheduling/pace_keeper.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using common::milliseconds;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + milliseconds(ms));
}

std::vector<paced_run> serving_and_filler(std::int64_t tail_ms, std::int64_t percent)
{
    return {{{"serves", 0, 0, 0}, 1, false, milliseconds(100), tail_ms, 100},
            {{"fills", 0, 0, 0}, 2, true, milliseconds(0), 0, percent}};
}

Test(pace_keeper, slows_fillers_while_a_serving_task_is_over_its_target)
{
    // given
    pace_keeper keeper;

    // when
    const auto first = keeper.plan("w1", serving_and_filler(150, 100), at(0));
    const auto second = keeper.plan("w1", serving_and_filler(150, 50), at(500));
    const auto third = keeper.plan("w1", serving_and_filler(150, 25), at(1000));

    // then: stopped on the third look at the latest
    cr_assert(first == (std::vector<pace_change>{{{"fills", 0, 0, 0}, 2, 50}}));
    cr_assert(second.at(0).percent == 25);
    cr_assert(third.at(0).percent == 0);
}

Test(pace_keeper, lets_fillers_work_again_after_a_calm_time)
{
    // given
    pace_keeper keeper;
    keeper.plan("w1", serving_and_filler(150, 0), at(0));

    // when, then
    cr_assert(keeper.plan("w1", serving_and_filler(50, 0), at(1000)).empty());
    cr_assert(keeper.plan("w1", serving_and_filler(90, 0), at(3000)).empty());
    cr_assert(keeper.plan("w1", serving_and_filler(50, 0), at(3000)).at(0).percent == 25);
}

Test(pace_keeper, leaves_fillers_alone_where_nobody_is_disturbed)
{
    // given
    pace_keeper keeper;

    // when, then
    cr_assert(keeper.plan("w1", serving_and_filler(50, 100), at(0)).empty());
}

} // namespace
