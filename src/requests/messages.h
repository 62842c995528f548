#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "routing/upstream.h"
#include "settings/documents.h"

/// Requests: their life from arrival to one true answer. The decision logic takes events and
/// returns actions; it does no I/O.
namespace chervilslip::requests {

/// How a request ended.
enum class request_outcome {
    done,    ///< the task ran and its whole output is in the answer
    failed,  ///< the task ran and failed, or was cancelled after its start
    refused, ///< the task was not run and will not be
    unknown, ///< the task may have run
};

/// Returns the name of a fate as the API shows it. Thread safe.
std::string_view to_string(request_outcome value);

/// Why a request was refused; docs/API.md says for each why nothing can have started.
enum class refusal {
    none,
    no_settings,
    unknown_queue,
    wrong_key,
    invalid_request,
    never_fits,
    queue_full,
    deadline_too_close,
    deadline_passed,
    key_withdrawn,
    cancelled,
    stopping,
    key_reused,
    home_unreachable,
};

/// Returns the name of a refusal as the API shows it. Thread safe.
std::string_view to_string(refusal value);

/// The whole answer to one request.
struct response {
    request_outcome result = request_outcome::unknown;
    refusal refusal_reason = refusal::none;
    std::string cause;
    std::string output;
    std::string worker;
    int attempts = 0;

    friend bool operator==(const response&, const response&) = default;
};

/// One try to run a request's task on one upstream. Each hop carries all parts, so that an answer
/// can only meet the try that it belongs to.
struct attempt_id {
    std::string task;
    int number = 0;
    std::string worker;
    std::string epoch; ///< of the worker; a worker that started anew refuses an older epoch

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Events.

/// A caller's request. `id` must be new and hard to guess.
struct request_submitted {
    std::string id;
    std::string queue;
    std::string presented_key;
    std::string idempotency_key;
    std::string body;
    bool urgent = false;
    std::optional<bool> repeatable;
    std::optional<common::milliseconds> deadline;
    std::optional<settings::task_size> size;
    bool must_claim = false; ///< another node may have started a task under this idempotency key

    friend bool operator==(const request_submitted&, const request_submitted&) = default;
};

/// A caller's wish that a request does not run, or stops.
struct cancel_requested {
    std::string id;

    friend bool operator==(const cancel_requested&, const cancel_requested&) = default;
};

/// What an upstream, or the connection to it, said of an attempt.
enum class reply_kind {
    running,       ///< it has started and goes on
    finished,      ///< it ended; `succeeded` and `output` tell how
    not_started,   ///< the upstream refused it and will never start it
    full,          ///< as `not_started`, for lack of room
    draining,      ///< as `not_started`, because the upstream is leaving
    claimed,       ///< as `not_started`, because another node has claimed the task
    epoch_changed, ///< the upstream has started anew, and forgotten what it ran
    not_sent,      ///< no byte reached the upstream
    lost,          ///< the upstream may have acted
};

/// The reply to a start or to a query.
struct worker_replied {
    attempt_id attempt;
    bool was_query = false;
    reply_kind kind = reply_kind::lost;
    bool succeeded = false;
    std::string output;
    common::milliseconds run_time{0};

    friend bool operator==(const worker_replied&, const worker_replied&) = default;
};

/// What an upstream said of a task that this node claims.
enum class claim_kind {
    free,         ///< it has never run there, and only this node may start it from now on
    running,      ///< it runs there
    finished,     ///< it ran there; `succeeded` and `output` tell how it ended
    inconclusive, ///< the upstream has forgotten what it ran, or obeys a later claim
    unreachable,  ///< no reply came
};

/// The reply to a claim.
struct claim_replied {
    attempt_id attempt; ///< of the run that the upstream knows; the number is 0 when it knows none
    claim_kind kind = claim_kind::unreachable;
    bool succeeded = false;
    std::string output;

    friend bool operator==(const claim_replied&, const claim_replied&) = default;
};

/// Newly accepted settings.
struct settings_accepted {
    std::shared_ptr<const settings::snapshot> in_force;

    friend bool operator==(const settings_accepted&, const settings_accepted&) = default;
};

/// A new VM list.
struct vm_list_received {
    std::vector<routing::upstream_info> vms;

    friend bool operator==(const vm_list_received&, const vm_list_received&) = default;
};

/// A new report of one upstream.
struct usage_received {
    std::string vm;
    routing::usage_report report;

    friend bool operator==(const usage_received&, const usage_received&) = default;
};

/// What this node's peers were last heard to be and to have running.
struct peer_status_received {
    std::set<std::string> live;                      ///< names, with this node's own
    std::map<std::string, teams::resources> running; ///< by team, on all live peers

    friend bool operator==(const peer_status_received&, const peer_status_received&) = default;
};

/// Time has passed.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};

/// The node takes no new requests from now on.
struct shutdown_requested {
    friend bool operator==(const shutdown_requested&, const shutdown_requested&) = default;
};

using event = std::variant<request_submitted, cancel_requested, worker_replied, claim_replied,
                           settings_accepted, vm_list_received, usage_received,
                           peer_status_received, tick, shutdown_requested>;

// Actions.

/// Start a task; the reply comes as `worker_replied`.
struct start_task {
    attempt_id attempt;
    std::string address;
    std::string request;
    std::string team;
    std::string queue;
    std::string body;
    settings::task_size size;

    friend bool operator==(const start_task&, const start_task&) = default;
};

/// Ask what became of an attempt; an upstream that does not know it will never start it.
struct query_task {
    attempt_id attempt;
    std::string address;

    friend bool operator==(const query_task&, const query_task&) = default;
};

/// Stop a task; an upstream that does not know it will never start it. The end of the task comes
/// as the reply to the pending start or query.
struct stop_task {
    attempt_id attempt;
    std::string address;

    friend bool operator==(const stop_task&, const stop_task&) = default;
};

/// Claim a task on an upstream: ask whether it ever ran there, and keep other nodes from starting
/// it there.
struct claim_task {
    std::string task;
    std::string worker;
    std::string address;

    friend bool operator==(const claim_task&, const claim_task&) = default;
};

/// Take over a running task whose node is gone, and renew its lease.
struct adopt_task {
    std::string task;
    std::string worker;
    std::string address;

    friend bool operator==(const adopt_task&, const adopt_task&) = default;
};

/// Give the caller its answer.
struct send_response {
    std::string id;
    response content;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// Tell operators something.
struct operator_event {
    enum class kind { upstream_ejected, upstream_restored, answer_dropped, request_unknown };
    kind type = kind::answer_dropped;
    std::string subject;
    std::string detail;

    friend bool operator==(const operator_event&, const operator_event&) = default;
};

using action = std::variant<start_task, query_task, stop_task, claim_task, adopt_task,
                            send_response, operator_event>;
using actions = std::vector<action>;

} // namespace chervilslip::requests
