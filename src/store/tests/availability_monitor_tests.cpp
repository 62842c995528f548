#include <criterion/criterion.h>

#include "store/availability_monitor.h"

namespace {

using namespace chervilslip;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + common::milliseconds(ms));
}

Test(availability_monitor, one_lost_answer_is_no_outage)
{
    // given
    store::availability_monitor reach;
    reach.record_response(at(0));

    // when
    reach.record_failure(at(1000));

    // then
    cr_assert(!reach.is_unavailable(at(1000)));
}

Test(availability_monitor, failures_alone_mean_out_of_reach_until_an_answer)
{
    // given
    store::availability_monitor reach;
    reach.record_response(at(0));

    // when, then
    reach.record_failure(at(400));
    reach.record_failure(at(450));
    cr_assert(reach.is_unavailable(at(460)));
    reach.record_response(at(470));
    cr_assert(!reach.is_unavailable(at(480)));
}

Test(availability_monitor, failures_beside_answers_are_no_outage)
{
    // given
    store::availability_monitor reach;

    // when
    reach.record_response(at(300));
    reach.record_failure(at(400));
    reach.record_failure(at(450));

    // then
    cr_assert(!reach.is_unavailable(at(460)));
}

Test(availability_monitor, old_failures_say_nothing)
{
    // given
    store::availability_monitor reach;
    reach.record_failure(at(400));
    reach.record_failure(at(450));

    // when, then
    cr_assert(reach.is_unavailable(at(2000)));
    cr_assert(!reach.is_unavailable(at(3000)));
}

} // namespace
