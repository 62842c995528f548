#include "scheduling/progress.h"

#include <nlohmann/json.hpp>

namespace chervilslip::scheduling {

namespace {

using nlohmann::json;

// A task that is untouched or done is encoded as one number, any other task as an array.
constexpr int untouched_task = 0;
constexpr int done_task = 1;

json task_to_json(const task_progress& value)
{
    if (value.state == task_progress::phase::done) {
        return done_task;
    }
    if (value.run == 0 && value.failures == 0) {
        return untouched_task;
    }
    json row = json::array({value.run, value.failures, value.checkpoint});
    if (value.state == task_progress::phase::open) {
        row.push_back(value.worker.id);
        row.push_back(value.worker.started_at_ms);
    }
    return row;
}

task_progress task_from_json(const json& row)
{
    task_progress value;
    if (row.is_number()) {
        const bool done = row.get<int>() == done_task;
        value.state = done ? task_progress::phase::done : task_progress::phase::waiting;
        return value;
    }
    value.run = row.at(0).get<std::int64_t>();
    value.failures = row.at(1).get<std::int64_t>();
    value.checkpoint = row.at(2).get<std::string>();
    if (row.size() > 3) {
        value.state = task_progress::phase::open;
        value.worker.id = row.at(3).get<std::string>();
        value.worker.started_at_ms = row.at(4).get<std::int64_t>();
    }
    return value;
}

json tasks_to_json(const job_progress& value)
{
    json occurrences = json::array();
    for (const auto& steps : value.tasks) {
        json step_rows = json::array();
        for (const auto& tasks : steps) {
            json task_rows = json::array();
            for (const task_progress& each : tasks) {
                task_rows.push_back(task_to_json(each));
            }
            step_rows.push_back(std::move(task_rows));
        }
        occurrences.push_back(std::move(step_rows));
    }
    return occurrences;
}

} // namespace

job_progress initial_progress(const jobs::job& job)
{
    job_progress value;
    std::vector<std::vector<task_progress>> steps;
    for (const jobs::step& each : job.steps) {
        steps.emplace_back(static_cast<std::size_t>(each.count));
    }
    value.tasks.assign(static_cast<std::size_t>(job.occurrences()), steps);
    return value;
}

std::string encode_progress(const job_progress& value)
{
    const json row =
        json::array({static_cast<int>(value.state), value.ended_ms, tasks_to_json(value)});
    std::string bytes;
    json::to_msgpack(row, bytes);
    return bytes;
}

common::result<job_progress> decode_progress(const std::string& bytes, const std::string& peer)
{
    try {
        const json row = json::from_msgpack(bytes);
        job_progress value;
        value.state = static_cast<jobs::job_state>(row.at(0).get<int>());
        value.ended_ms = row.at(1).get<std::int64_t>();
        for (const json& steps : row.at(2)) {
            auto& occurrence = value.tasks.emplace_back();
            for (const json& tasks : steps) {
                auto& step = occurrence.emplace_back();
                for (const json& each : tasks) {
                    step.push_back(task_from_json(each));
                }
            }
        }
        return value;
    } catch (const json::exception& failure) {
        return common::make_error(common::errc::bad_message, "decode job progress", peer,
                                  failure.what());
    }
}

} // namespace chervilslip::scheduling
