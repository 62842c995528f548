#include "jobs/job_checker.h"

#include <algorithm>

namespace chervilslip::jobs {

namespace {

common::error invalid(const job& candidate, std::string detail)
{
    return common::make_error(common::errc::invalid, "check job", candidate.id, std::move(detail));
}

std::string problem_in_amount(const std::string& name, std::int64_t amount)
{
    if (amount >= 0 && amount <= max_amount_of_task) {
        return {};
    }
    return name + " is " + std::to_string(amount) + "; allowed is 0 to " +
           std::to_string(max_amount_of_task);
}

std::string problem_in_step(const job& candidate, step_index index)
{
    const step& checked_step = candidate.steps.at(index);
    const std::string name = "steps[" + std::to_string(index) + "]";
    if (checked_step.count < 1 || checked_step.count > max_tasks_of_job) {
        return name + ".count is " + std::to_string(checked_step.count) + "; allowed is 1 to " +
               std::to_string(max_tasks_of_job);
    }
    const teams::resources& size = checked_step.task_resources;
    for (const auto& [resource, amount] :
         {std::pair{".processors", size.processors}, std::pair{".memory_mb", size.memory_mb},
          std::pair{".accelerators", size.accelerators}}) {
        if (std::string problem = problem_in_amount(name + resource, amount); !problem.empty()) {
            return problem;
        }
    }
    for (const step_index dependency : checked_step.after) {
        if (dependency >= index) {
            return name + ".after names step " + std::to_string(dependency) +
                   ", which is not an earlier step";
        }
    }
    return {};
}

template <typename T>
T limited(T value, T largest)
{
    return std::clamp(value, T{0}, largest);
}

} // namespace

common::result<void> check_job(const job& candidate)
{
    if (candidate.payload.size() > max_payload_bytes) {
        return invalid(candidate, "spec has " + std::to_string(candidate.payload.size()) +
                                      " bytes; the limit is " + std::to_string(max_payload_bytes));
    }
    if (candidate.steps.empty()) {
        return invalid(candidate, "steps is empty");
    }
    if (candidate.repeats < 0 || candidate.repeats > max_occurrences) {
        return invalid(candidate, "repeats is " + std::to_string(candidate.repeats) +
                                      "; allowed is 0 to " + std::to_string(max_occurrences));
    }
    std::int64_t tasks = 0;
    for (step_index i = 0; i < candidate.steps.size(); ++i) {
        const std::string problem = problem_in_step(candidate, i);
        if (!problem.empty()) {
            return invalid(candidate, problem);
        }
        tasks += candidate.steps[i].count;
        if (tasks > max_tasks_of_job) {
            return invalid(candidate, "more than " + std::to_string(max_tasks_of_job) + " tasks");
        }
    }
    const std::int64_t runs = tasks * candidate.occurrences();
    if (runs > max_runs_of_job) {
        return invalid(candidate, std::to_string(tasks) + " tasks in " +
                                      std::to_string(candidate.occurrences()) +
                                      " occurrences are " + std::to_string(runs) +
                                      " runs; the limit is " + std::to_string(max_runs_of_job));
    }
    return boost::outcome_v2::success();
}

void limit_hints(job& accepted)
{
    for (step& each : accepted.steps) {
        each.estimate = limited(each.estimate, max_planned_time);
        each.tail_latency_target = limited(each.tail_latency_target, max_planned_time);
        each.max_per_vm = limited(each.max_per_vm, max_tasks_of_job);
        each.max_unavailable = limited(each.max_unavailable, max_tasks_of_job);
    }
    accepted.first_due_ms = limited(accepted.first_due_ms, max_due_ms);
    accepted.interval = limited(accepted.interval, common::milliseconds(max_due_ms));
}

} // namespace chervilslip::jobs
