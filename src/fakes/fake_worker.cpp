#include "fakes/fake_worker.h"

namespace chervilslip::fakes {

namespace {

using nlohmann::json;

constexpr std::uint64_t gate_seed = 12;
constexpr common::milliseconds default_run_time{20};

/// Reads how a task behaves from its body; any other body runs for the default time.
task_behaviour behaviour_of(const std::string& body)
{
    task_behaviour behaviour{default_run_time, false};
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_object()) {
        behaviour.run_time = common::milliseconds(parsed.value("run_ms", default_run_time.count()));
        behaviour.fails = parsed.value("fails", false);
    }
    return behaviour;
}

common::milliseconds milliseconds_parameter(const net::http_request& request, std::string_view name)
{
    return common::milliseconds(std::atoll(request.query(name).c_str()));
}

json to_json(const start_entry& entry)
{
    return {{"at_ms", entry.at_ms},    {"vm", entry.vm},       {"epoch", entry.epoch},
            {"task", entry.task},      {"node", entry.node},   {"request", entry.request},
            {"team", entry.team},      {"queue", entry.queue}, {"body", entry.body},
            {"attempt", entry.attempt}};
}

} // namespace

fake_worker::fake_worker(boost::asio::io_context& context, const common::clock& time_source,
                         std::string vm, teams::resources size, std::size_t connections)
    : clock(time_source), gate(context, gate_seed), model(std::move(vm), size),
      server(
          context, net::http_limits{.connections = connections, .total_bytes = net::no_total_limit},
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->handle(request, std::move(exchange));
          },
          [](net::refusal_reason, const common::error&) {})
{
}

common::result<net::endpoint> fake_worker::listen(const net::endpoint& address)
{
    return this->server.listen(address);
}

void fake_worker::close()
{
    this->waiting.clear();
    this->waiting_for_change.clear();
    this->server.stop_accepting();
    this->server.close_all();
}

worker_model& fake_worker::worker()
{
    return this->model;
}

void fake_worker::tick()
{
    const auto now = this->clock.steady_now();
    this->model.advance(now);
    std::erase_if(this->waiting_for_change,
                  [this, now](const waiting_usage& call) { return this->answer_usage(call, now); });
    std::erase_if(this->waiting, [this, now](const waiting_call& call) {
        const auto lease_left = call.lease;
        const task_reply reply = this->model.query(call.attempt, lease_left, now);
        if (reply.kind == requests::reply_kind::running && now < call.until) {
            return false;
        }
        this->gate.send(call.exchange, this->response_of(call.attempt, reply));
        return true;
    });
}

net::http_response fake_worker::response_of(const requests::attempt_id& attempt,
                                            const task_reply& reply)
{
    return net::json_response(200, workers::to_json(attempt, reply));
}

void fake_worker::handle(const net::http_request& request,
                         std::shared_ptr<net::http_exchange> exchange)
{
    if (this->gate.switches.down && request.path() != "/fake") {
        exchange->drop();
        return;
    }
    const auto segments = request.segments();
    const bool is_task = segments.size() >= 2 && segments[0] == "v1" && segments[1] == "tasks";
    if (is_task && segments.size() == 2 && request.method == "POST") {
        this->handle_start(request, std::move(exchange));
    } else if (is_task && segments.size() == 4) {
        this->handle_task(request, segments, std::move(exchange));
    } else if (request.path() == "/v1/usage") {
        this->handle_usage(request, std::move(exchange));
    } else {
        exchange->respond(this->handle_other(request));
    }
}

void fake_worker::handle_usage(const net::http_request& request,
                               std::shared_ptr<net::http_exchange> exchange)
{
    const auto now = this->clock.steady_now();
    const waiting_usage call{request.query("node"),
                             std::atoll(request.query("incarnation").c_str()),
                             std::atoll(request.query("seen").c_str()),
                             now + milliseconds_parameter(request, "hold_ms"), exchange};
    if (!this->answer_usage(call, now)) {
        this->waiting_for_change.push_back(call);
    }
}

bool fake_worker::answer_usage(const waiting_usage& call, common::steady_time now)
{
    const auto usage = this->model.usage(call.node, call.incarnation, now);
    if (usage.version == call.seen_version && now < call.until) {
        return false;
    }
    this->gate.send(call.exchange, net::json_response(200, workers::to_json(usage)));
    return true;
}

void fake_worker::handle_start(const net::http_request& request,
                               std::shared_ptr<net::http_exchange> exchange)
{
    const auto order = workers::parse_start_order(request.body, request.peer);
    if (!order) {
        exchange->respond(net::error_response(400, order.error().step, order.error().detail));
        return;
    }
    const auto now = this->clock.steady_now();
    const task_reply reply =
        this->model.start(order.value(), behaviour_of(order.value().body), now);
    this->answer_or_wait(reply, {order.value().attempt, order.value().lease, now, exchange},
                         order.value().hold);
}

void fake_worker::answer_or_wait(const task_reply& reply, waiting_call call,
                                 common::milliseconds hold)
{
    if (reply.kind == requests::reply_kind::running && hold.count() > 0) {
        call.until += hold;
        this->waiting.push_back(std::move(call));
        return;
    }
    this->gate.send(call.exchange, this->response_of(call.attempt, reply));
}

void fake_worker::handle_task(const net::http_request& request,
                              const std::vector<std::string>& segments,
                              std::shared_ptr<net::http_exchange> exchange)
{
    const requests::attempt_id attempt{segments[2], std::atoi(request.query("attempt").c_str()),
                                       request.query("worker"), request.query("epoch")};
    const auto now = this->clock.steady_now();
    const std::string& verb = segments[3];
    if (verb == "query") {
        const auto lease = milliseconds_parameter(request, "lease_ms");
        this->answer_or_wait(this->model.query(attempt, lease, now),
                             {attempt, lease, now, exchange},
                             milliseconds_parameter(request, "hold_ms"));
    } else if (verb == "claim") {
        const auto incarnation = std::atoll(request.query("incarnation").c_str());
        const auto known = this->model.claim(segments[2], request.query("node"), incarnation, now);
        this->gate.send(exchange, net::json_response(200, workers::to_json(known)));
    } else if (verb == "adopt") {
        const bool known = this->model.adopt(segments[2], request.query("node"),
                                             milliseconds_parameter(request, "lease_ms"), now);
        exchange->respond(net::json_response(known ? 200 : 404, {{"running", known}}));
    } else if (verb == "show") {
        this->gate.send(exchange, net::json_response(
                                      200, workers::to_json(this->model.show(segments[2], now))));
    } else if (verb == "stop") {
        this->gate.send(exchange, this->response_of(attempt, this->model.stop(attempt, now)));
    } else if (verb == "checkpoint") {
        const bool known = this->model.checkpoint(attempt.task, now);
        exchange->respond(net::json_response(known ? 200 : 404, {{"running", known}}));
    } else if (verb == "throttle") {
        const double factor = std::max(1.0, std::atof(request.query("factor").c_str()));
        const bool known = this->model.throttle(attempt.task, factor, now);
        exchange->respond(net::json_response(known ? 200 : 404, {{"running", known}}));
    } else {
        exchange->respond(net::error_response(404, "find call", request.target));
    }
}

net::http_response fake_worker::handle_other(const net::http_request& request)
{
    const std::string path = request.path();
    if (path == "/v1/log") {
        json entries = json::array();
        for (const start_entry& entry : this->model.log()) {
            entries.push_back(to_json(entry));
        }
        return net::json_response(200, {{"starts", entries}});
    }
    if (path == "/v1/drain") {
        this->model.drain();
    } else if (path == "/v1/undrain") {
        this->model.undrain();
    } else if (path == "/v1/reboot") {
        this->model.reboot(this->clock.steady_now());
    } else if (path == "/fake") {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            return net::error_response(400, "parse switches", "not a JSON object");
        }
        this->gate.set(wanted);
        auto& switches = this->model.switches;
        switches.fails_everything = wanted.value("fails_everything", switches.fails_everything);
        switches.slowness = std::max(1.0, wanted.value("slowness", switches.slowness));
        switches.usage_lag =
            common::milliseconds(wanted.value("usage_lag_ms", switches.usage_lag.count()));
    } else {
        return net::error_response(404, "find call", request.target);
    }
    return net::json_response(200, {{"running", this->model.running()},
                                    {"draining", this->model.is_draining()},
                                    {"epoch", this->model.epoch()}});
}

} // namespace chervilslip::fakes
