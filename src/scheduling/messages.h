#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"

/// The fleet owner's scheduler: decides which task starts on which worker and when. Only one node
/// owns the fleet at a time.
namespace chervilslip::scheduling {

/// One instance of a worker process. A worker that restarts under the same id has a later start
/// time.
struct worker_instance {
    std::string id;
    std::int64_t started_at_ms = 0; ///< Unix time

    friend auto operator<=>(const worker_instance&, const worker_instance&) = default;
};

/// A worker's entry in the worker registry.
struct worker_entry {
    worker_instance instance;
    std::string vm; ///< the VM that the instance runs on; empty if the entry does not name it
    std::string pool;
    std::string address;
    std::string zone;
    std::string kind; ///< hardware label
    std::string rack;
    teams::resources capacity;
    bool draining = false; ///< is shutting down; accepts no new tasks
    /// The worker is slow until then, because it has just started.
    common::steady_time cold_until;

    friend bool operator==(const worker_entry&, const worker_entry&) = default;
};

/// How much new work a worker may get while it is cold: slow because it has just started.
struct cold_limits {
    double over = 1.5;  ///< multiple of its proportion of its pool's starts
    double slack = 5.0; ///< starts beside that

    friend bool operator==(const cold_limits&, const cold_limits&) = default;
};

/// A team's share and quota.
struct team_policy {
    double weight = 1.0;
    teams::resources limit; ///< quota over all workers; 0: unlimited

    friend bool operator==(const team_policy&, const team_policy&) = default;
};

/// The part of the configuration that the scheduler uses.
struct policy {
    std::int64_t version = 0;
    std::map<std::string, jobs::queue_policy> queues;
    std::map<std::string, team_policy> teams;
    std::set<std::string> pools; ///< with those that no queue uses

    friend bool operator==(const policy&, const policy&) = default;
};

/// Settings of one scheduler.
struct scheduler_options {
    std::int64_t claim = 0; ///< number of the ownership claim; a later owner's is higher
    common::milliseconds lease_duration{5000};  ///< of each run; below the workers' maximum
    common::milliseconds start_timeout{900};    ///< workers reject a start that arrives later
    common::milliseconds poll_wait{1500};       ///< how long a poll waits for a run to end
    common::milliseconds inherited_lease{6300}; ///< leases of an earlier owner end within this time
    /// No lease lasts longer, whatever a command asks for. One on the clock of an earlier instance
    /// asks for more than that.
    common::milliseconds longest_lease{6300};
    common::milliseconds stop_grace{900}; ///< time within which a stopped run ends
    std::size_t journal_lanes = 4;        ///< journal writes that may be under way at the same time
    /// Size of a job's stored progress. The store refuses larger values for good.
    std::size_t max_document_bytes = 900'000;
    bool reserves_room = true; ///< for large tasks; off only to compare
    /// Nothing is started while the latest confirmed input, cancellations included, is older than
    /// this; unset: not checked.
    std::optional<common::milliseconds> max_input_age;
    /// How much longer a task runs outside its preferred rack; 1: not known.
    double far_run_factor = 1.0;
    /// The same for the operators' keys, requests to evacuate zones included; unset: not checked.
    std::optional<common::milliseconds> max_operator_key_age;
    /// Limits on the work of workers that have just started; unset: they are treated as others.
    std::optional<cold_limits> cold;

    friend bool operator==(const scheduler_options&, const scheduler_options&) = default;
};

/// Renews the leases on a worker, acknowledges ended runs and asks for the worker's report.
struct poll_command {
    worker_instance worker;
    std::string address;
    std::int64_t acknowledged = 0;           ///< ended runs up to this number are durable
    std::optional<std::int64_t> deadline_ms; ///< new end of all leases, on the worker's clock
    common::milliseconds wait{0};            ///< how long the worker may wait for a run to end
    std::int64_t token = 0;                  ///< fencing token, see fencing.h

    friend bool operator==(const poll_command&, const poll_command&) = default;
};

/// Starts a run of a task.
struct start_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;
    std::string payload;
    std::int64_t deadline_ms = 0; ///< on the worker's clock
    std::string checkpoint;
    std::string ticket;
    std::int64_t token = 0; ///< fencing token, see fencing.h

    friend bool operator==(const start_command&, const start_command&) = default;
};

/// Stops a run of a task.
struct stop_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t token = 0; ///< fencing token, see fencing.h

    friend bool operator==(const stop_command&, const stop_command&) = default;
};

/// Sets the speed of a run in percent of its full speed.
struct throttle_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t token = 0; ///< fencing token, see fencing.h

    friend bool operator==(const throttle_command&, const throttle_command&) = default;
};

/// Asks the external placement policy which workers may run a step.
struct advice_request {
    std::string job;
    std::int64_t occurrence = 0;
    jobs::step_index step = 0;
    std::vector<std::string> workers;

    friend bool operator==(const advice_request&, const advice_request&) = default;
};

/// A change of a job's stored documents.
struct document_change {
    std::string job;
    std::string progress; ///< the encoded progress; empty if closed
    jobs::job_state state = jobs::job_state::pending;
    bool closed = false; ///< final and without open runs: only state and scope are kept
    std::string queue;   ///< set if closed
    std::string team;    ///< set if closed

    friend bool operator==(const document_change&, const document_change&) = default;
};

/// An atomic batch of changes. Starts and acknowledgements that depend on it wait until it is
/// committed.
struct journal_write {
    std::uint64_t batch = 0;
    std::size_t lane = 0; ///< writes of different lanes are independent of each other
    std::vector<document_change> changes;

    friend bool operator==(const journal_write&, const journal_write&) = default;
};

/// A decision to be logged.
struct decision_record {
    enum class kind {
        job_taken,
        task_started,
        task_ended,
        task_lost,
        start_refused,
        run_unexpected,
        job_ended,
        job_cancelled,
        worker_added,
        worker_lost,
        worker_suspected,
        worker_trusted,
        worker_slow,
        worker_recovered,
        reservation_made,
        reservation_used,
        reservation_given_up,
        team_below_share,
        evacuation_begun,
        evacuation_done,
        evacuation_ended,
        evacuation_unknown,
    };
    kind event{};
    std::string subject; ///< id of the job, task or worker, or the team
    std::string detail;

    friend bool operator==(const decision_record&, const decision_record&) = default;
};

using action = std::variant<poll_command, start_command, stop_command, throttle_command,
                            advice_request, journal_write, decision_record>;

/// Why a run ended, as its worker reports it.
enum class end_cause {
    done,
    failed,  ///< the task or the worker failed
    stopped, ///< by a stop command
    lapsed,  ///< its lease expired
    broken,  ///< another member of its gang ended
    alone,   ///< timed out waiting for the other members of its gang
};

/// A run that a worker reports as running.
struct reported_run {
    jobs::task_id task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< progress; for a serving task, 100 at full speed
    std::int64_t load = 0;    ///< tail latency in ms of a serving task, else processors in use

    friend bool operator==(const reported_run&, const reported_run&) = default;
};

/// A run that a worker reports as ended.
struct finished_run {
    std::int64_t number = 0; ///< sequence number of the end within the worker instance
    jobs::task_id task;
    std::int64_t run = 0;
    end_cause cause = end_cause::stopped;
    std::string checkpoint;

    friend bool operator==(const finished_run&, const finished_run&) = default;
};

/// A worker's response to a poll.
struct worker_report {
    std::int64_t started_at_ms = 0; ///< of the instance that answered
    std::int64_t clock_ms = 0;      ///< the worker's clock when it answered
    std::vector<reported_run> running;
    std::vector<finished_run> finished;
    bool lists_all_ends = true; ///< false: more ends follow once these are acknowledged

    friend bool operator==(const worker_report&, const worker_report&) = default;
};

/// Outcome of a command to a worker.
enum class command_outcome {
    accepted,
    fenced,    ///< the worker has seen a higher fencing token
    stale_run, ///< a later run was already stopped or ended on the worker
    too_late,  ///< arrived after its deadline
    no_capacity,
    no_ticket,
    malformed,
    unhealthy,      ///< rejected by an unhealthy worker without any effect
    other_instance, ///< another instance of the worker answered
    not_sent,       ///< no connection to the worker
    unknown,        ///< no response; may have been executed, or may be later
    other_worker,   ///< a worker with another id answered, which has done nothing
};

/// Returns the name used in logs. Thread safe.
std::string_view to_string(command_outcome value);

/// Returns the name used in logs. Thread safe.
std::string_view to_string(end_cause value);

/// The result of a poll. The worker answered after `sent_at`.
struct poll_result {
    worker_instance worker;
    common::steady_time sent_at;
    command_outcome outcome = command_outcome::unknown;
    worker_report report; ///< set if accepted

    friend bool operator==(const poll_result&, const poll_result&) = default;
};

/// The result of a start or stop command.
struct command_result {
    worker_instance worker;
    jobs::task_id task;
    std::int64_t run = 0;
    command_outcome outcome = command_outcome::unknown;
    std::int64_t clock_ms = 0; ///< the worker's clock; 0: unknown

    friend bool operator==(const command_result&, const command_result&) = default;
};

/// The external policy's response: the workers that may run a step, with a ticket for each.
struct advice_response {
    std::string job;
    std::int64_t occurrence = 0;
    jobs::step_index step = 0;
    std::optional<std::map<std::string, std::string>> tickets; ///< by worker id; unset: no response
    common::milliseconds valid{0};

    friend bool operator==(const advice_response&, const advice_response&) = default;
};

} // namespace chervilslip::scheduling
