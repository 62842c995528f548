#include "workers/protocol.h"

namespace chervilslip::workers {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;
using requests::attempt_id;
using requests::reply_kind;

constexpr std::array<std::pair<reply_kind, std::string_view>, 6> kind_names{{
    {reply_kind::running, "running"},
    {reply_kind::finished, "finished"},
    {reply_kind::not_started, "not_started"},
    {reply_kind::full, "full"},
    {reply_kind::draining, "draining"},
    {reply_kind::epoch_changed, "epoch_changed"},
}};

std::string_view name_of(reply_kind kind)
{
    const auto* found = std::find_if(kind_names.begin(), kind_names.end(),
                                     [kind](const auto& each) { return each.first == kind; });
    return found == kind_names.end() ? std::string_view{} : found->second;
}

std::optional<reply_kind> kind_of(const std::string& name)
{
    const auto* found = std::find_if(kind_names.begin(), kind_names.end(),
                                     [&name](const auto& each) { return each.second == name; });
    return found == kind_names.end() ? std::nullopt : std::optional{found->first};
}

json resources_json(const teams::resources& amounts)
{
    return {{"processors", amounts.processors},
            {"memory_mb", amounts.memory_mb},
            {"accelerators", amounts.accelerators},
            {"slots", amounts.slots}};
}

teams::resources parse_resources(const json& source)
{
    return {source.at("processors").get<std::int64_t>(), source.at("memory_mb").get<std::int64_t>(),
            source.at("accelerators").get<std::int64_t>(), source.at("slots").get<std::int64_t>()};
}

/// Parses a text and hands it to `read`; any mismatch becomes one error.
template <typename T, typename Read>
common::result<T> read_message(const std::string& step, const std::string& text,
                               const std::string& peer, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    }
}

} // namespace

json to_json(const start_order& order)
{
    return {{"task", order.attempt.task},
            {"attempt", order.attempt.number},
            {"worker", order.attempt.worker},
            {"epoch", order.attempt.epoch},
            {"node", order.node},
            {"incarnation", order.incarnation},
            {"request", order.request},
            {"team", order.team},
            {"queue", order.queue},
            {"body", order.body},
            {"need", resources_json(order.need)},
            {"lease_ms", order.lease.count()},
            {"hold_ms", order.hold.count()},
            {"repeatable", order.repeatable}};
}

json to_json(const attempt_id& attempt, const task_reply& reply)
{
    return {{"task", attempt.task},         {"attempt", attempt.number},
            {"worker", attempt.worker},     {"epoch", attempt.epoch},
            {"state", name_of(reply.kind)}, {"succeeded", reply.succeeded},
            {"output", reply.output},       {"run_ms", reply.run_time.count()}};
}

json to_json(const usage_snapshot& usage)
{
    json tasks = json::array();
    for (const running_task& each : usage.tasks) {
        tasks.push_back({{"task", each.task},
                         {"request", each.request},
                         {"attempt", each.attempt},
                         {"node", each.node},
                         {"team", each.team},
                         {"need", resources_json(each.need)}});
    }
    return {{"epoch", usage.epoch}, {"draining", usage.draining}, {"tasks", tasks}};
}

common::result<start_order> parse_start_order(const std::string& text, const std::string& peer)
{
    return read_message<start_order>("read start order", text, peer, [](const json& source) {
        start_order order;
        order.attempt = {source.at("task").get<std::string>(), source.at("attempt").get<int>(),
                         source.at("worker").get<std::string>(),
                         source.at("epoch").get<std::string>()};
        order.node = source.at("node").get<std::string>();
        order.incarnation = source.at("incarnation").get<std::int64_t>();
        order.request = source.at("request").get<std::string>();
        order.team = source.at("team").get<std::string>();
        order.queue = source.at("queue").get<std::string>();
        order.body = source.at("body").get<std::string>();
        order.need = parse_resources(source.at("need"));
        order.lease = common::milliseconds(source.at("lease_ms").get<std::int64_t>());
        order.hold = common::milliseconds(source.at("hold_ms").get<std::int64_t>());
        order.repeatable = source.at("repeatable").get<bool>();
        return order;
    });
}

common::result<usage_snapshot> parse_usage(const std::string& text, const std::string& peer)
{
    return read_message<usage_snapshot>("read usage", text, peer, [](const json& source) {
        usage_snapshot usage;
        usage.epoch = source.at("epoch").get<std::string>();
        usage.draining = source.at("draining").get<bool>();
        for (const json& each : source.at("tasks")) {
            usage.tasks.push_back(
                {each.at("task").get<std::string>(), each.at("request").get<std::string>(),
                 each.at("attempt").get<int>(), each.at("node").get<std::string>(),
                 each.at("team").get<std::string>(), parse_resources(each.at("need"))});
        }
        return usage;
    });
}

common::result<task_reply> parse_task_reply(const std::string& text, const attempt_id& attempt)
{
    using answer = common::result<task_reply>;
    const auto read = [&attempt](const json& source) -> answer {
        const attempt_id named{
            source.at("task").get<std::string>(), source.at("attempt").get<int>(),
            source.at("worker").get<std::string>(), source.at("epoch").get<std::string>()};
        const auto kind = kind_of(source.at("state").get<std::string>());
        if (named != attempt || !kind) {
            return make_error(errc::bad_message, "read task reply", attempt.worker,
                              kind ? "the reply is to another attempt" : "unknown state");
        }
        return task_reply{*kind, source.at("succeeded").get<bool>(),
                          source.at("output").get<std::string>(),
                          common::milliseconds(source.at("run_ms").get<std::int64_t>())};
    };
    try {
        return read(json::parse(text));
    } catch (const json::exception& failure) {
        return make_error(errc::bad_message, "read task reply", attempt.worker, failure.what());
    }
}

routing::usage_report report_for_node(const usage_snapshot& usage, const std::string& node)
{
    routing::usage_report report{usage.epoch, {}, usage.draining, {}};
    for (const running_task& each : usage.tasks) {
        if (each.node == node) {
            report.own.push_back({each.task, each.team, each.need});
        } else {
            report.by_others += each.need;
        }
    }
    return report;
}

std::string task_target(const attempt_id& attempt, std::string_view verb,
                        common::milliseconds lease, common::milliseconds hold)
{
    return "/v1/tasks/" + attempt.task + "/" + std::string(verb) +
           "?attempt=" + std::to_string(attempt.number) + "&worker=" + attempt.worker +
           "&epoch=" + attempt.epoch + "&lease_ms=" + std::to_string(lease.count()) +
           "&hold_ms=" + std::to_string(hold.count());
}

} // namespace chervilslip::workers
