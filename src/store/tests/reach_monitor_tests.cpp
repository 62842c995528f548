#include <criterion/criterion.h>

#include "store/reach_monitor.h"

namespace {

using namespace chervilslip;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + common::milliseconds(ms));
}

Test(reach_monitor, one_lost_answer_is_no_outage)
{
    // given
    store::reach_monitor reach;
    reach.note_answer(at(0));

    // when
    reach.note_failure(at(1000));

    // then
    cr_assert(!reach.is_out_of_reach(at(1000)));
}

Test(reach_monitor, failures_alone_mean_out_of_reach_until_an_answer)
{
    // given
    store::reach_monitor reach;
    reach.note_answer(at(0));

    // when, then
    reach.note_failure(at(400));
    reach.note_failure(at(450));
    cr_assert(reach.is_out_of_reach(at(460)));
    reach.note_answer(at(470));
    cr_assert(!reach.is_out_of_reach(at(480)));
}

Test(reach_monitor, failures_beside_answers_are_no_outage)
{
    // given
    store::reach_monitor reach;

    // when
    reach.note_answer(at(300));
    reach.note_failure(at(400));
    reach.note_failure(at(450));

    // then
    cr_assert(!reach.is_out_of_reach(at(460)));
}

Test(reach_monitor, old_failures_say_nothing)
{
    // given
    store::reach_monitor reach;
    reach.note_failure(at(400));
    reach.note_failure(at(450));

    // when, then
    cr_assert(reach.is_out_of_reach(at(2000)));
    cr_assert(!reach.is_out_of_reach(at(3000)));
}

} // namespace
