#include <criterion/criterion.h>

#include "store/availability_monitor.h"

namespace {

using namespace chervilslip;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + common::milliseconds(ms));
}

Test(availability_monitor, single_failure_is_not_an_outage)
{
    // given
    store::availability_monitor monitor;
    monitor.record_response(at(0));

    // when
    monitor.record_failure(at(1000));

    // then
    cr_assert(!monitor.is_unavailable(at(1000)));
}

Test(availability_monitor, consecutive_failures_mean_unavailable_until_a_response)
{
    // given
    store::availability_monitor monitor;
    monitor.record_response(at(0));

    // when, then
    monitor.record_failure(at(400));
    monitor.record_failure(at(450));
    cr_assert(monitor.is_unavailable(at(460)));
    monitor.record_response(at(470));
    cr_assert(!monitor.is_unavailable(at(480)));
}

Test(availability_monitor, failures_soon_after_a_response_are_not_an_outage)
{
    // given
    store::availability_monitor monitor;

    // when
    monitor.record_response(at(300));
    monitor.record_failure(at(400));
    monitor.record_failure(at(450));

    // then
    cr_assert(!monitor.is_unavailable(at(460)));
}

Test(availability_monitor, old_failures_are_ignored)
{
    // given
    store::availability_monitor monitor;
    monitor.record_failure(at(400));
    monitor.record_failure(at(450));

    // when, then
    cr_assert(monitor.is_unavailable(at(2000)));
    cr_assert(!monitor.is_unavailable(at(3000)));
}

} // namespace
