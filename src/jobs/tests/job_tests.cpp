#include <criterion/criterion.h>

#include "jobs/job_checker.h"
#include "jobs/job_codec.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::jobs;

job sample_job()
{
    job wanted;
    wanted.id = "5c0e7a21d94b36f8";
    wanted.queue = "permits";
    wanted.team = "fire";
    wanted.payload = std::string("\xff\x00 any bytes", 12);
    step first;
    first.count = 3;
    first.task_resources.processors = 1500;
    first.task_resources.memory_mb = 512;
    step second = first;
    second.after = {0};
    second.checkpoints = true;
    second.long_running = true;
    second.required_label = "a";
    second.max_per_vm = 1;
    wanted.steps = {first, second};
    wanted.accepted_ms = 1234;
    return wanted;
}

Test(job, keeps_every_field_through_the_store)
{
    // given
    const job wanted = sample_job();

    // when
    const auto read = decode_job(encode_job(wanted), "store");

    // then
    cr_assert(read.has_value());
    cr_assert(read.value() == wanted);
}

Test(job, bytes_that_are_no_job_are_an_error_with_the_peer)
{
    // given, when
    const auto read = decode_job("not msgpack at all", "job/1");

    // then
    cr_assert(!read.has_value());
    cr_assert(read.error().code == common::errc::bad_message);
    cr_assert(read.error().peer == "job/1");
}

Test(job, a_step_may_only_wait_for_earlier_steps)
{
    // given
    job wanted = sample_job();
    wanted.steps[1].after = {1};

    // when
    const auto checked = check_job(wanted);

    // then
    cr_assert(!checked.has_value());
    cr_assert(checked.error().detail ==
              "steps[1].after names step 1, which is not an earlier step");
}

Test(job, a_payload_over_its_size_and_no_steps_are_refused)
{
    // given
    job large = sample_job();
    large.payload.assign(max_payload_bytes + 1, 'x');
    job empty = sample_job();
    empty.steps.clear();

    // when, then
    cr_assert(!check_job(large).has_value());
    cr_assert(!check_job(empty).has_value());
    cr_assert(check_job(sample_job()).has_value());
}

Test(job, task_names_are_read_back_and_other_texts_are_not)
{
    // given
    const task_id task{"5c0e7a21d94b36f8", 2, 1, 17};

    // when, then
    cr_assert(parse_task_id(task.to_string()) == task);
    for (const char* text :
         {"", "a", "a.1", "a.1.2", "a.1.2.", "a.1.2.x", "a.1.2.3.4", ".1.2.3", "a.-1.2.3"}) {
        cr_assert(!parse_task_id(text).has_value(), "%s", text);
    }
}

} // namespace
