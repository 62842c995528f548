#include <limits>

#include <criterion/criterion.h>

#include "jobs/job_checker.h"
#include "jobs/job_codec.h"

namespace {

constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t smallest = std::numeric_limits<std::int64_t>::min();

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

// Rule LOST: the sum of the counts overflowed and passed its bound, and no owner could restore the
// job.
Test(job, a_count_that_overflows_the_sum_of_all_tasks_is_refused)
{
    // given
    job overflowing = sample_job();
    overflowing.steps[1].count = largest;

    // when
    const auto checked = check_job(overflowing);

    // then
    cr_assert(!checked.has_value());
    cr_assert(checked.error().detail ==
              "steps[1].count is 9223372036854775807; allowed is 1 to 5000");
}

Test(job, amounts_that_no_vm_has_are_refused)
{
    for (const std::int64_t amount :
         {largest, smallest, std::int64_t{-1}, max_amount_of_task + 1}) {
        // given
        std::vector<job> jobs(3, sample_job());
        jobs[0].steps[0].task_resources.processors = amount;
        jobs[1].steps[1].task_resources.memory_mb = amount;
        jobs[2].steps[1].task_resources.accelerators = amount;

        // when, then
        for (const job& each : jobs) {
            cr_assert(!check_job(each).has_value(), "%lld", static_cast<long long>(amount));
        }
    }
    job greatest = sample_job();
    greatest.steps[0].task_resources.processors = max_amount_of_task;
    cr_assert(check_job(greatest).has_value());
}

Test(job, hints_out_of_range_are_limited_also_where_an_earlier_version_stored_them)
{
    for (const std::int64_t number : {largest, smallest}) {
        // given
        job odd = sample_job();
        odd.repeats = 3;
        odd.first_due_ms = number;
        odd.interval = common::milliseconds(number);
        odd.steps[0].estimate = common::milliseconds(number);
        odd.steps[0].tail_latency_target = common::milliseconds(number);
        odd.steps[0].max_per_vm = number;
        odd.steps[0].max_unavailable = number;

        // when
        const auto decoded = decode_job(encode_job(odd), "store");

        // then
        cr_assert(decoded.has_value());
        const step& limited = decoded.value().steps[0];
        cr_assert(limited.estimate == (number > 0 ? max_planned_time : common::milliseconds(0)));
        cr_assert(limited.tail_latency_target == limited.estimate);
        cr_assert(limited.max_per_vm == (number > 0 ? max_tasks_of_job : 0));
        cr_assert(limited.max_unavailable == limited.max_per_vm);
        cr_assert(decoded.value().due_ms(2) == (number > 0 ? max_due_ms : 0));
    }
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
