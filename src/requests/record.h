#pragma once

#include "common/invariant.h"
#include "requests/messages.h"
#include "teams/authenticator.h"

namespace chervilslip::requests {

/// Lifecycle stage of a request.
enum class stage {
    received,
    authenticated,
    claiming, ///< asking upstreams whether another node has already started the task
    queued,
    placed,    ///< a start was sent, but not confirmed yet
    started,   ///< the upstream confirmed that the task is running
    resolving, ///< the reply was lost; querying the upstream for the state of the attempt
    ended,
};

/// Returns whether the transition between two stages is legal. Thread safe.
bool is_legal(stage from, stage to);

/// Returns the API name of a stage. Thread safe.
std::string_view to_string(stage value);

/// State of one request on this node. Only the engine modifies it.
struct record {
    request_submitted request;
    teams::identity caller; ///< `key_id` is empty for keyless requests to an open queue
    std::string task;       ///< task id: derived from team and idempotency key, else the request id
    stage current_stage = stage::received;
    bool repeatable = false;
    settings::task_size size;
    common::steady_time arrived_at;
    common::steady_time deadline;
    std::string wait_pool; ///< pool whose wait queue holds the request
    std::string pool;      ///< pool of the current attempt
    std::optional<attempt_id> attempt;
    std::string address;
    common::steady_time started_at;
    common::steady_time resolve_deadline;
    std::set<std::string> avoid;
    int attempts = 0;            ///< attempts that ran or may have run
    int attempt_number = 0;      ///< number of the latest attempt; also counts rejected starts
    int unresolved_attempts = 0; ///< attempts that may have run, without a known end
    int failed_attempts = 0;     ///< attempts that ran and failed
    int queries = 0;
    bool holds_capacity = false; ///< counts against the team limit and the upstream's capacity
    bool cancel_requested = false;
    std::optional<response> result;
    common::steady_time ended_at;
    std::set<std::string> pending_claims;  ///< upstreams that have not replied to the claim
    std::set<std::string> claims_to_retry; ///< subset of `pending_claims` to claim again
    std::string inconclusive_vm; ///< an upstream that may have run the task, but cannot tell
    std::vector<std::string> joined_ids; ///< later requests with the same idempotency key
};

/// Returns the team that a request is charged to. A keyless request to an open queue is charged to
/// the queue's own team, any other to the team of its key. For a queue that is not open, that team
/// must belong to the queue's workspace.
/// Precondition: the queue exists. Thread safe. Errors: `refused`.
common::result<teams::identity> identify_caller(const settings::snapshot& in_force,
                                                const request_submitted& request);

/// Returns the team that a request is charged to, or nothing if the queue does not exist or the
/// caller is refused. Thread safe.
std::optional<std::string> team_of(const settings::snapshot& in_force,
                                   const request_submitted& request);

/// Returns the task id derived from a team and an idempotency key. Thread safe.
std::string task_id_for_key(const std::string& team, const std::string& idempotency_key);

/// Moves a request to another stage and checks the `legal_transition` invariant.
void transition_to(record& entry, stage next, common::invariant_monitor& invariants);

} // namespace chervilslip::requests
