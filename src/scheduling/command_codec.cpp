#include "scheduling/command_codec.h"

#include <nlohmann/json.hpp>

namespace chervilslip::scheduling {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;

enum class command_kind { poll, start, stop, throttle };

jobs::task_id read_task(const json& source)
{
    const auto text = source.get<std::string>();
    auto task = jobs::parse_task_id(text);
    if (!task) {
        throw std::invalid_argument("\"" + text + "\" is not a task id");
    }
    return std::move(*task);
}

/// Collects the payloads of a batch. All tasks of a job share one payload, which is stored once.
class payload_table {
public:
    std::size_t index_of(const start_command& command)
    {
        const auto [found, is_new] = this->by_job.try_emplace(command.task.job, this->texts.size());
        if (is_new) {
            this->texts.push_back(command.payload);
        }
        return found->second;
    }

    [[nodiscard]] const json& all() const
    {
        return this->texts;
    }

private:
    std::map<std::string, std::size_t> by_job;
    json texts = json::array();
};

json command_header(std::uint64_t number, command_kind kind, const worker_instance& worker,
                    const std::string& address)
{
    return json::array({number, static_cast<int>(kind), worker.id, worker.started_at_ms, address});
}

json to_row(std::uint64_t number, const poll_command& command, payload_table&)
{
    json row = command_header(number, command_kind::poll, command.worker, command.address);
    row.push_back(command.acknowledged);
    row.push_back(command.deadline_ms ? json(*command.deadline_ms) : json());
    row.push_back(command.wait.count());
    return row;
}

json to_row(std::uint64_t number, const start_command& command, payload_table& payloads)
{
    json row = command_header(number, command_kind::start, command.worker, command.address);
    row.push_back(command.task.to_string());
    row.push_back(command.run);
    row.push_back(payloads.index_of(command));
    row.push_back(command.deadline_ms);
    row.push_back(command.checkpoint);
    row.push_back(command.ticket);
    return row;
}

json to_row(std::uint64_t number, const stop_command& command, payload_table&)
{
    json row = command_header(number, command_kind::stop, command.worker, command.address);
    row.push_back(command.task.to_string());
    row.push_back(command.run);
    return row;
}

json to_row(std::uint64_t number, const throttle_command& command, payload_table&)
{
    json row = command_header(number, command_kind::throttle, command.worker, command.address);
    row.push_back(command.task.to_string());
    row.push_back(command.run);
    row.push_back(command.percent);
    return row;
}

numbered_command read_command(const json& row, const json& payloads)
{
    const auto number = row.at(0).get<std::uint64_t>();
    const worker_instance worker{row.at(2).get<std::string>(), row.at(3).get<std::int64_t>()};
    const auto address = row.at(4).get<std::string>();
    switch (static_cast<command_kind>(row.at(1).get<int>())) {
    case command_kind::poll: {
        poll_command command{worker, address, row.at(5).get<std::int64_t>(), {}, {}};
        if (!row.at(6).is_null()) {
            command.deadline_ms = row.at(6).get<std::int64_t>();
        }
        command.wait = common::milliseconds(row.at(7).get<std::int64_t>());
        return {number, std::move(command)};
    }
    case command_kind::start:
        return {number,
                start_command{worker, address, read_task(row.at(5)), row.at(6).get<std::int64_t>(),
                              payloads.at(row.at(7).get<std::size_t>()).get<std::string>(),
                              row.at(8).get<std::int64_t>(), row.at(9).get<std::string>(),
                              row.at(10).get<std::string>()}};
    case command_kind::stop:
        return {number,
                stop_command{worker, address, read_task(row.at(5)), row.at(6).get<std::int64_t>()}};
    case command_kind::throttle:
        return {number,
                throttle_command{worker, address, read_task(row.at(5)),
                                 row.at(6).get<std::int64_t>(), row.at(7).get<std::int64_t>()}};
    }
    throw std::invalid_argument("unknown command kind");
}

json to_row(const worker_report& report)
{
    json running = json::array();
    for (const reported_run& row : report.running) {
        running.push_back({row.task.to_string(), row.run, row.checkpoint, row.percent, row.load});
    }
    json finished = json::array();
    for (const finished_run& row : report.finished) {
        finished.push_back({row.number, row.task.to_string(), row.run, static_cast<int>(row.cause),
                            row.checkpoint});
    }
    return json::array({report.started_at_ms, report.clock_ms, running, finished});
}

worker_report read_report(const json& source)
{
    worker_report report;
    report.started_at_ms = source.at(0).get<std::int64_t>();
    report.clock_ms = source.at(1).get<std::int64_t>();
    for (const json& row : source.at(2)) {
        report.running.push_back({read_task(row.at(0)), row.at(1).get<std::int64_t>(),
                                  row.at(2).get<std::string>(), row.at(3).get<std::int64_t>(),
                                  row.at(4).get<std::int64_t>()});
    }
    for (const json& row : source.at(3)) {
        report.finished.push_back(
            {row.at(0).get<std::int64_t>(), read_task(row.at(1)), row.at(2).get<std::int64_t>(),
             static_cast<end_cause>(row.at(3).get<int>()), row.at(4).get<std::string>()});
    }
    return report;
}

std::string pack(const json& source)
{
    std::string bytes;
    json::to_msgpack(source, bytes);
    return bytes;
}

/// Decodes MessagePack and converts it with `read`. Input of an unexpected structure is an error.
template <typename T, typename Read>
common::result<T> unpack(const std::string& bytes, const std::string& step, const std::string& peer,
                         Read read)
{
    try {
        return read(json::from_msgpack(bytes));
    } catch (const json::exception& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    } catch (const std::invalid_argument& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    }
}

} // namespace

std::string encode_commands(const command_batch& batch)
{
    payload_table payloads;
    json rows = json::array();
    for (const numbered_command& each : batch.commands) {
        rows.push_back(
            std::visit([&](const auto& command) { return to_row(each.number, command, payloads); },
                       each.command));
    }
    return pack(json::array({batch.token, payloads.all(), std::move(rows)}));
}

common::result<command_batch> decode_commands(const std::string& bytes, const std::string& peer)
{
    return unpack<command_batch>(bytes, "decode commands", peer, [](const json& source) {
        command_batch batch;
        batch.token = source.at(0).get<std::int64_t>();
        for (const json& row : source.at(2)) {
            batch.commands.push_back(read_command(row, source.at(1)));
        }
        return batch;
    });
}

std::string encode_results(const std::vector<numbered_result>& results)
{
    json rows = json::array();
    for (const numbered_result& each : results) {
        json row = json::array({each.number, static_cast<int>(each.outcome), each.clock_ms});
        if (each.report) {
            row.push_back(to_row(*each.report));
        }
        rows.push_back(std::move(row));
    }
    return pack(rows);
}

common::result<std::vector<numbered_result>> decode_results(const std::string& bytes,
                                                            const std::string& peer)
{
    return unpack<std::vector<numbered_result>>(
        bytes, "decode command results", peer, [](const json& source) {
            std::vector<numbered_result> results;
            for (const json& row : source) {
                numbered_result& one = results.emplace_back();
                one.number = row.at(0).get<std::uint64_t>();
                one.outcome = static_cast<command_outcome>(row.at(1).get<int>());
                one.clock_ms = row.at(2).get<std::int64_t>();
                if (row.size() > 3) {
                    one.report = read_report(row.at(3));
                }
            }
            return results;
        });
}

} // namespace chervilslip::scheduling
