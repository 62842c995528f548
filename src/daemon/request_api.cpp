#include "daemon/request_api.h"

#include "common/crypto.h"
#include "daemon/peer_relay.h"
#include "settings/document_tree.h"
#include "settings/object_reader.h"

namespace chervilslip::daemon {

namespace {

using nlohmann::json;
using requests::refusal;
using requests::request_outcome;

constexpr std::size_t request_id_bytes = 12;
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_cancelled_ids = 10'000;
constexpr common::milliseconds cancel_wait_time{2000};
constexpr std::int64_t max_deadline_ms = std::int64_t{7} * 24 * 3600 * 1000;

unsigned http_status_of(refusal reason)
{
    switch (reason) {
    case refusal::wrong_key:
    case refusal::key_withdrawn:
        return 401;
    case refusal::unknown_queue:
        return 404;
    case refusal::invalid_request:
        return 400;
    case refusal::never_fits:
        return 422;
    case refusal::queue_full:
        return 429;
    case refusal::cancelled:
    case refusal::key_reused:
        return 409;
    default:
        return 503;
    }
}

std::string_view step_of(refusal reason)
{
    switch (reason) {
    case refusal::wrong_key:
    case refusal::key_withdrawn:
        return "authenticate key";
    case refusal::unknown_queue:
    case refusal::no_settings:
        return "find queue";
    case refusal::invalid_request:
        return "read request";
    default:
        return "admit request";
    }
}

net::http_response response_of(const std::string& id, const requests::response& response)
{
    json body = {{"request", id}, {"fate", requests::to_string(response.result)}};
    unsigned status = 200;
    switch (response.result) {
    case request_outcome::done:
        body["output"] = response.output;
        break;
    case request_outcome::failed:
        body["output"] = response.output;
        body["error"] = {{"step", "run task"}, {"cause", response.cause}};
        break;
    case request_outcome::refused:
        status = http_status_of(response.refusal_reason);
        body["not_run"] = true;
        body["reason"] = requests::to_string(response.refusal_reason);
        body["error"] = {{"step", step_of(response.refusal_reason)}, {"cause", response.cause}};
        break;
    case request_outcome::unknown:
        status = 504;
        body["error"] = {{"step", "await task"}, {"cause", response.cause}};
        break;
    }
    if (!response.worker.empty()) {
        body["worker"] = response.worker;
    }
    body["attempts"] = response.attempts;
    return net::json_response(status, body);
}

net::http_response pending_response(const std::string& id, const requests::record* record)
{
    json body = {{"request", id}, {"fate", "pending"}};
    if (record != nullptr) {
        body["stage"] = requests::to_string(record->current_stage);
    }
    return net::json_response(202, body);
}

std::string bearer_token_of(const net::http_request& request)
{
    static constexpr std::string_view prefix = "Bearer ";
    const std::string value = request.field("Authorization");
    return value.starts_with(prefix) ? value.substr(prefix.size()) : std::string{};
}

/// The fields of a request body, and all problems found in it.
struct checked_body {
    requests::request_submitted submission;
    common::milliseconds wait{30000};
    std::vector<settings::problem> problems;
};

void read_size(settings::object_reader& reader, checked_body& checked)
{
    const json* size = reader.object("size");
    if (size == nullptr) {
        return;
    }
    settings::object_reader inner(*size, reader.at("size"), checked.problems);
    settings::task_size size_value;
    size_value.processors = inner.integer_or("processors", 1, 1024, 1);
    size_value.memory_mb = inner.integer_or("memory_mb", 1, 16'777'216, 256);
    size_value.accelerators = inner.integer_or("accelerators", 0, 64, 0);
    inner.finish();
    checked.submission.size = size_value;
}

checked_body read_body(const net::http_request& request)
{
    checked_body checked;
    const auto parsed = settings::parse_commented_json(request.body, "request body");
    if (!parsed) {
        checked.problems.push_back({"request body", "/", parsed.error().detail, "a JSON object"});
        return checked;
    }
    settings::object_reader reader(parsed.value(), {"request body", ""}, checked.problems);
    const json& source = parsed.value();
    if (source.is_object() && source.contains("body")) {
        const json& body = source.at("body");
        checked.submission.body = body.is_string() ? body.get<std::string>() : body.dump();
    }
    for (const char* optional : {"body", "repeatable", "deadline_ms"}) {
        reader.ignore(optional); // A known field, read below only where it is present.
    }
    checked.submission.urgent = reader.boolean_or("urgent", false);
    if (source.is_object() && source.contains("repeatable")) {
        checked.submission.repeatable = reader.boolean_or("repeatable", false);
    }
    if (source.is_object() && source.contains("deadline_ms")) {
        checked.submission.deadline =
            common::milliseconds(reader.integer_or("deadline_ms", 1, max_deadline_ms, 1));
    }
    checked.wait = common::milliseconds(
        reader.integer_or("wait_ms", 0, max_deadline_ms, checked.wait.count()));
    read_size(reader, checked);
    reader.finish();
    checked.submission.idempotency_key = request.field("Idempotency-Key");
    if (checked.submission.idempotency_key.size() > max_idempotency_key_bytes) {
        checked.problems.push_back(
            {"request header", "Idempotency-Key",
             std::to_string(checked.submission.idempotency_key.size()) + " bytes",
             "at most 200 bytes"});
    }
    return checked;
}

} // namespace

request_api::request_api(std::string node_name, common::milliseconds upper_wait_limit,
                         request_api_hooks callbacks)
    : node(std::move(node_name)), longest_wait(upper_wait_limit), hooks(std::move(callbacks))
{
}

void request_api::handle(const net::http_request& request,
                         std::shared_ptr<net::http_exchange> exchange)
{
    const auto segments = request.segments();
    const std::string path = request.path();
    const bool is_post = request.method == "POST";
    if (path == "/healthz") {
        exchange->respond(net::json_response(200, {{"node", this->node}}));
    } else if (path == "/readyz") {
        const bool ready = this->hooks.is_ready();
        exchange->respond(net::json_response(ready ? 200 : 503, {{"ready", ready}}));
    } else if (is_post && segments.size() == 4 && segments[1] == "queues" &&
               segments[3] == "requests") {
        this->submit(request, segments[2], exchange);
    } else if (is_post && path == "/v1/requests/cancel") {
        this->cancel_many(request, *exchange);
    } else if (request.method == "GET" && segments.size() == 3 && segments[1] == "requests") {
        this->show(request, segments[2], exchange);
    } else if (request.method == "DELETE" && segments.size() == 3 && segments[1] == "requests") {
        this->cancel(request, segments[2], exchange);
    } else {
        exchange->respond(net::error_response(
            404, "find call", request.method + " " + path + " is not a call of this API"));
    }
}

void request_api::submit(const net::http_request& request, const std::string& queue,
                         const std::shared_ptr<net::http_exchange>& exchange)
{
    checked_body checked = read_body(request);
    const std::string id = this->node + "." + common::random_hex(request_id_bytes);
    if (!checked.problems.empty()) {
        requests::response response;
        response.result = request_outcome::refused;
        response.refusal_reason = refusal::invalid_request;
        response.cause = checked.problems.front().to_string();
        exchange->respond(response_of(id, response));
        return;
    }
    checked.submission.id = id;
    checked.submission.queue = queue;
    checked.submission.presented_key = bearer_token_of(request);
    if (this->relay_to_home(request, checked.submission, exchange)) {
        return;
    }
    this->add_waiter(id, checked.wait, exchange);
    this->hooks.apply(checked.submission);
}

bool request_api::relay_to_home(const net::http_request& request,
                                requests::request_submitted& submission,
                                const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto settings = this->hooks.in_force();
    if (submission.idempotency_key.empty() || !settings) {
        return false;
    }
    const auto team = requests::team_of(*settings, submission);
    if (!team) {
        return false; // An unknown queue or key: this node refuses the request itself.
    }
    const std::string task = requests::task_id_for_key(*team, submission.idempotency_key);
    submission.must_claim = this->hooks.must_claim(task);
    const auto home = this->hooks.home_of(task);
    if (was_relayed(request) || home == this->node) {
        return false;
    }
    if (home && this->hooks.forward(*home, request, exchange)) {
        return true;
    }
    requests::response response;
    response.result = request_outcome::refused;
    response.refusal_reason = refusal::home_unreachable;
    response.cause =
        "the availability zone that decides about this idempotency key is out of reach";
    exchange->respond(response_of(submission.id, response));
    return true;
}

bool request_api::relay_to_owner(const net::http_request& request, const std::string& id,
                                 const std::shared_ptr<net::http_exchange>& exchange)
{
    const std::string owner = id.substr(0, id.rfind('.'));
    if (owner == this->node || was_relayed(request)) {
        return false;
    }
    return this->hooks.forward(owner, request, exchange);
}

bool request_api::is_authorized(const net::http_request& request, const std::string& team,
                                const std::string& queue) const
{
    const auto settings = this->hooks.in_force();
    if (!settings) {
        return false;
    }
    const auto found = settings->queues.find(queue);
    if (found != settings->queues.end() && found->second.open && found->second.open_team == team) {
        return true; // An open queue needs no key: knowing the hard-to-guess request id suffices.
    }
    const auto who = teams::authenticate(*settings, bearer_token_of(request));
    return who && who.value().team == team;
}

void request_api::show_from_workers(const net::http_request& request, const std::string& id,
                                    const std::shared_ptr<net::http_exchange>& exchange)
{
    this->hooks.look_up(id, [this, request, id, exchange](const std::optional<known_task>& found,
                                                          std::size_t unreachable_workers) {
        if (!found || !this->is_authorized(request, found->reply.team, found->reply.queue)) {
            const std::string cause = "no request \"" + id + "\" of this key's team; " +
                                      std::to_string(unreachable_workers) +
                                      " workers did not answer";
            exchange->respond(net::error_response(404, "find request", cause));
            return;
        }
        if (found->reply.kind == requests::claim_kind::running) {
            exchange->respond(pending_response(id, nullptr));
            return;
        }
        requests::response response;
        response.result = found->reply.succeeded ? request_outcome::done : request_outcome::failed;
        response.cause = found->reply.succeeded ? "" : "the task failed";
        response.output = found->reply.output;
        response.worker = found->worker;
        response.attempts = 1;
        exchange->respond(response_of(id, response));
    });
}

const requests::record* request_api::find_authorized(const net::http_request& request,
                                                     const std::string& id) const
{
    const requests::record* record = this->hooks.find(id);
    const auto settings = this->hooks.in_force();
    if (record == nullptr || !settings) {
        return nullptr;
    }
    const bool allowed = record->caller.key_id.empty() ||
                         this->is_authorized(request, record->caller.team, record->request.queue);
    return allowed ? record : nullptr;
}

void request_api::show(const net::http_request& request, const std::string& id,
                       const std::shared_ptr<net::http_exchange>& exchange)
{
    const requests::record* record = this->find_authorized(request, id);
    if (record == nullptr) {
        if (!this->relay_to_owner(request, id, exchange)) {
            this->show_from_workers(request, id, exchange);
        }
        return;
    }
    if (record->result) {
        exchange->respond(response_of(id, *record->result));
        return;
    }
    this->add_waiter(id, common::milliseconds(std::atoll(request.query("wait_ms").c_str())),
                     exchange);
}

void request_api::cancel(const net::http_request& request, const std::string& id,
                         const std::shared_ptr<net::http_exchange>& exchange)
{
    const requests::record* record = this->find_authorized(request, id);
    if (record == nullptr) {
        if (this->relay_to_owner(request, id, exchange)) {
            return;
        }
        exchange->respond(net::error_response(404, "find request",
                                              "no request \"" + id + "\" of this key's team"));
        return;
    }
    if (record->result) {
        exchange->respond(response_of(id, *record->result));
        return;
    }
    this->add_waiter(id, cancel_wait_time, exchange);
    this->hooks.apply(requests::cancel_requested{id});
}

void request_api::cancel_many(const net::http_request& request, net::http_exchange& exchange)
{
    const json body = json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("requests") &&
                       body.at("requests").is_array() &&
                       body.at("requests").size() <= max_cancelled_ids;
    if (!valid) {
        exchange.respond(
            net::error_response(400, "read cancellations",
                                "the body must be {\"requests\": [...]} with at most 10000 ids"));
        return;
    }
    json stages = json::object();
    for (const json& item : body.at("requests")) {
        const std::string id = item.is_string() ? item.get<std::string>() : item.dump();
        if (this->find_authorized(request, id) == nullptr) {
            stages[id] = "not_found";
            continue;
        }
        this->hooks.apply(requests::cancel_requested{id});
        const requests::record* record = this->hooks.find(id);
        stages[id] = record->result ? requests::to_string(record->result->result)
                                    : std::string_view("stopping");
    }
    exchange.respond(net::json_response(200, {{"requests", stages}}));
}

void request_api::add_waiter(const std::string& id, common::milliseconds time,
                             const std::shared_ptr<net::http_exchange>& exchange)
{
    const std::uint64_t number = ++this->last_waiter_number;
    this->waiters_by_request[id].push_back({exchange, number});
    this->hooks.after(std::min(std::max(time, common::milliseconds{0}), this->longest_wait),
                      [this, id, number] { this->answer_pending(id, number); });
}

void request_api::answer_pending(const std::string& id, std::uint64_t number)
{
    const auto found = this->waiters_by_request.find(id);
    if (found == this->waiters_by_request.end()) {
        return;
    }
    std::erase_if(found->second, [this, &id, number](const waiter& each) {
        if (each.number != number) {
            return false;
        }
        each.exchange->respond(pending_response(id, this->hooks.find(id)));
        return true;
    });
    if (found->second.empty()) {
        this->waiters_by_request.erase(found);
    }
}

void request_api::deliver(const std::string& id, const requests::response& response)
{
    const auto found = this->waiters_by_request.find(id);
    if (found == this->waiters_by_request.end()) {
        return;
    }
    for (const waiter& each : found->second) {
        each.exchange->respond(response_of(id, response));
    }
    this->waiters_by_request.erase(found);
}

void request_api::release_waiters()
{
    for (const auto& [id, request_waiters] : this->waiters_by_request) {
        for (const waiter& each : request_waiters) {
            each.exchange->respond(pending_response(id, this->hooks.find(id)));
        }
    }
    this->waiters_by_request.clear();
}

std::size_t request_api::waiters() const
{
    return this->waiters_by_request.size();
}

} // namespace chervilslip::daemon
