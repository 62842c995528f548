#pragma once

#include "common/invariant.h"
#include "requests/messages.h"
#include "teams/authenticator.h"

namespace chervilslip::requests {

/// Where a request is in its life.
enum class stage {
    received,
    authenticated,
    claiming, ///< upstreams are asked whether an earlier node has started the task
    queued,
    placed,    ///< a start was sent; it is not known whether it took effect
    started,   ///< the upstream said that the task runs
    resolving, ///< the reply was lost; the upstream is being asked
    ended,
};

/// Tells whether a request may go from one stage to another. Thread safe.
bool is_legal(stage from, stage to);

/// Returns the name of a stage. Thread safe.
std::string_view to_string(stage value);

/// One request on this node. Changed only by the engine.
struct record {
    request_submitted request;
    teams::identity caller; ///< no key id on an open queue without a key
    std::string task;       ///< derived from team and idempotency key, or the request's id
    stage current_stage = stage::received;
    bool repeatable = false;
    settings::task_size size;
    common::steady_time arrived;
    common::steady_time deadline;
    std::string line; ///< the pool in whose line it waits
    std::string pool; ///< the pool of the current attempt
    std::optional<attempt_id> attempt;
    std::string address;
    common::steady_time started_at;
    common::steady_time resolve_until;
    std::set<std::string> avoid;
    int attempts = 0;        ///< starts that may have run
    int placements = 0;      ///< starts sent, refused ones included
    int open_attempts = 0;   ///< starts of which it is not known that they never ran
    int failed_attempts = 0; ///< starts that ran and failed
    int queries = 0;
    bool counted = false; ///< holds a right of its team's limit, and room on an upstream
    bool cancel_requested = false;
    std::optional<response> result;
    common::steady_time ended_at;
    std::set<std::string> unclaimed;   ///< upstreams whose reply to the claim is missing
    std::set<std::string> claim_again; ///< of those, the ones to ask again
    std::string inconclusive;          ///< an upstream that may have run the task, and cannot say
    std::vector<std::string> joined;   ///< requests with the same idempotency key
};

/// Returns the team that a request counts for, or why it has none: on an open queue without a key
/// the queue's own team, else the team of the key, which must belong to the queue's workspace.
/// Precondition: the queue exists. Thread safe. Errors: `refused`.
common::result<teams::identity> identity_of(const settings::snapshot& in_force,
                                            const request_submitted& request);

/// Returns the team that a request counts for, or nothing. Thread safe.
std::optional<std::string> team_of(const settings::snapshot& in_force,
                                   const request_submitted& request);

/// Returns the task that an idempotency key of a team stands for. Thread safe.
std::string task_id_for_key(const std::string& team, const std::string& idempotency_key);

/// Moves a request to another stage and checks that the step is legal.
void move_to(record& each, stage next, common::invariant_monitor& invariants);

} // namespace chervilslip::requests
