#include "jobs/job_codec.h"

#include <nlohmann/json.hpp>

#include "jobs/job_checker.h"

namespace chervilslip::jobs {

namespace {

using nlohmann::json;

constexpr unsigned checkpoints_flag = 1U;
constexpr unsigned gang_flag = 2U;
constexpr unsigned same_rack_flag = 4U;
constexpr unsigned speculative_flag = 8U;
constexpr unsigned long_running_flag = 16U;
constexpr unsigned best_effort_flag = 32U;

unsigned flags_of(const step& value)
{
    return (value.checkpoints ? checkpoints_flag : 0U) | (value.gang ? gang_flag : 0U) |
           (value.same_rack ? same_rack_flag : 0U) | (value.speculative ? speculative_flag : 0U) |
           (value.long_running ? long_running_flag : 0U) |
           (value.best_effort ? best_effort_flag : 0U);
}

json step_to_json(const step& value)
{
    return json::array({value.count, value.task_resources.processors,
                        value.task_resources.memory_mb, value.task_resources.accelerators,
                        value.estimate.count(), value.after, flags_of(value), value.required_label,
                        value.preferred_rack, value.max_per_vm, value.image,
                        value.tail_latency_target.count(), value.max_unavailable});
}

step step_from_json(const json& row)
{
    step value;
    value.count = row.at(0).get<std::int64_t>();
    value.task_resources.processors = row.at(1).get<std::int64_t>();
    value.task_resources.memory_mb = row.at(2).get<std::int64_t>();
    value.task_resources.accelerators = row.at(3).get<std::int64_t>();
    value.estimate = common::milliseconds(row.at(4).get<std::int64_t>());
    value.after = row.at(5).get<std::vector<step_index>>();
    const auto flags = row.at(6).get<unsigned>();
    value.checkpoints = (flags & checkpoints_flag) != 0;
    value.gang = (flags & gang_flag) != 0;
    value.same_rack = (flags & same_rack_flag) != 0;
    value.speculative = (flags & speculative_flag) != 0;
    value.long_running = (flags & long_running_flag) != 0;
    value.best_effort = (flags & best_effort_flag) != 0;
    value.required_label = row.at(7).get<std::string>();
    value.preferred_rack = row.at(8).get<std::string>();
    value.max_per_vm = row.at(9).get<std::int64_t>();
    value.image = row.at(10).get<std::string>();
    value.tail_latency_target = common::milliseconds(row.at(11).get<std::int64_t>());
    value.max_unavailable = row.at(12).get<std::int64_t>();
    return value;
}

json policy_to_json(const queue_policy& value)
{
    return json::array({value.pool, value.priority, value.max_attempts, value.stretch,
                        value.target.count(), value.advised});
}

queue_policy policy_from_json(const json& row)
{
    queue_policy value;
    value.pool = row.at(0).get<std::string>();
    value.priority = row.at(1).get<std::int64_t>();
    value.max_attempts = row.at(2).get<std::int64_t>();
    value.stretch = row.at(3).get<double>();
    value.target = common::milliseconds(row.at(4).get<std::int64_t>());
    value.advised = row.at(5).get<bool>();
    return value;
}

} // namespace

std::string encode_job(const job& value)
{
    json steps = json::array();
    for (const step& each : value.steps) {
        steps.push_back(step_to_json(each));
    }
    // The caller's payload may be any bytes, valid UTF-8 or not, so it is encoded as binary.
    const json::binary_t payload(
        std::vector<std::uint8_t>(value.payload.begin(), value.payload.end()));
    const json row =
        json::array({value.id, value.queue, value.team, json::binary(payload), std::move(steps),
                     value.repeats, value.first_due_ms, value.interval.count(), value.accepted_ms,
                     policy_to_json(value.policy)});
    std::string bytes;
    json::to_msgpack(row, bytes);
    return bytes;
}

common::result<job> decode_job(const std::string& bytes, const std::string& peer)
{
    try {
        const json row = json::from_msgpack(bytes);
        job value;
        value.id = row.at(0).get<std::string>();
        value.queue = row.at(1).get<std::string>();
        value.team = row.at(2).get<std::string>();
        const auto& payload = row.at(3).get_binary();
        value.payload.assign(payload.begin(), payload.end());
        for (const json& each : row.at(4)) {
            value.steps.push_back(step_from_json(each));
        }
        value.repeats = row.at(5).get<std::int64_t>();
        value.first_due_ms = row.at(6).get<std::int64_t>();
        value.interval = common::milliseconds(row.at(7).get<std::int64_t>());
        value.accepted_ms = row.at(8).get<std::int64_t>();
        value.policy = policy_from_json(row.at(9));
        limit_hints(value); // earlier versions stored them as they came
        return value;
    } catch (const json::exception& failure) {
        return common::make_error(common::errc::bad_message, "read stored job", peer,
                                  failure.what());
    }
}

} // namespace chervilslip::jobs
