#include "scheduling/progress.h"

#include <utility>

#include "common/msgpack_row.h"

namespace chervilslip::scheduling {

namespace {

using common::msgpack_row;
using common::msgpack_writer;

// A task that is untouched or done is encoded as one number, any other task as an array.
constexpr int untouched_task = 0;
constexpr int done_task = 1;
constexpr std::size_t fields_of_waiting_task = 3;
constexpr std::size_t fields_of_open_task = 5;
constexpr std::size_t fields_of_late_task = 6; // earlier versions ignore the last one

// What is known of starts that may crash the worker follows in a list of its own, and redundant
// runs in another one. Earlier versions neither write nor read them.
constexpr std::size_t fields_of_progress = 3;
constexpr std::size_t fields_with_start_records = 4;
constexpr std::size_t fields_with_redundant_runs = 5;
constexpr std::size_t fields_with_crashed_run = 7;
constexpr std::size_t fields_of_start_record = 8;
constexpr std::size_t fields_of_redundant_run = 7;
constexpr std::size_t fields_with_late_mark = 7;

struct start_record {
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;
    std::int64_t crashes = 0;
    std::int64_t certain_crashes = 0;
    bool survived = false;
    std::int64_t last_crashed_run = 0;
    std::int64_t event_crashes = 0;

    friend bool operator==(const start_record&, const start_record&) = default;
};

std::vector<start_record> start_records(const job_progress& value)
{
    std::vector<start_record> records;
    for (std::size_t k = 0; k < value.tasks.size(); ++k) {
        for (std::size_t s = 0; s < value.tasks[k].size(); ++s) {
            for (std::size_t i = 0; i < value.tasks[k][s].size(); ++i) {
                const task_progress& task = value.tasks[k][s][i];
                const std::int64_t crashes = task.crashes + task.unexplained_losses;
                if (crashes > 0 || task.survived) {
                    records.push_back({k, s, i, crashes, task.certain_crashes, task.survived,
                                       task.last_crashed_run, task.event_crashes});
                }
            }
        }
    }
    return records;
}

/// A task with a redundant run.
struct redundant_run {
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;
    std::int64_t run = 0;
    worker_instance worker;
    bool may_begin_late = false;

    friend bool operator==(const redundant_run&, const redundant_run&) = default;
};

std::vector<redundant_run> redundant_runs(const job_progress& value)
{
    std::vector<redundant_run> runs;
    for (std::size_t k = 0; k < value.tasks.size(); ++k) {
        for (std::size_t s = 0; s < value.tasks[k].size(); ++s) {
            for (std::size_t i = 0; i < value.tasks[k][s].size(); ++i) {
                const task_progress& task = value.tasks[k][s][i];
                if (task.has_redundant_run()) {
                    runs.push_back({k, s, i, task.run, task.worker, task.may_begin_late});
                }
            }
        }
    }
    return runs;
}

void write_task(msgpack_writer& to, const task_progress& value)
{
    if (value.state == task_progress::phase::done) {
        to.add(done_task);
        return;
    }
    if (value.run == 0 && value.failures == 0) {
        to.add(untouched_task);
        return;
    }
    const bool open = value.state == task_progress::phase::open;
    const bool is_late = open && value.may_begin_late;
    to.array(is_late ? fields_of_late_task
             : open  ? fields_of_open_task
                     : fields_of_waiting_task)
        .add(value.run)
        .add(value.failures)
        .add(value.checkpoint);
    if (open) {
        to.add(value.worker.id).add(value.worker.started_at_ms);
    }
    if (is_late) {
        to.add(true);
    }
}

task_progress read_task(const msgpack::object& source)
{
    task_progress value;
    if (source.type != msgpack::type::ARRAY) {
        const bool done = source.as<int>() == done_task;
        value.state = done ? task_progress::phase::done : task_progress::phase::waiting;
        return value;
    }
    const msgpack_row row(source);
    value.run = row.get<std::int64_t>(0);
    value.failures = row.get<std::int64_t>(1);
    value.checkpoint = row.get<std::string>(2);
    if (row.size() > fields_of_waiting_task) {
        value.state = task_progress::phase::open;
        value.worker.id = row.get<std::string>(3);
        value.worker.started_at_ms = row.get<std::int64_t>(4);
        value.may_begin_late = row.size() >= fields_of_late_task && row.get<bool>(5);
    }
    return value;
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

common::result<void> check_progress(const job_progress& value, const jobs::job& of)
{
    const auto differs = [&of](const std::string& what, std::size_t stored, std::int64_t expected) {
        return common::make_error(common::errc::bad_message, "check job progress", of.id,
                                  std::to_string(stored) + " " + what + "; the job has " +
                                      std::to_string(expected));
    };
    if (value.tasks.empty()) {
        return boost::outcome_v2::success();
    }
    if (std::cmp_not_equal(value.tasks.size(), of.occurrences())) {
        return differs("occurrences", value.tasks.size(), of.occurrences());
    }
    for (const auto& steps : value.tasks) {
        if (steps.size() != of.steps.size()) {
            return differs("steps", steps.size(), static_cast<std::int64_t>(of.steps.size()));
        }
        for (std::size_t s = 0; s < steps.size(); ++s) {
            if (std::cmp_not_equal(steps[s].size(), of.steps[s].count)) {
                return differs("tasks in step " + std::to_string(s), steps[s].size(),
                               of.steps[s].count);
            }
        }
    }
    return boost::outcome_v2::success();
}

std::int64_t crash_evidence(const task_progress& task, const jobs::step& step)
{
    // Guilty tasks that crash their workers beside others would be started too often. Tasks that
    // last have no bound on starts.
    const bool is_excused = step.long_running || task.crashes <= max_excused_crashes;
    return is_excused ? task.crashes - task.event_crashes : task.crashes;
}

void reset_crashes(task_progress& task)
{
    task.crashes = 0;
    task.certain_crashes = 0;
    task.event_crashes = 0;
}

std::string encode_progress(const job_progress& value)
{
    std::string bytes;
    msgpack_writer to(bytes);
    const std::vector<start_record> records = start_records(value);
    const std::vector<redundant_run> redundant = redundant_runs(value);
    to.array(!redundant.empty() ? fields_with_redundant_runs
             : !records.empty() ? fields_with_start_records
                                : fields_of_progress)
        .add(static_cast<int>(value.state))
        .add(value.ended_ms)
        .array(value.tasks.size());
    for (const auto& steps : value.tasks) {
        to.array(steps.size());
        for (const auto& tasks : steps) {
            to.array(tasks.size());
            for (const task_progress& each : tasks) {
                write_task(to, each);
            }
        }
    }
    if (!records.empty() || !redundant.empty()) {
        to.array(records.size());
    }
    for (const start_record& each : records) {
        to.array(fields_of_start_record)
            .add(each.occurrence)
            .add(each.step)
            .add(each.index)
            .add(each.crashes)
            .add(each.certain_crashes)
            .add(each.survived)
            .add(each.last_crashed_run)
            .add(each.event_crashes);
    }
    if (!redundant.empty()) {
        to.array(redundant.size());
    }
    for (const redundant_run& each : redundant) {
        to.array(fields_of_redundant_run)
            .add(each.occurrence)
            .add(each.step)
            .add(each.index)
            .add(each.run)
            .add(each.worker.id)
            .add(each.worker.started_at_ms)
            .add(each.may_begin_late);
    }
    return bytes;
}

common::result<job_progress> decode_progress(const std::string& bytes, const std::string& peer)
{
    return common::read_msgpack<job_progress>(
        bytes, "decode job progress", peer, [](const msgpack_row& row) {
            job_progress value;
            const int state = row.get<int>(0);
            if (state < 0 || state > static_cast<int>(jobs::job_state::cancelled)) {
                throw msgpack::type_error();
            }
            value.state = static_cast<jobs::job_state>(state);
            value.ended_ms = row.get<std::int64_t>(1);
            row.row(2).for_each([&value](const msgpack::object& steps) {
                auto& occurrence = value.tasks.emplace_back();
                msgpack_row(steps).for_each([&occurrence](const msgpack::object& tasks) {
                    auto& step = occurrence.emplace_back();
                    msgpack_row(tasks).for_each(
                        [&step](const msgpack::object& each) { step.push_back(read_task(each)); });
                });
            });
            const auto task_of = [&value](const msgpack_row& record) -> task_progress& {
                return value.tasks.at(record.get<std::size_t>(0))
                    .at(record.get<std::size_t>(1))
                    .at(record.get<std::size_t>(2));
            };
            if (row.size() >= fields_with_start_records) {
                row.row(fields_of_progress).for_each([&task_of](const msgpack::object& each) {
                    const msgpack_row record(each);
                    task_progress& task = task_of(record);
                    task.crashes = record.get<std::int64_t>(3);
                    task.certain_crashes = record.get<std::int64_t>(4);
                    task.survived = record.get<bool>(5);
                    if (record.size() >= fields_with_crashed_run) { // not in earlier versions
                        task.last_crashed_run = record.get<std::int64_t>(6);
                    }
                    if (record.size() >= fields_of_start_record) { // not in earlier versions
                        task.event_crashes = record.get<std::int64_t>(7);
                    }
                });
            }
            if (row.size() >= fields_with_redundant_runs) {
                row.row(fields_with_start_records)
                    .for_each([&task_of](const msgpack::object& each) {
                        const msgpack_row record(each);
                        task_progress& task = task_of(record);
                        task.run = record.get<std::int64_t>(3);
                        task.worker = {record.get<std::string>(4), record.get<std::int64_t>(5)};
                        task.may_begin_late = // not in earlier versions
                            record.size() >= fields_with_late_mark && record.get<bool>(6);
                    });
            }
            return value;
        });
}

} // namespace chervilslip::scheduling
