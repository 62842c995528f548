#include "workers/protocol.h"

#include "common/json_reader.h"

namespace chervilslip::workers {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;
using requests::attempt_id;
using requests::reply_kind;

constexpr std::array<std::pair<reply_kind, std::string_view>, 7> kind_names{{
    {reply_kind::claimed, "claimed"},
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

std::string_view claim_name(requests::claim_kind kind)
{
    switch (kind) {
    case requests::claim_kind::free:
        return "free";
    case requests::claim_kind::running:
        return "running";
    case requests::claim_kind::finished:
        return "finished";
    case requests::claim_kind::inconclusive:
    case requests::claim_kind::unreachable:
        break;
    }
    return "inconclusive";
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
                         {"need", resources_json(each.need)},
                         {"lease_left_ms", each.lease_left.count()}});
    }
    return {{"epoch", usage.epoch},
            {"version", usage.version},
            {"draining", usage.draining},
            {"tasks", tasks}};
}

json to_json(const claim_reply& reply)
{
    json body = {{"state", claim_name(reply.kind)},
                 {"epoch", reply.epoch},
                 {"attempt", reply.attempt},
                 {"succeeded", reply.succeeded},
                 {"output", reply.output},
                 {"team", reply.team},
                 {"queue", reply.queue}};
    if (reply.forgot_before) {
        body["forgot_before_ms"] = reply.forgot_before->count();
    }
    return body;
}

common::result<claim_reply> parse_claim_reply(const std::string& text, const std::string& peer)
{
    return common::read_json<claim_reply>("read claim reply", text, peer, [](const json& source) {
        claim_reply reply;
        const auto state = source.at("state").get<std::string>();
        reply.kind = state == "free"       ? requests::claim_kind::free
                     : state == "running"  ? requests::claim_kind::running
                     : state == "finished" ? requests::claim_kind::finished
                                           : requests::claim_kind::inconclusive;
        reply.epoch = source.at("epoch").get<std::string>();
        reply.attempt = source.at("attempt").get<int>();
        reply.succeeded = source.at("succeeded").get<bool>();
        reply.output = source.at("output").get<std::string>();
        reply.team = source.at("team").get<std::string>();
        reply.queue = source.at("queue").get<std::string>();
        if (source.contains("forgot_before_ms")) {
            reply.forgot_before =
                common::milliseconds(source.at("forgot_before_ms").get<std::int64_t>());
        }
        return reply;
    });
}

requests::claim_replied claim_for_node(const claim_reply& reply, const std::string& task,
                                       const std::string& worker, common::milliseconds memory)
{
    requests::claim_replied known;
    known.attempt = {task, reply.attempt, worker, reply.epoch};
    known.kind = reply.kind;
    known.succeeded = reply.succeeded;
    known.output = reply.output;
    const bool forgot = reply.forgot_before && *reply.forgot_before < memory;
    if (reply.kind == requests::claim_kind::free && forgot) {
        known.kind = requests::claim_kind::inconclusive;
    }
    return known;
}

common::result<start_order> parse_start_order(const std::string& text, const std::string& peer)
{
    return common::read_json<start_order>("read start order", text, peer, [](const json& source) {
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
    return common::read_json<usage_snapshot>("read usage", text, peer, [](const json& source) {
        usage_snapshot usage;
        usage.epoch = source.at("epoch").get<std::string>();
        usage.version = source.at("version").get<std::int64_t>();
        usage.draining = source.at("draining").get<bool>();
        for (const json& each : source.at("tasks")) {
            usage.tasks.push_back(
                {each.at("task").get<std::string>(), each.at("request").get<std::string>(),
                 each.at("attempt").get<int>(), each.at("node").get<std::string>(),
                 each.at("team").get<std::string>(), parse_resources(each.at("need")),
                 common::milliseconds(each.at("lease_left_ms").get<std::int64_t>())});
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
    return common::read_json<task_reply>("read task reply", text, attempt.worker, read);
}

routing::usage_report report_for_node(const usage_snapshot& usage, const std::string& node)
{
    routing::usage_report report{usage.epoch, {}, usage.draining, {}, {}};
    for (const running_task& each : usage.tasks) {
        const routing::reported_task task{each.task, each.team, each.need, each.node,
                                          each.lease_left};
        if (each.node == node) {
            report.local_tasks.push_back(task);
        } else {
            report.remote_usage += each.need;
            report.remote_tasks.push_back(task);
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
