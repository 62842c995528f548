#include "daemon/worker_client.h"
#include "net/http_status.h"

namespace chervilslip::daemon {

namespace {

using requests::reply_kind;

/// A worker responds within this time at the latest, also while the task still runs.
constexpr common::milliseconds hold_time{4000};
constexpr common::milliseconds response_timeout{2000};
/// Short enough to notice the end of a lease in time.
constexpr common::milliseconds busy_usage_hold_time{4000};
constexpr common::milliseconds idle_usage_hold_time{60000};
constexpr std::size_t idle_connections_per_worker = 4;
constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

/// Converts the response to a start or a query, or its loss, into the worker's reply.
requests::worker_replied to_reply(const requests::attempt_id& attempt, bool is_query,
                                  const common::result<net::http_response>& response)
{
    requests::worker_replied reply;
    reply.attempt = attempt;
    reply.was_query = is_query;
    if (!response) {
        reply.kind =
            response.error().may_have_reached_peer() ? reply_kind::lost : reply_kind::not_sent;
        return reply;
    }
    if (response.value().status == net::status_unavailable && !is_query) {
        reply.kind = reply_kind::full;
        return reply;
    }
    if (response.value().status != net::status_ok) {
        return reply;
    }
    const auto parsed = workers::parse_task_reply(response.value().body, attempt);
    if (!parsed) {
        return reply;
    }
    reply.kind = parsed.value().kind;
    reply.succeeded = parsed.value().succeeded;
    reply.output = parsed.value().output;
    reply.run_time = parsed.value().run_time;
    return reply;
}

} // namespace

worker_client::worker_client(boost::asio::io_context& context, std::string node_name,
                             std::int64_t node_incarnation, reply_handler reply,
                             claim_handler claim, usage_handler usage)
    : node(std::move(node_name)), incarnation(node_incarnation), on_reply(std::move(reply)),
      on_claim(std::move(claim)), on_usage(std::move(usage)),
      client(context, idle_connections_per_worker, max_body_bytes)
{
}

void worker_client::call(const requests::attempt_id& attempt, const std::string& address,
                         net::http_request request, bool is_query)
{
    const auto peer = net::parse_endpoint(address);
    if (!peer) {
        requests::worker_replied reply;
        reply.attempt = attempt;
        reply.was_query = is_query;
        reply.kind = reply_kind::not_sent;
        this->on_reply(reply);
        return;
    }
    this->client.call(*peer, std::move(request), hold_time + response_timeout,
                      [this, attempt, is_query](common::result<net::http_response> response) {
                          this->on_reply(to_reply(attempt, is_query, response));
                      });
}

void worker_client::start(const requests::start_task& action, bool repeatable,
                          common::milliseconds task_lease)
{
    workers::start_order order;
    order.attempt = action.attempt;
    order.node = this->node;
    order.incarnation = this->incarnation;
    order.request = action.request;
    order.team = action.team;
    order.queue = action.queue;
    order.body = action.body;
    order.need = teams::resources_of(action.size);
    order.lease = task_lease;
    order.hold = hold_time;
    order.repeatable = repeatable;
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.body =
        workers::to_json(order).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    this->call(action.attempt, action.address, std::move(request), false);
}

void worker_client::query(const requests::query_task& action, common::milliseconds task_lease)
{
    net::http_request request;
    request.method = "POST";
    request.target = workers::task_target(action.attempt, "query", task_lease, hold_time);
    this->call(action.attempt, action.address, std::move(request), true);
}

void worker_client::stop(const requests::stop_task& action)
{
    const auto peer = net::parse_endpoint(action.address);
    if (!peer) {
        return;
    }
    net::http_request request;
    request.method = "POST";
    request.target = workers::task_target(action.attempt, "stop", {}, {});
    this->client.call(*peer, std::move(request), response_timeout,
                      [](const common::result<net::http_response>&) {});
}

void worker_client::request_claim_reply(
    const std::string& target, const std::string& vm, const std::string& address,
    std::function<void(common::result<workers::claim_reply>)> handler)
{
    const auto peer = net::parse_endpoint(address);
    if (!peer) {
        handler(common::make_error(common::errc::connect_failed, "ask worker", vm, address));
        return;
    }
    net::http_request request;
    request.method = "POST";
    request.target = target;
    this->client.call(
        *peer, std::move(request), response_timeout,
        [vm, handler = std::move(handler)](common::result<net::http_response> response) {
            if (!response) {
                handler(response.error());
                return;
            }
            handler(workers::parse_claim_reply(response.value().body, vm));
        });
}

void worker_client::claim(const requests::claim_task& action, common::milliseconds memory)
{
    const std::string target = "/v1/tasks/" + action.task + "/claim?node=" + this->node +
                               "&incarnation=" + std::to_string(this->incarnation);
    this->request_claim_reply(
        target, action.worker, action.address,
        [this, action, memory](const common::result<workers::claim_reply>& reply) {
            requests::claim_replied result;
            result.attempt.task = action.task;
            result.attempt.worker = action.worker;
            if (reply) {
                result = workers::claim_for_node(reply.value(), action.task, action.worker, memory);
            }
            this->on_claim(result);
        });
}

void worker_client::adopt(const requests::adopt_task& action, common::milliseconds task_lease)
{
    const auto peer = net::parse_endpoint(action.address);
    if (!peer) {
        return;
    }
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/tasks/" + action.task + "/adopt?node=" + this->node +
                     "&lease_ms=" + std::to_string(task_lease.count());
    this->client.call(*peer, std::move(request), response_timeout,
                      [](const common::result<net::http_response>&) {});
}

void worker_client::show(const std::string& task, const std::string& vm, const std::string& address,
                         std::function<void(common::result<workers::claim_reply>)> handler)
{
    this->request_claim_reply("/v1/tasks/" + task + "/show", vm, address, std::move(handler));
}

void worker_client::poll_usage(const std::string& vm, const std::string& address)
{
    const auto peer = net::parse_endpoint(address);
    usage_state& state = this->usage_by_vm[vm];
    if (!peer || state.poll_in_flight) {
        return;
    }
    if (state.address != address) {
        state = {address, 0, false, false};
    }
    state.poll_in_flight = true;
    const auto hold = state.seen_version == 0 ? common::milliseconds{0}
                      : state.idle            ? idle_usage_hold_time
                                              : busy_usage_hold_time;
    net::http_request request;
    request.method = "GET";
    request.target =
        "/v1/usage?node=" + this->node + "&incarnation=" + std::to_string(this->incarnation) +
        "&seen=" + std::to_string(state.seen_version) + "&hold_ms=" + std::to_string(hold.count());
    this->client.call(*peer, std::move(request), hold + response_timeout,
                      [this, vm](const common::result<net::http_response>& response) {
                          this->handle_usage(vm, response);
                      });
}

void worker_client::handle_usage(const std::string& vm,
                                 const common::result<net::http_response>& response)
{
    usage_state& state = this->usage_by_vm[vm];
    state.poll_in_flight = false;
    if (!response || response.value().status != net::status_ok) {
        state.seen_version = 0;
        return;
    }
    const auto usage = workers::parse_usage(response.value().body, vm);
    if (!usage) {
        state.seen_version = 0;
        return;
    }
    state.seen_version = usage.value().version;
    state.idle = usage.value().tasks.empty();
    this->on_usage({vm, workers::report_for_node(usage.value(), this->node)});
}

} // namespace chervilslip::daemon
