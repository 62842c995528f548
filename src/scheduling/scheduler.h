#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include "fleet/pool_planner.h"
#include "scheduling/best_effort_throttle.h"
#include "scheduling/dispatch_round.h"
#include "scheduling/duration_estimator.h"
#include "scheduling/progress.h"
#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// A job as it stands in the store.
struct stored_job {
    jobs::job spec;
    std::optional<job_progress> progress; ///< nothing when no owner has touched it
    bool cancelled = false;               ///< a caller's cancel is durable

    friend bool operator==(const stored_job&, const stored_job&) = default;
};

/// Counts for metrics; they only grow.
struct scheduler_counters {
    std::uint64_t jobs_taken = 0;
    std::uint64_t jobs_completed = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_cancelled = 0;
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unanswered = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_other = 0;
    std::uint64_t runs_lost = 0;

    friend bool operator==(const scheduler_counters&, const scheduler_counters&) = default;
};

/// The owner's decisions about all workers and all jobs of the fleet. It lives as long as one
/// claim. Events come in with the time; actions are collected and taken by the shell. A start goes
/// out only after the journal holds it, and an end is acknowledged only after the journal holds
/// it. Not thread safe.
class scheduler {
public:
    explicit scheduler(scheduler_options initial_options);

    /// Takes what an earlier owner left. Precondition: called once, before any other event.
    /// What runs on workers that do not answer is waited for until `inherited_hold` after `now`.
    void restore(std::vector<stored_job> stored, common::steady_time now);

    /// Follows a newer configuration.
    void configure(policy new_policy);

    /// Takes the whole registry of workers.
    void update_workers(const std::vector<worker_entry>& entries, common::steady_time now);

    /// Orders may be given until this time; leases end `hold_time` after it at the latest.
    void extend_authority(common::steady_time until);

    /// Takes a job that is durable. A job that is known already is left as it is.
    void submit_job(const jobs::job& accepted, common::steady_time now);

    /// Takes a caller's cancel that is durable. One of a job that is not known yet holds once the
    /// job is taken.
    void cancel_job(const std::string& id, common::steady_time now);

    void handle_poll_result(const poll_result& answer, common::steady_time now);
    void handle_start_result(const command_result& answer, common::steady_time now);
    void handle_stop_result(const command_result& answer, common::steady_time now);
    void handle_advice(const advice_response& answer, common::steady_time now);

    /// Tells that a batch is durable.
    void handle_journal_commit(std::uint64_t batch, common::steady_time now);

    /// Decides what is due. `unix_ms` is the calendar time.
    void tick(common::steady_time now, std::int64_t unix_ms);

    /// Keeps new work off a worker (or lets it in again) because its VM is to be moved or serviced.
    void set_cordon(const std::string& worker, bool cordoned);

    /// Stops the lasting runs on a worker as far as their availability budget allows. Does nothing
    /// while stops that an earlier owner has sent may be under way, for they do not show yet.
    void evacuate(const std::string& worker, common::steady_time now);

    /// Forgets a closed job, whose state is no longer kept.
    void forget_closed_job(const std::string& id);

    /// Returns the actions decided since the last call.
    std::vector<action> take_actions();

    /// Returns a job's state as far as it is durable; nothing for an unknown job.
    [[nodiscard]] std::optional<jobs::job_state> state_of(const std::string& id) const;

    /// Returns how many accepted jobs of a queue have not started any task.
    [[nodiscard]] std::int64_t pending_job_count(const std::string& queue) const;

    [[nodiscard]] const worker_map& all_workers() const;
    [[nodiscard]] const scheduler_counters& counters() const;

    /// Tells whether a worker has refused this owner's token: a newer owner exists.
    [[nodiscard]] bool is_fenced() const;

    /// Returns what each pool's queues ask for; tasks beyond their team's limit are left out.
    [[nodiscard]] std::map<std::string, fleet::pool_demand> demand() const;

    /// Returns how many runs of lasting tasks may exist on a worker.
    [[nodiscard]] std::int64_t lasting_runs(const std::string& worker) const;

private:
    static constexpr std::int64_t full_speed_percent = 100; ///< a serving task at work

    enum class run_phase {
        planned,    ///< its journal entry is not durable yet
        sent,       ///< the start's answer is awaited
        unanswered, ///< the start has no answer; it may still happen
        running,
        inherited, ///< an earlier owner's; not seen yet
    };

    struct open_run {
        worker_instance worker;
        std::int64_t run = 0;
        run_phase phase = run_phase::planned;
        std::int64_t start_deadline_ms = 0;
        common::steady_time planned_at;
        common::steady_time confirmed_at;
        std::optional<common::steady_time> stop_sent;
        std::int64_t percent = 0;
        std::int64_t load = 0;
        bool redundant = false; ///< an earlier run of its task was done after all
    };

    struct step_count {
        std::int64_t waiting = 0;
        std::int64_t open = 0;
        std::int64_t done = 0;
    };

    struct ticket_cache {
        common::steady_time retry_at;
        common::steady_time valid_until;
        std::map<std::string, std::string> tickets;
    };

    struct active_job {
        jobs::job spec;
        job_progress progress;
        std::vector<std::vector<step_count>> counts; ///< by occurrence and step
        bool final_is_durable = false;
        std::map<std::pair<std::int64_t, jobs::step_index>, ticket_cache> advice;
    };

    /// Order of jobs in one dispatch; the least comes first.
    struct rank {
        int group = 0;
        std::int64_t priority = 0;
        double score = 0;

        friend auto operator<=>(const rank&, const rank&) = default;
    };

    // cell_jobs.cpp: jobs and their ends
    active_job* find_job(const std::string& id);
    void add_job(stored_job&& stored, common::steady_time now);
    void count_tasks(active_job& job);
    void complete_task(active_job& job, const jobs::task_id& task);
    void requeue_task(active_job& job, const jobs::task_id& task);
    void finish_job(active_job& job, jobs::job_state state, common::steady_time now);
    void stop_all_runs(active_job& job, common::steady_time now);
    void complete_if_done(active_job& job, common::steady_time now);
    void mark_dirty(const active_job& job);
    [[nodiscard]] const jobs::queue_policy& policy_of(const active_job& job) const;
    [[nodiscard]] bool is_step_ready(const active_job& job, std::int64_t occurrence,
                                     jobs::step_index step) const;
    [[nodiscard]] common::milliseconds critical_path(const active_job& job) const;
    [[nodiscard]] common::milliseconds remaining_critical_path(const active_job& job,
                                                               std::int64_t occurrence) const;
    void handle_finished_run(worker_state& worker, const finished_run& finished,
                             common::steady_time now);
    bool accept_late_completion(active_job& job, const finished_run& finished,
                                common::steady_time now);
    void complete_despite_open_run(active_job& job, const jobs::task_id& task,
                                   open_run& redundant_run, common::steady_time now);
    void close_redundant_run(active_job& job, const jobs::task_id& task);
    void end_run(active_job& job, const jobs::task_id& task, end_cause cause,
                 const std::string& checkpoint, common::steady_time now);
    void close_run(const jobs::task_id& task);
    void mark_run_lost(const jobs::task_id& task, std::string_view why);

    [[nodiscard]] std::int64_t remaining_processors(const std::string& team) const;

    // cell_workers.cpp: workers, looks and orders
    worker_state* find_worker(const worker_instance& instance);
    void update_worker(const worker_entry& entry, common::steady_time now);
    void poll_if_due(worker_state& worker, common::steady_time now);
    void reconcile_running(worker_state& worker, const poll_result& answer,
                           common::steady_time now);
    void reconcile_missing(worker_state& worker, const poll_result& answer);
    void throttle_best_effort_runs(worker_state& worker, common::steady_time now);
    void mark_runs_lost(worker_state& worker, std::string_view why);
    void expire_workers(common::steady_time now);
    void request_stop(const jobs::task_id& task, open_run& run, common::steady_time now);
    [[nodiscard]] std::int64_t deadline_for(const worker_state& worker, common::steady_time now,
                                            common::milliseconds time) const;

    // cell_dispatch.cpp: what starts where
    void dispatch(common::steady_time now, std::int64_t unix_ms);
    void dispatch_step(active_job& job, std::int64_t occurrence, jobs::step_index step,
                       common::steady_time now);
    bool place_task(active_job& job, const jobs::task_id& task, common::steady_time now);
    bool place_gang(active_job& job, std::int64_t occurrence, jobs::step_index step,
                    common::steady_time now);
    worker_state* choose_worker(const active_job& job, const jobs::task_id& task,
                                const std::map<std::string, teams::resources>& reserved,
                                const std::string& rack, common::steady_time now,
                                const ticket_cache* tickets);
    [[nodiscard]] bool is_at_full_speed(const open_run& run) const;
    [[nodiscard]] bool is_within_disruption_budget(const active_job& job,
                                                   const jobs::task_id& task) const;
    [[nodiscard]] bool is_within_team_limit(const std::string& team,
                                            const teams::resources& more) const;
    void plan_run(active_job& job, const jobs::task_id& task, std::int64_t run,
                  worker_state& worker, common::steady_time now);
    void send_start(const jobs::task_id& task, open_run& run, common::steady_time now);
    ticket_cache* find_tickets(active_job& job, std::int64_t occurrence, jobs::step_index step,
                               common::steady_time now);
    [[nodiscard]] rank rank_of(const active_job& job, std::int64_t unix_ms) const;
    void flush_journal(common::steady_time now);
    [[nodiscard]] static bool is_closed(const active_job& job);
    std::set<std::string> collect_changes(journal_write& write);

    void record(decision_record::kind what, std::string subject, std::string detail);

    scheduler_options options;
    policy current_policy;
    worker_map workers;
    std::unordered_map<std::string, active_job> jobs_by_id;
    std::unordered_map<std::string, jobs::job_state> closed_states;
    std::set<std::string> pending_cancels; ///< of jobs that are not known yet
    std::map<jobs::task_id, open_run> open_runs;
    std::map<std::string, teams::resources> team_usage;
    std::set<std::string> dirty_jobs;
    std::uint64_t next_batch = 1;
    std::optional<std::uint64_t> batch_in_flight;
    std::vector<document_change> batch_changes;
    using planned_start = std::pair<jobs::task_id, std::int64_t>; ///< a task and its run
    std::vector<planned_start> planned_starts; ///< their journal entry is not under way yet
    std::vector<planned_start> batch_starts;
    common::steady_time last_flush;
    common::steady_time authority_until;
    common::steady_time last_now;
    common::steady_time earlier_stops_until; ///< what an earlier owner stopped has ended by then
    std::int64_t last_unix_ms = 0;
    duration_estimator durations;
    best_effort_throttle throttle;
    scheduler_counters totals;
    bool dispatch_due = true;
    common::steady_time next_dispatch;     ///< at the latest
    common::steady_time earliest_dispatch; ///< a round over many waiting jobs takes its time
    std::optional<dispatch_round> round;   ///< while tasks are placed
    bool fenced = false;
    std::vector<action> actions;
};

} // namespace chervilslip::scheduling
