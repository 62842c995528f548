#include <criterion/criterion.h>

#include "scheduling/progress.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;

Test(progress, encodes_open_failed_and_done_tasks)
{
    // given
    jobs::job job;
    job.steps.resize(2);
    job.steps[0].count = 3;
    job_progress value = initial_progress(job);
    value.state = jobs::job_state::running;
    value.tasks[0][0][0].state = task_progress::phase::done;
    value.tasks[0][0][1] = {task_progress::phase::open, 2, 1, {"w-1", 77}, "0a"};
    value.tasks[0][1][0].run = 4;

    // when
    const auto read = decode_progress(encode_progress(value), "store");

    // then
    cr_assert(read.has_value());
    cr_assert(read.value() == value);
}

Test(progress, malformed_input_is_an_error)
{
    // given, when
    const auto read = decode_progress("x", "progress/1");

    // then
    cr_assert(!read.has_value());
    cr_assert(read.error().code == common::errc::bad_message);
}

} // namespace
