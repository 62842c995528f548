#include <criterion/criterion.h>

#include "daemon/message_delay.h"

namespace {

using namespace chervilslip;
using common::milliseconds;

common::steady_time time_at(std::int64_t ms)
{
    return common::steady_time(milliseconds(ms));
}

Test(message_delay, a_message_is_compared_with_the_fastest_one)
{
    daemon::message_delay delay;
    cr_assert(delay.observe(milliseconds(70'000), time_at(500)) == milliseconds(0));
    cr_assert(delay.observe(milliseconds(70'100), time_at(597)) == milliseconds(0));
    cr_assert(delay.observe(milliseconds(70'200), time_at(3697)) >= milliseconds(2990));
    cr_assert(delay.observe(milliseconds(73'300), time_at(3797)) < milliseconds(10));
}

Test(message_delay, clocks_of_different_rates_do_not_make_messages_late)
{
    // given a peer's clock that is slow by 5 in 10,000
    daemon::message_delay delay;
    for (std::int64_t ms = 0; ms < 24 * 3600 * 1000; ms += 60'000) {
        // when, then
        const std::int64_t sent = ms - ms / 2000;
        cr_assert(delay.observe(milliseconds(sent), time_at(ms)) < milliseconds(100));
    }
}

} // namespace
