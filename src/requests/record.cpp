#include "requests/record.h"

#include "common/crypto.h"

namespace chervilslip::requests {

std::string_view to_string(request_outcome value)
{
    switch (value) {
    case request_outcome::done:
        return "done";
    case request_outcome::failed:
        return "failed";
    case request_outcome::refused:
        return "refused";
    case request_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(refusal value)
{
    switch (value) {
    case refusal::none:
        return "none";
    case refusal::no_settings:
        return "no_settings";
    case refusal::unknown_queue:
        return "unknown_queue";
    case refusal::wrong_key:
        return "wrong_key";
    case refusal::invalid_request:
        return "invalid_request";
    case refusal::never_fits:
        return "never_fits";
    case refusal::queue_full:
        return "queue_full";
    case refusal::deadline_too_close:
        return "deadline_too_close";
    case refusal::deadline_passed:
        return "deadline_passed";
    case refusal::key_withdrawn:
        return "key_withdrawn";
    case refusal::cancelled:
        return "cancelled";
    case refusal::stopping:
        return "stopping";
    case refusal::key_reused:
        return "key_reused";
    case refusal::home_unreachable:
        return "home_unreachable";
    }
    return "none";
}

std::string_view to_string(stage value)
{
    switch (value) {
    case stage::received:
        return "received";
    case stage::authenticated:
        return "authenticated";
    case stage::claiming:
        return "claiming";
    case stage::queued:
        return "queued";
    case stage::placed:
        return "placed";
    case stage::started:
        return "started";
    case stage::resolving:
        return "resolving";
    case stage::ended:
        return "ended";
    }
    return "unknown";
}

bool is_legal(stage from, stage to)
{
    switch (from) {
    case stage::received:
        return to == stage::authenticated || to == stage::ended;
    case stage::authenticated:
        return to == stage::claiming || to == stage::queued || to == stage::ended;
    case stage::claiming:
        return to == stage::queued || to == stage::started || to == stage::ended;
    case stage::queued:
        return to == stage::placed || to == stage::ended;
    case stage::placed:
        return to == stage::started || to == stage::resolving || to == stage::queued ||
               to == stage::ended;
    case stage::started:
        return to == stage::resolving || to == stage::queued || to == stage::ended;
    case stage::resolving:
        return to == stage::started || to == stage::queued || to == stage::ended;
    case stage::ended:
        return false;
    }
    return false;
}

common::result<teams::identity> identify_caller(const settings::snapshot& in_force,
                                                const request_submitted& request)
{
    const settings::queue& queue = in_force.queues.at(request.queue);
    if (queue.open && request.presented_key.empty()) {
        return teams::identity{queue.open_team, {}};
    }
    auto caller = teams::authenticate(in_force, request.presented_key);
    if (!caller) {
        return caller.error();
    }
    if (!queue.open && in_force.teams.at(caller.value().team).workspace != queue.workspace) {
        return common::make_error(common::errc::refused, "authenticate key", "",
                                  "team \"" + caller.value().team + "\" has no access to queue \"" +
                                      request.queue + "\"");
    }
    return caller;
}

std::optional<std::string> team_of(const settings::snapshot& in_force,
                                   const request_submitted& request)
{
    if (!in_force.queues.contains(request.queue)) {
        return std::nullopt;
    }
    const auto caller = identify_caller(in_force, request);
    return caller ? std::optional{caller.value().team} : std::nullopt;
}

std::string task_id_for_key(const std::string& team, const std::string& idempotency_key)
{
    return "t" + common::sha256_hex(team + "\n" + idempotency_key);
}

void transition_to(record& entry, stage next, common::invariant_monitor& invariants)
{
    invariants.check(common::invariant::legal_transition, is_legal(entry.current_stage, next), [&] {
        return entry.request.id + ": " + std::string(to_string(entry.current_stage)) + " to " +
               std::string(to_string(next));
    });
    entry.current_stage = next;
}

} // namespace chervilslip::requests
