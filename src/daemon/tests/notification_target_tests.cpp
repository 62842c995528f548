#include <criterion/criterion.h>

#include "daemon/notification_target.h"

namespace {

using namespace chervilslip::daemon;

Test(notification_target, a_target_that_was_encoded_is_parsed)
{
    const notification_target target{"/cell/cancel/j1", 4711};
    cr_assert(parse_target(encode_target(target)) == target);
}

Test(notification_target, the_revision_is_unknown_in_targets_of_earlier_versions)
{
    cr_assert(parse_target("/cell/cancel/j1") == (notification_target{"/cell/cancel/j1", 0}));
    cr_assert(parse_target("/cell/job?revision=") == (notification_target{"/cell/job", 0}));
    cr_assert(parse_target("/cell/job?revision=7x") == (notification_target{"/cell/job", 0}));
}

} // namespace
