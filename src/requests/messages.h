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

/// Request lifecycle, from submission to exactly one final response. The decision logic consumes
/// events and returns actions; it performs no I/O.
namespace chervilslip::requests {

/// Final outcome of a request.
enum class request_outcome {
    done,    ///< the task succeeded; the response holds its complete output
    failed,  ///< the task ran and failed, or was cancelled after it had started
    refused, ///< the task was not run and never will be
    unknown, ///< the task may or may not have run
};

/// Returns the API name of an outcome. Thread safe.
std::string_view to_string(request_outcome value);

/// Reason for a refusal. docs/API.md explains for each one why the task cannot have started.
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

/// Returns the API name of a refusal reason. Thread safe.
std::string_view to_string(refusal value);

/// Final response to a request.
struct response {
    request_outcome result = request_outcome::unknown;
    refusal refusal_reason = refusal::none;
    std::string cause;
    std::string output;
    std::string worker;
    int attempts = 0;

    friend bool operator==(const response&, const response&) = default;
};

/// Identifies one attempt to run a request's task on one upstream. Every message carries all
/// fields, so that a reply can only be matched to the attempt it belongs to.
struct attempt_id {
    std::string task;
    int number = 0;
    std::string worker;
    std::string epoch; ///< worker epoch; a restarted worker rejects older epochs

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Events.

/// A caller submitted a request. `id` must be unique and hard to guess.
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
    bool must_claim = false; ///< another node may have started a task with this idempotency key

    friend bool operator==(const request_submitted&, const request_submitted&) = default;
};

/// A caller asked for a request to be cancelled, whether it is queued or running.
struct cancel_requested {
    std::string id;

    friend bool operator==(const cancel_requested&, const cancel_requested&) = default;
};

/// State of an attempt as reported by the upstream, or derived from a connection error.
enum class reply_kind {
    running,       ///< the task has started and is still running
    finished,      ///< the task ended; see `succeeded` and `output`
    not_started,   ///< the upstream rejected the attempt and will never start it
    full,          ///< as `not_started`: no free capacity
    draining,      ///< as `not_started`: the upstream is shutting down
    claimed,       ///< as `not_started`: another node has claimed the task
    epoch_changed, ///< the upstream has restarted and lost its record of past tasks
    not_sent,      ///< no byte of the message reached the upstream
    lost,          ///< no usable reply; the upstream may have acted on the message
};

/// An upstream replied to a start or a query, or the call failed.
struct worker_replied {
    attempt_id attempt;
    bool was_query = false;
    reply_kind kind = reply_kind::lost;
    bool succeeded = false;
    std::string output;
    common::milliseconds run_time{0};

    friend bool operator==(const worker_replied&, const worker_replied&) = default;
};

/// Result of claiming a task on an upstream.
enum class claim_kind {
    free,         ///< never ran there; from now on only this node may start it
    running,      ///< currently running there
    finished,     ///< ran there; see `succeeded` and `output`
    inconclusive, ///< the upstream lost its record of past tasks, or honours a later claim
    unreachable,  ///< no reply
};

/// An upstream replied to a claim, or the call failed.
struct claim_replied {
    attempt_id attempt; ///< the run known to the upstream; `number` is 0 if there is none
    claim_kind kind = claim_kind::unreachable;
    bool succeeded = false;
    std::string output;

    friend bool operator==(const claim_replied&, const claim_replied&) = default;
};

/// New settings were accepted.
struct settings_accepted {
    std::shared_ptr<const settings::snapshot> in_force;

    friend bool operator==(const settings_accepted&, const settings_accepted&) = default;
};

/// A new VM list arrived.
struct vm_list_received {
    std::vector<routing::upstream_info> vms;

    friend bool operator==(const vm_list_received&, const vm_list_received&) = default;
};

/// A new usage report arrived from an upstream.
struct usage_received {
    std::string vm;
    routing::usage_report report;

    friend bool operator==(const usage_received&, const usage_received&) = default;
};

/// The latest known peer liveness and running tasks.
struct peer_status_received {
    std::set<std::string> live;                      ///< names of live nodes, including this one
    std::map<std::string, teams::resources> running; ///< by team, summed over all live peers

    friend bool operator==(const peer_status_received&, const peer_status_received&) = default;
};

/// Periodic tick that runs due timers and maintenance.
struct tick {
    friend bool operator==(const tick&, const tick&) = default;
};

/// The node is shutting down and accepts no new requests.
struct shutdown_requested {
    friend bool operator==(const shutdown_requested&, const shutdown_requested&) = default;
};

using event = std::variant<request_submitted, cancel_requested, worker_replied, claim_replied,
                           settings_accepted, vm_list_received, usage_received,
                           peer_status_received, tick, shutdown_requested>;

// Actions.

/// Start a task. The reply arrives as `worker_replied`.
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

/// Query the state of an attempt. An upstream that does not know the attempt will never start it.
struct query_task {
    attempt_id attempt;
    std::string address;

    friend bool operator==(const query_task&, const query_task&) = default;
};

/// Stop a task. An upstream that does not know the attempt will never start it. The end of the
/// task is reported by the reply to the pending start or query.
struct stop_task {
    attempt_id attempt;
    std::string address;

    friend bool operator==(const stop_task&, const stop_task&) = default;
};

/// Claim a task on an upstream: check whether it ever ran there, and prevent other nodes from
/// starting it there.
struct claim_task {
    std::string task;
    std::string worker;
    std::string address;

    friend bool operator==(const claim_task&, const claim_task&) = default;
};

/// Take over a running task whose node is gone or has restarted, and renew its lease.
struct adopt_task {
    std::string task;
    std::string worker;
    std::string address;

    friend bool operator==(const adopt_task&, const adopt_task&) = default;
};

/// Send the final response to the caller.
struct send_response {
    std::string id;
    response content;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// Report an event to the operators' log.
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
