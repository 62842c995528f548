#include "daemon/operator_api.h"

#include "common/crypto.h"

namespace chervilslip::daemon {

namespace {

using nlohmann::json;
using settings::commit_status;

constexpr std::size_t default_audit_limit = 20;
constexpr std::size_t max_audit_limit = 1000;

unsigned http_status_of(commit_status status)
{
    switch (status) {
    case commit_status::accepted:
        return 200;
    case commit_status::conflicting:
        return 409;
    case commit_status::invalid:
        return 422;
    case commit_status::uncertain:
        return 503;
    }
    return 500;
}

std::string_view name_of(commit_status status)
{
    switch (status) {
    case commit_status::accepted:
        return "accepted";
    case commit_status::conflicting:
        return "conflicting";
    case commit_status::invalid:
        return "invalid";
    case commit_status::uncertain:
        return "uncertain";
    }
    return "uncertain";
}

json to_json(const settings::commit_outcome& outcome)
{
    json conflicts = json::array();
    for (const auto& each : outcome.conflicts) {
        conflicts.push_back(
            {{"path", each.path}, {"number", each.number}, {"author", each.author}});
    }
    json problems = json::array();
    for (const auto& each : outcome.problems) {
        problems.push_back({{"file", each.file},
                            {"path", each.path},
                            {"found", each.found},
                            {"allowed", each.allowed}});
    }
    json body = {{"status", name_of(outcome.status)}, {"number", outcome.number}};
    if (outcome.status != commit_status::accepted) {
        body["conflicts"] = conflicts;
        body["problems"] = problems;
        body["error"] = {{"step", "change settings"}, {"cause", outcome.cause}};
    }
    return body;
}

bool affects(const settings::change_edit& edit, const std::string& path)
{
    return path.empty() || path == "/" || edit.path == path || edit.path.starts_with(path + "/") ||
           path.starts_with(edit.path + "/");
}

} // namespace

/// State of one audit call, which reads the values before and after each edit it shows.
struct operator_api::audit_query {
    std::shared_ptr<net::http_exchange> exchange;
    std::string path;
    std::vector<settings::change_record> records;
    std::vector<std::string> hashes;
    std::map<std::string, json> values;
};

operator_api::operator_api(std::string expected_token, settings_watcher& watched_settings,
                           settings_repository& settings_source, const common::event_log& events,
                           operator_api_hooks callbacks)
    : token(std::move(expected_token)), watcher(watched_settings), repository(settings_source),
      log(events), hooks(std::move(callbacks))
{
}

bool operator_api::is_operator(const net::http_request& request) const
{
    return common::equal_in_constant_time(request.field("Authorization"), "Bearer " + this->token);
}

void operator_api::handle(const net::http_request& request,
                          std::shared_ptr<net::http_exchange> exchange)
{
    const std::string path = request.path();
    if (path == "/metrics") {
        exchange->respond({200, "text/plain; version=0.0.4", this->hooks.metrics_text(), {}});
        return;
    }
    if (!this->is_operator(request)) {
        exchange->respond(net::error_response(401, "authenticate operator",
                                              "the operator token is missing or wrong"));
        return;
    }
    if (path == "/v1/status" && request.method == "GET") {
        exchange->respond(net::json_response(200, this->hooks.status()));
    } else if (path == "/v1/settings" && request.method == "GET") {
        this->show_settings(*exchange);
    } else if (path == "/v1/settings/changes" && request.method == "POST") {
        this->change_settings(request, exchange);
    } else if (path == "/v1/settings/audit" && request.method == "GET") {
        this->show_audit(request, exchange);
    } else {
        exchange->respond(net::error_response(
            404, "find call", request.method + " " + path + " is not a call of this API"));
    }
}

void operator_api::show_settings(net::http_exchange& exchange) const
{
    const auto in_force = this->watcher.in_force();
    if (!in_force) {
        exchange.respond(
            net::error_response(503, "read settings", "this node has no settings yet"));
        return;
    }
    json documents = json::object();
    for (const auto& [path, each] : in_force->tree) {
        documents[path] = each.value;
    }
    json body = settings::to_json(in_force->source);
    body["documents"] = std::move(documents);
    exchange.respond(net::json_response(200, body));
}

void operator_api::change_settings(const net::http_request& request,
                                   const std::shared_ptr<net::http_exchange>& exchange)
{
    const json body = json::parse(request.body, nullptr, false);
    const auto proposal = settings::parse_proposal(body);
    if (!proposal) {
        exchange->respond(net::error_response(400, proposal.error().step, proposal.error().detail));
        return;
    }
    this->repository.commit(proposal.value(), [this, proposal = proposal.value(),
                                               exchange](const settings::commit_outcome& outcome) {
        this->on_committed(proposal, outcome, *exchange);
    });
}

void operator_api::on_committed(const settings::proposal& proposal,
                                const settings::commit_outcome& outcome,
                                net::http_exchange& exchange)
{
    const bool accepted = outcome.status == commit_status::accepted;
    json paths = json::array();
    for (const auto& each : proposal.edits) {
        paths.push_back(each.path);
    }
    this->log.write(accepted ? common::event_id::settings_change_accepted
                             : common::event_id::settings_change_refused,
                    {{"change", proposal.id},
                     {"author", proposal.author},
                     {"paths", paths},
                     {"status", name_of(outcome.status)},
                     {"number", outcome.number},
                     {"cause", outcome.cause}});
    exchange.respond(net::json_response(http_status_of(outcome.status), to_json(outcome)));
    if (accepted) {
        this->watcher.refresh();
    }
}

void operator_api::show_audit(const net::http_request& request,
                              const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto in_force = this->watcher.in_force();
    if (!in_force) {
        exchange->respond(
            net::error_response(503, "read audit trail", "this node has no settings yet"));
        return;
    }
    const std::string limit_text = request.query("most");
    const auto limit =
        limit_text.empty()
            ? default_audit_limit
            : std::min(static_cast<std::size_t>(std::atoll(limit_text.c_str())), max_audit_limit);
    auto audit = std::make_shared<audit_query>();
    audit->exchange = exchange;
    audit->path = request.query("path");
    this->repository.history(
        in_force->source.change, limit,
        [this, audit](common::result<std::vector<settings::change_record>> records) {
            if (!records) {
                audit->exchange->respond(
                    net::error_response(503, "read audit trail", records.error().to_string()));
                return;
            }
            for (const settings::change_record& record : records.value()) {
                for (const settings::change_edit& edit : record.edits) {
                    if (affects(edit, audit->path)) {
                        audit->hashes.push_back(edit.before);
                        audit->hashes.push_back(edit.after);
                    }
                }
            }
            audit->records = std::move(records.value());
            this->continue_audit(audit);
        });
}

void operator_api::continue_audit(const std::shared_ptr<audit_query>& audit)
{
    while (!audit->hashes.empty() &&
           (audit->hashes.back().empty() || audit->values.contains(audit->hashes.back()))) {
        audit->hashes.pop_back();
    }
    if (!audit->hashes.empty()) {
        const std::string hash = audit->hashes.back();
        audit->hashes.pop_back();
        this->repository.fetch(hash, [this, audit, hash](common::result<std::string> text) {
            audit->values[hash] =
                text ? json::parse(text.value(), nullptr, false) : json("not readable");
            this->continue_audit(audit);
        });
        return;
    }
    const auto value_of = [&audit](const std::string& hash) {
        return hash.empty() ? json(nullptr) : audit->values.at(hash);
    };
    json entries = json::array();
    for (const settings::change_record& record : audit->records) {
        json entry = settings::to_json(record);
        json edits = json::array();
        for (const settings::change_edit& edit : record.edits) {
            if (affects(edit, audit->path)) {
                edits.push_back({{"path", edit.path},
                                 {"before", value_of(edit.before)},
                                 {"after", value_of(edit.after)}});
            }
        }
        entry["edits"] = edits;
        if (!edits.empty()) {
            entries.push_back(std::move(entry));
        }
    }
    audit->exchange->respond(net::json_response(200, {{"changes", entries}}));
}

} // namespace chervilslip::daemon
