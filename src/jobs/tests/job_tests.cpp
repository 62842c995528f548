#include <criterion/criterion.h>

#include "jobs/job_checker.h"
#include "jobs/job_codec.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::jobs;

job sample_job()
{
    job sample;
    sample.id = "5c0e7a21d94b36f8";
    sample.queue = "permits";
    sample.team = "fire";
    sample.payload = std::string("\xff\x00 any bytes", 12);
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
    sample.steps = {first, second};
    sample.accepted_ms = 1234;
    return sample;
}

Test(job, every_field_survives_encoding_and_decoding)
{
    // given
    const job sample = sample_job();

    // when
    const auto decoded = decode_job(encode_job(sample), "store");

    // then
    cr_assert(decoded.has_value());
    cr_assert(decoded.value() == sample);
}

Test(job, invalid_bytes_are_an_error_that_names_the_peer)
{
    // given, when
    const auto decoded = decode_job("not msgpack at all", "job/1");

    // then
    cr_assert(!decoded.has_value());
    cr_assert(decoded.error().code == common::errc::bad_message);
    cr_assert(decoded.error().peer == "job/1");
}

Test(job, a_step_may_only_depend_on_earlier_steps)
{
    // given
    job sample = sample_job();
    sample.steps[1].after = {1};

    // when
    const auto checked = check_job(sample);

    // then
    cr_assert(!checked.has_value());
    cr_assert(checked.error().detail ==
              "steps[1].after names step 1, which is not an earlier step");
}

Test(job, an_oversized_payload_and_a_job_without_steps_are_refused)
{
    // given
    job oversized = sample_job();
    oversized.payload.assign(max_payload_bytes + 1, 'x');
    job without_steps = sample_job();
    without_steps.steps.clear();

    // when, then
    cr_assert(!check_job(oversized).has_value());
    cr_assert(!check_job(without_steps).has_value());
    cr_assert(check_job(sample_job()).has_value());
}

Test(job, a_job_whose_progress_would_not_fit_into_the_store_is_refused)
{
    // given: each number is allowed by itself
    job scheduled = sample_job();
    scheduled.steps.resize(1);
    scheduled.steps[0].count = 1100;
    scheduled.repeats = 1000;

    // when
    const auto checked = check_job(scheduled);
    scheduled.repeats = 9;

    // then
    cr_assert(!checked.has_value());
    cr_assert(checked.error().detail ==
              "1100 tasks in 1000 occurrences are 1100000 runs; the limit is 10000");
    cr_assert(check_job(scheduled).has_value());
}

Test(job, task_ids_are_parsed_and_other_texts_are_not)
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
