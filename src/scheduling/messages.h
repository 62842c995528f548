#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/job.h"

/// Which task starts where and when: the decisions of the node that owns the fleet.
namespace chervilslip::scheduling {

/// One life of a worker. A worker that starts anew under its id has another time of birth.
struct worker_instance {
    std::string id;
    std::int64_t started_at_ms = 0; ///< Unix time of the worker's start

    friend auto operator<=>(const worker_instance&, const worker_instance&) = default;
};

/// What a worker says of itself in the registry.
struct worker_entry {
    worker_instance instance;
    std::string vm; ///< the VM of which this is one life; empty when the entry does not say
    std::string pool;
    std::string address;
    std::string zone;
    std::string kind; ///< label of the hardware
    std::string rack;
    teams::resources capacity;
    bool draining = false; ///< leaves soon; takes nothing new

    friend bool operator==(const worker_entry&, const worker_entry&) = default;
};

/// What a team may use.
struct team_policy {
    double weight = 1.0;
    teams::resources limit; ///< upper limit over all workers; 0: none

    friend bool operator==(const team_policy&, const team_policy&) = default;
};

/// The configuration as far as scheduling needs it.
struct policy {
    std::int64_t version = 0;
    std::map<std::string, jobs::queue_policy> queues;
    std::map<std::string, team_policy> teams;

    friend bool operator==(const policy&, const policy&) = default;
};

/// Bounds and periods of one cell.
struct scheduler_options {
    std::int64_t token = 0; ///< fences older owners at the workers
    common::milliseconds lease_duration{
        5000};                               ///< lease given to what runs; below the workers' most
    common::milliseconds start_timeout{900}; ///< a start that arrives later is refused
    common::milliseconds poll_wait{1500};    ///< how long a look waits for an end
    common::milliseconds inherited_lease{6300}; ///< an earlier owner's leases end within this time
    common::milliseconds stop_grace{900};       ///< a stop takes at most this

    friend bool operator==(const scheduler_options&, const scheduler_options&) = default;
};

/// Renews the leases on a worker, acknowledges ends and asks what runs.
struct poll_command {
    worker_instance worker;
    std::string address;
    std::int64_t acknowledged = 0;           ///< ends up to this number are durable
    std::optional<std::int64_t> deadline_ms; ///< new end of all leases, on the worker's clock
    common::milliseconds wait{0};            ///< how long the answer may wait for an end

    friend bool operator==(const poll_command&, const poll_command&) = default;
};

/// Starts one run of a task.
struct start_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;
    std::string payload;
    std::int64_t deadline_ms = 0; ///< on the worker's clock
    std::string checkpoint;
    std::string ticket;

    friend bool operator==(const start_command&, const start_command&) = default;
};

/// Ends one run of a task.
struct stop_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;

    friend bool operator==(const stop_command&, const stop_command&) = default;
};

/// Lets a task work at a part of its speed.
struct throttle_command {
    worker_instance worker;
    std::string address;
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t percent = 100;

    friend bool operator==(const throttle_command&, const throttle_command&) = default;
};

/// Asks the outside policy which workers may run a step.
struct advice_request {
    std::string job;
    std::int64_t occurrence = 0;
    jobs::step_index step = 0;
    std::vector<std::string> workers;

    friend bool operator==(const advice_request&, const advice_request&) = default;
};

/// One durable change of a job's documents.
struct document_change {
    std::string job;
    std::string progress; ///< the new progress document; empty when closed
    jobs::job_state state = jobs::job_state::pending;
    bool closed = false; ///< the state is final and nothing runs: the state alone is kept

    friend bool operator==(const document_change&, const document_change&) = default;
};

/// Changes that must be durable, all or none, before what depends on them is done.
struct journal_write {
    std::uint64_t batch = 0;
    std::vector<document_change> changes;

    friend bool operator==(const journal_write&, const journal_write&) = default;
};

/// A decision for the log.
struct decision_record {
    enum class kind {
        job_taken,
        task_started,
        task_ended,
        task_lost,
        start_refused,
        job_ended,
        job_cancelled,
        worker_added,
        worker_lost,
        worker_suspected,
        worker_trusted,
    };
    kind event{};
    std::string subject; ///< job, task or worker
    std::string detail;

    friend bool operator==(const decision_record&, const decision_record&) = default;
};

using action = std::variant<poll_command, start_command, stop_command, throttle_command,
                            advice_request, journal_write, decision_record>;

/// How a run ended, as its worker lists it.
enum class end_cause {
    done,
    failed,  ///< through its own fault or the worker's
    stopped, ///< by an order
    lapsed,  ///< its lease ran out
    broken,  ///< another member of its gang ended
    alone,   ///< waited too long for the others of its gang
};

/// A run that a worker lists as running.
struct reported_run {
    jobs::task_id task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< of work done; for a serving task 100 when it is at work
    std::int64_t load = 0;    ///< tail in ms of a serving task, else processors in use

    friend bool operator==(const reported_run&, const reported_run&) = default;
};

/// A run that a worker lists as ended.
struct finished_run {
    std::int64_t number = 0; ///< order of ends in this life
    jobs::task_id task;
    std::int64_t run = 0;
    end_cause cause = end_cause::stopped;
    std::string checkpoint;

    friend bool operator==(const finished_run&, const finished_run&) = default;
};

/// A worker's whole answer to a look.
struct worker_report {
    std::int64_t started_at_ms = 0; ///< of the life that answered
    std::int64_t clock_ms = 0;      ///< the worker's clock when it answered
    std::vector<reported_run> running;
    std::vector<finished_run> finished;

    friend bool operator==(const worker_report&, const worker_report&) = default;
};

/// What became of an order to a worker.
enum class command_outcome {
    accepted,
    fenced,    ///< the worker has seen a newer owner
    stale_run, ///< a later run has been stopped or ended there
    too_late,  ///< the deadline had passed
    no_capacity,
    no_ticket,
    malformed,
    unhealthy,      ///< refused by an unhealthy worker, which has done nothing
    other_instance, ///< another life of the worker answered
    not_sent,       ///< no connection
    unknown,        ///< no answer; may have been done, or be done later
};

/// Returns the name of a verdict. Thread safe.
std::string_view to_string(command_outcome value);

/// Returns the name of an end's cause. Thread safe.
std::string_view to_string(end_cause value);

/// The answer to a look, with the times between which the worker answered.
struct poll_result {
    worker_instance worker;
    common::steady_time sent_at;
    command_outcome outcome = command_outcome::unknown;
    worker_report report; ///< when accepted

    friend bool operator==(const poll_result&, const poll_result&) = default;
};

/// The answer to a start or a stop.
struct command_result {
    worker_instance worker;
    jobs::task_id task;
    std::int64_t run = 0;
    command_outcome outcome = command_outcome::unknown;
    std::int64_t clock_ms = 0; ///< 0 when unknown

    friend bool operator==(const command_result&, const command_result&) = default;
};

/// The workers that may run a step, with the ticket for each.
struct advice_response {
    std::string job;
    std::int64_t occurrence = 0;
    jobs::step_index step = 0;
    std::optional<std::map<std::string, std::string>> tickets; ///< by worker id; nothing: no answer
    common::milliseconds valid{0};

    friend bool operator==(const advice_response&, const advice_response&) = default;
};

} // namespace chervilslip::scheduling
