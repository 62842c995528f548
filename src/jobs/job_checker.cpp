#include "jobs/job_checker.h"

namespace chervilslip::jobs {

namespace {

common::error invalid(const job& wanted, std::string detail)
{
    return common::make_error(common::errc::invalid, "check job", wanted.id, std::move(detail));
}

std::string problem_of_step(const job& wanted, step_index index)
{
    const step& each = wanted.steps.at(index);
    const std::string name = "steps[" + std::to_string(index) + "]";
    if (each.count < 1) {
        return name + ".count is " + std::to_string(each.count) + "; the least is 1";
    }
    if (each.task_resources.processors < 0 || each.task_resources.memory_mb < 0 ||
        each.task_resources.accelerators < 0) {
        return name + " asks for a negative amount";
    }
    for (const step_index earlier : each.after) {
        if (earlier >= index) {
            return name + ".after names step " + std::to_string(earlier) +
                   ", which is not an earlier step";
        }
    }
    return {};
}

} // namespace

common::result<void> check_job(const job& wanted)
{
    if (wanted.payload.size() > max_payload_bytes) {
        return invalid(wanted, "spec has " + std::to_string(wanted.payload.size()) +
                                   " bytes; the limit is " + std::to_string(max_payload_bytes));
    }
    if (wanted.steps.empty()) {
        return invalid(wanted, "steps is empty");
    }
    if (wanted.repeats < 0 || wanted.repeats > max_occurrences) {
        return invalid(wanted, "repeats is " + std::to_string(wanted.repeats) + "; the limit is " +
                                   std::to_string(max_occurrences));
    }
    std::int64_t tasks = 0;
    for (step_index i = 0; i < wanted.steps.size(); ++i) {
        const std::string problem = problem_of_step(wanted, i);
        if (!problem.empty()) {
            return invalid(wanted, problem);
        }
        tasks += wanted.steps[i].count;
        if (tasks > max_tasks_of_job) {
            return invalid(wanted, "more than " + std::to_string(max_tasks_of_job) + " tasks");
        }
    }
    return boost::outcome_v2::success();
}

} // namespace chervilslip::jobs
