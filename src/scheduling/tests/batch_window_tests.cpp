#include <criterion/criterion.h>

#include "scheduling/batch_window.h"

namespace {

using chervilslip::common::milliseconds;
using chervilslip::scheduling::batch_window;

} // namespace

Test(batch_window, gathers_nothing_while_the_owner_keeps_up)
{
    batch_window window;
    for (int i = 0; i < 100; ++i) {
        window.observe(milliseconds(i % 3));
        cr_assert(window.length() == milliseconds(0));
    }
}

Test(batch_window, grows_with_the_lag_up_to_a_bound)
{
    batch_window window;
    window.observe(milliseconds(20));
    cr_assert(window.length() == milliseconds(20));
    window.observe(milliseconds(5000));
    cr_assert(window.length() == batch_window::longest);
}

Test(batch_window, keeps_its_length_while_the_lag_comes_and_goes)
{
    batch_window window;
    for (int i = 0; i < 100; ++i) {
        window.observe(milliseconds(i % 4 == 0 ? 30 : 0));
        cr_assert(window.length() >= milliseconds(20), "%d", i);
    }
}

Test(batch_window, is_calm_again_within_a_second_of_ticks_after_a_long_lag)
{
    batch_window window;
    window.observe(milliseconds(10'000));
    int ticks = 0;
    for (; window.length() > milliseconds(0); ++ticks) {
        window.observe(milliseconds(0));
    }
    constexpr int ticks_of_a_second = 66;
    cr_assert(ticks < ticks_of_a_second, "%d ticks", ticks);
}
