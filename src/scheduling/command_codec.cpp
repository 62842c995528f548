#include "scheduling/command_codec.h"

#include <limits>

#include "common/msgpack_row.h"

namespace chervilslip::scheduling {

namespace {

using common::msgpack_row;
using common::msgpack_writer;

enum class command_kind { poll, start, stop, throttle };

/// Positions in a batch, which earlier versions end before.
constexpr std::size_t decided_at_field = 3;
constexpr std::size_t result_delay_field = 4; ///< only while there is a delay
constexpr std::size_t fields_of_header = 5;
constexpr std::size_t fields_of_result = 3;
constexpr std::size_t fields_of_run = 5;
constexpr std::size_t fields_of_report = 4;

jobs::task_id read_task(const msgpack::object& source)
{
    const auto text = source.as<std::string_view>();
    auto task = jobs::parse_task_id(text);
    if (!task) {
        throw std::invalid_argument("\"" + std::string(text) + "\" is not a task id");
    }
    return std::move(*task);
}

/// Collects the payloads of a batch. All tasks of a job share one payload, which is stored once.
class payload_table {
public:
    explicit payload_table(const command_batch& batch)
    {
        for (const numbered_command& each : batch.commands) {
            const auto* start = std::get_if<start_command>(&each.command);
            if (start != nullptr &&
                this->index_by_job.try_emplace(start->task.job, this->payloads.size()).second) {
                this->payloads.push_back(&start->payload);
            }
        }
    }

    [[nodiscard]] std::size_t index_of(const start_command& command) const
    {
        return this->index_by_job.at(command.task.job);
    }

    void write(msgpack_writer& to) const
    {
        to.array(this->payloads.size());
        for (const std::string* each : this->payloads) {
            to.add(*each);
        }
    }

private:
    std::map<std::string, std::size_t> index_by_job;
    std::vector<const std::string*> payloads;
};

/// Returns the lowest fencing token in a batch.
std::int64_t base_token_of(const command_batch& batch)
{
    std::int64_t base = std::numeric_limits<std::int64_t>::max();
    for (const numbered_command& each : batch.commands) {
        base = std::min(
            base, std::visit([](const auto& command) { return command.token; }, each.command));
    }
    return batch.commands.empty() ? 0 : base;
}

/// Writes commands as rows: the common header, the fields of the kind, then the fencing token as
/// the difference from that of the batch, unless they are equal.
class command_writer {
public:
    command_writer(msgpack_writer& target, const payload_table& table, std::int64_t token)
        : to(target), payloads(table), base_token(token)
    {
    }

    void write(std::uint64_t number, const poll_command& command)
    {
        this->write_header(number, command_kind::poll, command, 3);
        this->to.add(command.acknowledged);
        if (command.deadline_ms) {
            this->to.add(*command.deadline_ms);
        } else {
            this->to.add_nil();
        }
        this->to.add(static_cast<std::int64_t>(command.wait.count()));
        this->write_token(command);
    }

    void write(std::uint64_t number, const start_command& command)
    {
        this->write_header(number, command_kind::start, command, 6);
        this->write_run(command);
        this->to.add(this->payloads.index_of(command))
            .add(command.deadline_ms)
            .add(command.checkpoint)
            .add(command.ticket);
        this->write_token(command);
    }

    void write(std::uint64_t number, const stop_command& command)
    {
        this->write_header(number, command_kind::stop, command, 2);
        this->write_run(command);
        this->write_token(command);
    }

    void write(std::uint64_t number, const throttle_command& command)
    {
        this->write_header(number, command_kind::throttle, command, 3);
        this->write_run(command);
        this->to.add(command.percent);
        this->write_token(command);
    }

private:
    template <typename Command>
    void write_header(std::uint64_t number, command_kind kind, const Command& command,
                      std::size_t further_fields)
    {
        const std::size_t fields_of_token = command.token == this->base_token ? 0 : 1;
        this->to.array(fields_of_header + further_fields + fields_of_token)
            .add(number)
            .add(static_cast<int>(kind))
            .add(command.worker.id)
            .add(command.worker.started_at_ms)
            .add(command.address);
    }

    template <typename Command>
    void write_token(const Command& command)
    {
        if (command.token != this->base_token) {
            this->to.add(command.token - this->base_token);
        }
    }

    template <typename Command>
    void write_run(const Command& command)
    {
        this->to.add(command.task.to_string()).add(command.run);
    }

    msgpack_writer& to;
    const payload_table& payloads;
    std::int64_t base_token;
};

numbered_command read_command(const msgpack_row& row, const msgpack_row& payloads,
                              std::int64_t base_token)
{
    const auto token_at = [&row, base_token](std::size_t field) {
        return base_token + (row.size() > field ? row.get<std::int64_t>(field) : 0);
    };
    const auto number = row.get<std::uint64_t>(0);
    const worker_instance worker{row.get<std::string>(2), row.get<std::int64_t>(3)};
    const auto address = row.get<std::string>(4);
    switch (static_cast<command_kind>(row.get<int>(1))) {
    case command_kind::poll: {
        poll_command command{worker, address, row.get<std::int64_t>(5), {}, {}, token_at(8)};
        if (!row.at(6).is_nil()) {
            command.deadline_ms = row.get<std::int64_t>(6);
        }
        command.wait = common::milliseconds(row.get<std::int64_t>(7));
        return {number, std::move(command)};
    }
    case command_kind::start:
        return {number,
                start_command{worker, address, read_task(row.at(5)), row.get<std::int64_t>(6),
                              payloads.get<std::string>(row.get<std::size_t>(7)),
                              row.get<std::int64_t>(8), row.get<std::string>(9),
                              row.get<std::string>(10), token_at(11)}};
    case command_kind::stop:
        return {number, stop_command{worker, address, read_task(row.at(5)),
                                     row.get<std::int64_t>(6), token_at(7)}};
    case command_kind::throttle:
        return {number,
                throttle_command{worker, address, read_task(row.at(5)), row.get<std::int64_t>(6),
                                 row.get<std::int64_t>(7), token_at(8)}};
    }
    throw std::invalid_argument("unknown command kind");
}

void write_report(msgpack_writer& to, const worker_report& report)
{
    to.array(fields_of_report + (report.lists_all_ends ? 0U : 1U))
        .add(report.started_at_ms)
        .add(report.clock_ms)
        .array(report.running.size());
    for (const reported_run& row : report.running) {
        to.array(fields_of_run)
            .add(row.task.to_string())
            .add(row.run)
            .add(row.checkpoint)
            .add(row.percent)
            .add(row.load);
    }
    to.array(report.finished.size());
    for (const finished_run& row : report.finished) {
        to.array(fields_of_run)
            .add(row.number)
            .add(row.task.to_string())
            .add(row.run)
            .add(static_cast<int>(row.cause))
            .add(row.checkpoint);
    }
    if (!report.lists_all_ends) {
        to.add(report.lists_all_ends);
    }
}

worker_report read_report(const msgpack_row& source)
{
    worker_report report;
    report.started_at_ms = source.get<std::int64_t>(0);
    report.clock_ms = source.get<std::int64_t>(1);
    const msgpack_row running = source.row(2);
    report.running.reserve(running.size());
    running.for_each([&report](const msgpack::object& each) {
        const msgpack_row row(each);
        report.running.push_back({read_task(row.at(0)), row.get<std::int64_t>(1),
                                  row.get<std::string>(2), row.get<std::int64_t>(3),
                                  row.get<std::int64_t>(4)});
    });
    const msgpack_row finished = source.row(3);
    report.finished.reserve(finished.size());
    finished.for_each([&report](const msgpack::object& each) {
        const msgpack_row row(each);
        report.finished.push_back(
            {row.get<std::int64_t>(0), read_task(row.at(1)), row.get<std::int64_t>(2),
             static_cast<end_cause>(row.get<int>(3)), row.get<std::string>(4)});
    });
    report.lists_all_ends = source.size() <= fields_of_report || source.get<bool>(fields_of_report);
    return report;
}

} // namespace

std::string encode_commands(const command_batch& batch)
{
    const payload_table payloads(batch);
    std::string bytes;
    msgpack_writer to(bytes);
    const bool has_delay = batch.result_delay.count() > 0;
    const std::int64_t base_token = base_token_of(batch);
    to.array(result_delay_field + (has_delay ? 1U : 0U)).add(base_token);
    payloads.write(to);
    to.array(batch.commands.size());
    command_writer writer(to, payloads, base_token);
    for (const numbered_command& each : batch.commands) {
        std::visit([&](const auto& command) { writer.write(each.number, command); }, each.command);
    }
    to.add(static_cast<std::int64_t>(batch.decided_at.count()));
    if (has_delay) {
        to.add(static_cast<std::int64_t>(batch.result_delay.count()));
    }
    return bytes;
}

common::result<command_batch> decode_commands(const std::string& bytes, const std::string& peer)
{
    return common::read_msgpack<command_batch>(
        bytes, "decode commands", peer, [](const msgpack_row& source) {
            command_batch batch;
            const auto base_token = source.get<std::int64_t>(0);
            const msgpack_row payloads = source.row(1);
            if (source.size() > decided_at_field) {
                batch.decided_at = common::milliseconds(source.get<std::int64_t>(decided_at_field));
            }
            if (source.size() > result_delay_field) {
                batch.result_delay = common::milliseconds(
                    std::clamp<std::int64_t>(source.get<std::int64_t>(result_delay_field), 0,
                                             command_batch::max_result_delay.count()));
            }
            source.row(2).for_each([&](const msgpack::object& each) {
                batch.commands.push_back(read_command(msgpack_row(each), payloads, base_token));
            });
            return batch;
        });
}

std::string encode_results(const std::vector<numbered_result>& results)
{
    std::string bytes;
    msgpack_writer to(bytes);
    to.array(results.size());
    for (const numbered_result& each : results) {
        to.array(fields_of_result + (each.report ? 1U : 0U))
            .add(each.number)
            .add(static_cast<int>(each.outcome))
            .add(each.clock_ms);
        if (each.report) {
            write_report(to, *each.report);
        }
    }
    return bytes;
}

common::result<std::vector<numbered_result>> decode_results(const std::string& bytes,
                                                            const std::string& peer)
{
    return common::read_msgpack<std::vector<numbered_result>>(
        bytes, "decode command results", peer, [](const msgpack_row& source) {
            std::vector<numbered_result> results;
            source.for_each([&results](const msgpack::object& each) {
                const msgpack_row row(each);
                numbered_result& one = results.emplace_back();
                one.number = row.get<std::uint64_t>(0);
                one.outcome = static_cast<command_outcome>(row.get<int>(1));
                one.clock_ms = row.get<std::int64_t>(2);
                if (row.size() > fields_of_result) {
                    one.report = read_report(row.row(3));
                }
            });
            return results;
        });
}

} // namespace chervilslip::scheduling
