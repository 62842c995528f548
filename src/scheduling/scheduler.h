#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include "fleet/pool_planner.h"
#include "jobs/job_scope.h"
#include "scheduling/advice_backlog.h"
#include "scheduling/best_effort_throttle.h"
#include "scheduling/cold_workers.h"
#include "scheduling/crash_ledger.h"
#include "scheduling/dispatch_round.h"
#include "scheduling/duration_estimator.h"
#include "scheduling/fencing.h"
#include "scheduling/journal_lane.h"
#include "scheduling/placement.h"
#include "scheduling/progress.h"
#include "scheduling/replacement_room.h"
#include "scheduling/reservations.h"
#include "scheduling/team_order.h"
#include "scheduling/worker_state.h"
#include "scheduling/zone_evacuation.h"

namespace chervilslip::scheduling {

/// A job as read from the store.
struct stored_job {
    jobs::job spec;
    std::optional<job_progress> progress; ///< unset if no owner has processed the job yet
    bool cancelled = false;               ///< a cancellation is stored
    std::string defect;                   ///< why the stored progress can't be read; empty: it can

    friend bool operator==(const stored_job&, const stored_job&) = default;
};

/// Monotonic counters for metrics.
struct scheduler_counters {
    std::uint64_t jobs_taken = 0;
    std::uint64_t jobs_completed = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_cancelled = 0;
    std::uint64_t starts = 0;
    std::uint64_t starts_refused = 0;
    std::uint64_t starts_unanswered = 0;
    std::uint64_t runs_unexpected = 0; ///< reported by workers, not expected by the journal
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_other = 0;
    std::uint64_t runs_lost = 0;
    std::uint64_t evacuations_of_unknown_zones = 0;
    std::uint64_t dispatch_rounds = 0;
    std::uint64_t jobs_ranked = 0; ///< in all rounds together

    friend bool operator==(const scheduler_counters&, const scheduler_counters&) = default;
};

/// Schedules all jobs of the fleet on all of its workers, for as long as this node holds the
/// ownership claim. It performs no I/O: events are passed in with the current time, and the caller
/// collects and executes the resulting actions. A start is sent, and an ended run is acknowledged,
/// only after the journal entry is durable. Not thread safe.
class scheduler {
public:
    explicit scheduler(scheduler_options initial_options);

    /// Restores the jobs of earlier owners. Runs on workers that do not respond are taken as lost
    /// `inherited_lease` after `now`. Precondition: called once, before any other event.
    void restore(std::vector<stored_job> stored, common::steady_time now, std::int64_t unix_ms);

    /// Applies a configuration unless it is older than the current one.
    void configure(policy new_policy);

    /// Applies the complete worker registry.
    void update_workers(const std::vector<worker_entry>& entries, common::steady_time now);

    /// Allows starts until this time. Leases end at most `lease_duration` after it.
    void extend_authority(common::steady_time until);

    /// Spaces journal writes, polls of a worker and dispatch rounds by this much more than usual,
    /// so that an owner without enough processor time has fewer of them. Leases are not affected.
    void set_batch_window(common::milliseconds window);

    /// Records that all jobs and cancellations stored before `as_of` have been passed on.
    void confirm_input(common::steady_time as_of);

    /// Replaces the zones under evacuation: their workers get nothing new, starts that are planned
    /// there are withdrawn, and each tick moves long-running tasks as their disruption budgets
    /// allow.
    void set_evacuated_zones(const evacuated_zones& zones, common::steady_time now);

    /// Sets the zones of all VMs, beside those of the workers.
    void set_vm_zones(std::set<std::string> zones);

    /// Records that the operators' keys as of `as_of`, requests to evacuate zones included, have
    /// been passed on.
    void confirm_operator_keys(common::steady_time as_of);

    /// Returns whether the requests to evacuate zones are recent enough for orders to move VMs.
    [[nodiscard]] bool may_order_moves(common::steady_time now) const;

    /// Adds a durable job. Has no effect if the job is known already.
    void submit_job(const jobs::job& accepted, common::steady_time now);

    /// Applies a durable cancellation. If the job is not known yet, it is cancelled when it is
    /// submitted.
    void cancel_job(const std::string& id, common::steady_time now);

    /// Adds a job that the node which accepted it reports directly; `revision` is that of the
    /// store at which the job was written. Returns false if the report is too old to be used: the
    /// job may have been closed since.
    bool handle_job_notification(const jobs::job& accepted, std::int64_t revision,
                                 common::steady_time now);

    /// Applies a cancellation that a node reports directly. Returns false if the report is too old.
    bool handle_cancel_notification(const std::string& id, std::int64_t revision,
                                    common::steady_time now);

    /// Ignores notifications of jobs and cancellations written up to this revision. Precondition:
    /// those that are still stored have been passed on, or will be.
    void ignore_notifications_until(std::int64_t revision);

    void handle_poll_result(const poll_result& answer, common::steady_time now);

    /// Takes the ends of runs from a report whose poll was handled as unanswered. Nothing else is
    /// concluded from it, because the worker may have changed since.
    void handle_late_report(const worker_instance& from, const worker_report& report,
                            common::steady_time now);
    void handle_start_result(const command_result& answer, common::steady_time now);
    void handle_stop_result(const command_result& answer, common::steady_time now);
    void handle_advice(const advice_response& answer, common::steady_time now);

    /// Handles the commit of a journal batch.
    void handle_journal_commit(std::uint64_t batch, common::steady_time now);

    /// Makes all decisions that are due, polls included. Its cost grows with the number of workers,
    /// so it is called periodically. `unix_ms` is the wall-clock time.
    void tick(common::steady_time now, std::int64_t unix_ms);

    /// Makes the decisions that earlier events have made due: dispatches tasks and writes the
    /// journal. Called after each event, at a cost that does not grow with the number of workers.
    void react(common::steady_time now, std::int64_t unix_ms);

    /// Sets whether a worker is excluded from new tasks because its VM is to be moved or serviced.
    void set_cordon(const std::string& worker, bool cordoned);

    /// Stops the long-running tasks on a worker as far as their disruption budgets allow, and on a
    /// cordoned worker once other workers have room for them, or after a time. Has no effect while
    /// stops of an earlier owner may still be in flight, because the tasks that they end still
    /// appear as running. None of these limits applies to a draining worker.
    void evacuate(const std::string& worker, common::steady_time now);

    /// Removes a closed job whose stored state has been deleted.
    void forget_closed_job(const std::string& id);

    /// Returns the actions decided since the last call.
    std::vector<action> take_actions();

    /// Returns a job's state, or nothing for an unknown job. A final state is returned only once it
    /// is durable.
    [[nodiscard]] std::optional<jobs::job_state> state_of(const std::string& id) const;

    /// As above, for a job of the caller.
    [[nodiscard]] std::optional<jobs::job_state> state_of(const std::string& id,
                                                          const jobs::job_scope& caller) const;

    /// Returns how many jobs of a queue have not started any task.
    [[nodiscard]] std::int64_t pending_job_count(const std::string& queue) const;

    [[nodiscard]] const worker_map& all_workers() const;
    [[nodiscard]] const scheduler_counters& counters() const;

    /// Returns whether a worker has rejected a poll or start of this owner as fenced, so that a
    /// newer owner exists.
    [[nodiscard]] bool is_fenced() const;

    /// Returns the demand per pool, without tasks beyond their team's quota.
    [[nodiscard]] std::map<std::string, fleet::pool_demand> demand() const;

    /// Returns what each team with work in a pool has of it.
    [[nodiscard]] std::vector<team_share> team_shares() const;

    /// Returns how many tasks could be started as far as their job is concerned, without those of
    /// long-running jobs.
    [[nodiscard]] std::int64_t startable_tasks() const;

    /// Returns what was learned of the run times of queues.
    [[nodiscard]] const duration_estimator& run_times() const;

    /// Returns how many runs of long-running tasks may exist on a worker.
    [[nodiscard]] std::int64_t lasting_runs(const std::string& worker) const;

    /// Returns the reservations for large tasks.
    [[nodiscard]] const reservation_book& reserved_places() const;

private:
    static constexpr std::int64_t full_speed_percent = 100; ///< of a serving task

    enum class run_phase {
        planned,    ///< the journal entry is not durable yet
        sent,       ///< waiting for the response to the start
        unanswered, ///< no response to the start, which may still take effect
        running,
        inherited, ///< started by an earlier owner and not reported yet
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
        bool redundant = false; ///< an earlier run of the task has completed after all
        bool inherited = false; ///< an earlier owner started it, at a time that is not known
        bool resumed = false;   ///< from a checkpoint, so its time is not that of a whole run
        /// Which instance accepted the start. No report of `worker` has listed the run yet unless
        /// this is `known`.
        answering_instance accepted_by = answering_instance::known;
        common::steady_time sent_at;
        /// Until then the start may still arrive, at this instance of the worker or at a later one;
        /// unset: it has arrived.
        std::optional<common::steady_time> may_arrive_until;
        std::int64_t token = 0; ///< of the start; 0: an earlier owner's
    };

    struct step_count {
        std::int64_t waiting = 0;
        std::int64_t open = 0;
        std::int64_t done = 0;
    };

    /// What the advice service has said of the workers of a step.
    struct ticket_cache {
        /// A worker that it has allowed or not.
        struct advised_worker {
            std::int64_t started_at_ms = 0; ///< the instance that was named
            common::steady_time valid_until;
        };
        std::map<std::string, std::string> tickets;    ///< that are valid, by worker
        std::map<std::string, advised_worker> advised; ///< by id
        std::vector<worker_instance> named;            ///< in the latest call
        std::optional<common::steady_time> expired_at; ///< when old advice was last removed
    };

    /// What happened to a job under this owner, for the log line at its end.
    struct job_history {
        std::int64_t starts = 0;
        std::int64_t failed = 0;
        std::int64_t lost = 0;
        std::int64_t refused = 0;               ///< starts that workers rejected
        std::optional<std::int64_t> started_ms; ///< Unix time of the first start
        std::string failure;                    ///< why it failed; empty: attempts exhausted
    };

    /// Failures of a task that are charged to a worker.
    struct charged_failures {
        std::string worker; ///< empty: the task itself is at fault
        std::int64_t count = 0;
    };

    struct active_job {
        jobs::job spec;
        job_history history;
        bool has_little_slack = false; ///< would be late if its tasks took twice as long
        /// Cached, because each round of dispatch ranks all waiting jobs.
        struct critical_paths {
            common::milliseconds total{0};
            common::milliseconds remaining{0}; ///< of the latest occurrence that is due
            std::int64_t remaining_steps = 0;  ///< of that occurrence
            std::int64_t occurrence = 0;
            common::steady_time valid_until;
        };
        critical_paths paths;
        job_progress progress;
        std::vector<std::vector<step_count>> counts; ///< by occurrence and step
        bool final_is_durable = false;
        std::map<std::pair<std::int64_t, jobs::step_index>, ticket_cache> tickets;
        std::map<jobs::task_id, charged_failures> failures_by_task;
    };

    /// Groups of the dispatch order. Load pattern: a turn of demand beyond a pool's size. Jobs with
    /// the least slack first would all start when their slack is used up, and all end late. So jobs
    /// that will probably be in time go first, and the others wait for the capacity that these
    /// leave.
    enum class dispatch_group { long_running, likely_in_time, perhaps_in_time, late, too_late };

    /// Dispatch order of a job; the lowest rank is dispatched first.
    struct rank {
        dispatch_group group{};
        std::int64_t priority = 0;
        double score = 0;

        friend auto operator<=>(const rank&, const rank&) = default;
    };

    using ranked_list = std::vector<std::pair<rank, active_job*>>;

    // scheduler_shares.cpp: what teams have of their pools
    [[nodiscard]] static bool has_begun(const active_job& job);
    [[nodiscard]] static std::pair<teams::resources, teams::resources>
    running_size(const active_job& job);
    void begin_order(const ranked_list& ranked_jobs, common::steady_time now);
    void end_order();
    void note_if_room_lacks(const active_job& job, const teams::resources& size);

    // scheduler_jobs.cpp: jobs and ended runs
    active_job* find_job(const std::string& id);
    void add_job(stored_job&& stored, common::steady_time now);
    /// Ends a job that can't be restored, so that it holds up no other. Its runs are stopped once
    /// their workers report them.
    void end_unusable_job(stored_job&& stored, const std::string& defect);
    void count_tasks(active_job& job);
    void complete_task(active_job& job, const jobs::task_id& task);
    void charge_failure(active_job& job, const jobs::task_id& task, worker_state& worker);
    void requeue_task(active_job& job, const jobs::task_id& task);
    void finish_job(active_job& job, jobs::job_state state, common::steady_time now);
    void stop_all_runs(active_job& job, common::steady_time now);
    void complete_if_done(active_job& job, common::steady_time now);
    void mark_dirty(const active_job& job);
    [[nodiscard]] const jobs::queue_policy& policy_of(const active_job& job) const;
    [[nodiscard]] bool is_step_ready(const active_job& job, std::int64_t occurrence,
                                     jobs::step_index step) const;
    [[nodiscard]] common::milliseconds critical_path(const active_job& job) const;
    void refresh_paths(active_job& job, std::int64_t unix_ms) const;
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
    void forget_planned_start(const jobs::task_id& task);
    void mark_run_lost(const jobs::task_id& task, std::string_view why);

    [[nodiscard]] std::int64_t remaining_processors(const std::string& team) const;

    // scheduler_workers.cpp: workers, polls and command results
    worker_state* find_worker(const worker_instance& instance);
    void poll_if_due(worker_state& worker, common::steady_time now);
    void poll_due_workers(common::steady_time now);
    void schedule_poll(worker_state& worker, common::steady_time at);
    void handle_ends(worker_state& worker, const std::vector<finished_run>& finished,
                     common::steady_time now);
    void reconcile_running(worker_state& worker, const poll_result& answer,
                           common::steady_time now);
    void throttle_best_effort_runs(worker_state& worker, common::steady_time now);
    void note_crash(const worker_state& lost, const worker_entry& successor,
                    const std::vector<lost_start>& explained, common::steady_time now);
    void add_run_to(worker_state& worker, const jobs::task_id& task) const;
    void mark_runs_lost(worker_state& worker, worker_loss how, std::string_view why,
                        common::steady_time now, const std::set<jobs::task_id>& kept = {});
    void withdraw_start(const active_job& job, const jobs::task_id& task, common::steady_time now);
    void request_stop(const jobs::task_id& task, open_run& run, common::steady_time now);
    [[nodiscard]] std::int64_t deadline_for(const worker_state& worker, common::steady_time now,
                                            common::milliseconds time) const;

    // scheduler_instances.cpp: instances of a worker under one id, and the ends of their leases
    [[nodiscard]] std::set<jobs::task_id> runs_on(const worker_instance& instance,
                                                  const worker_state& worker) const;
    /// Returns the runs on a worker that its next instance may hold instead.
    [[nodiscard]] std::set<jobs::task_id>
    starts_for_next_instance(const worker_state& worker) const;
    /// Returns when the leases end at the latest that commands to this instance of a worker have
    /// given on its next one, whose clock has started anew.
    [[nodiscard]] common::steady_time leases_on_next_instance(const worker_state& worker) const;
    void suspect_restart(worker_state& worker, const command_result& answer,
                         common::steady_time now);
    void expect_start(worker_state& worker, const jobs::task_id& task);
    void update_worker(const worker_entry& entry, common::steady_time now);
    [[nodiscard]] bool is_report_recent(const worker_state& worker, common::steady_time now) const;
    [[nodiscard]] bool may_receive_earlier_commands(const worker_state& worker,
                                                    std::int64_t clock_ms) const;
    [[nodiscard]] bool has_unsettled_start(const worker_state& worker) const;
    [[nodiscard]] static bool has_never_begun(const worker_state& worker, const open_run& run,
                                              const poll_result& answer);
    void reconcile_missing(worker_state& worker, const poll_result& answer,
                           common::steady_time now);
    void expire_workers(common::steady_time now);
    [[nodiscard]] bool is_silence_certain(const worker_state& worker,
                                          common::steady_time now) const;

    // scheduler_crashes.cpp: tasks that crash their workers
    [[nodiscard]] bool is_starting(const worker_state& worker, const jobs::task_id& task) const;
    [[nodiscard]] std::vector<lost_start> starting_runs(const worker_state& worker) const;
    [[nodiscard]] bool is_counted(const jobs::task_id& task) const;
    [[nodiscard]] std::int64_t suspicion_of(const active_job& job, const jobs::task_id& task) const;
    void count_crash(const lost_start& lost, const worker_entry& worker, common::steady_time now);
    /// Takes back crashes under starts that were sent after the worker's present instance had
    /// begun.
    void withdraw_crashes_before(const worker_state& worker, std::int64_t clock_ms,
                                 common::steady_time now);
    /// Finds the counted crashes that were part of an event, as soon as further crashes are known.
    void judge_crashes(common::steady_time now);
    void take_back_crash(const counted_crash& crash, bool is_event, common::steady_time now);
    [[nodiscard]] bool is_judged(const jobs::task_id& task) const;
    /// Returns whether a task waits until it is known whether its workers have crashed, and why.
    [[nodiscard]] bool awaits_judgement(const active_job& job, const jobs::task_id& task) const;
    task_progress* progress_of(const jobs::task_id& task);
    [[nodiscard]] bool may_be_chance(const jobs::task_id& task, const task_progress& progress,
                                     common::steady_time now) const;
    void give_up_if_crashing(active_job& job, common::steady_time now);
    void hold_back_if_crashing(const active_job& job, const jobs::task_id& task,
                               common::steady_time now);
    void note_unexplained(const std::vector<lost_start>& starts, std::int64_t change);
    void clear_if_survived(worker_state& worker, active_job& job, const jobs::task_id& task);
    bool is_suspect_startable(const active_job& job, const jobs::task_id& task,
                              const ticket_cache* tickets, common::steady_time now);
    bool hold_worker(const active_job& job, const jobs::task_id& task, const ticket_cache* tickets,
                     common::steady_time now);
    worker_state* choose_worker_to_hold(const active_job& job, const jobs::task_id& task,
                                        const ticket_cache* tickets);
    /// Returns the capacity of a worker once all but its long-running tasks have ended.
    [[nodiscard]] teams::resources room_beside_lasting_runs(const worker_state& worker) const;
    [[nodiscard]] bool is_quiet(const worker_state& worker, common::steady_time now) const;
    worker_state* held_worker(const jobs::task_id& task);
    void release_hold(const jobs::task_id& task);
    void release_expired_holds(common::steady_time now);

    // scheduler_speed.cpp: run times and the speed of workers
    void begin_run_time(worker_state& worker, const active_job& job, const jobs::task_id& task,
                        open_run& run, common::steady_time now);
    void learn_run_time(worker_state& worker, const active_job& job, const open_run& run,
                        const finished_run& finished, common::steady_time now);
    void drop_run_time(worker_state& worker, const jobs::task_id& task, const open_run& run);
    void review_speeds(common::steady_time now);
    bool has_little_slack(const jobs::task_id& task);
    speed_needs speed_needs_of(const jobs::task_id& task, const placement_request& request);
    [[nodiscard]] step_shape run_shape(const worker_state& worker, const active_job& job,
                                       jobs::step_index step) const;
    [[nodiscard]] double run_scale(const worker_state& worker, const jobs::step& step) const;

    // scheduler_evacuation.cpp: long-running tasks that are moved, zones under evacuation
    /// Takes room on another worker for a long-running task that is to be stopped. Returns false if
    /// there is none, apart from that for the long-running tasks that wait already.
    bool take_replacement(const active_job& job, const jobs::task_id& task,
                          common::steady_time now);
    [[nodiscard]] replacement_room find_replacement_room(common::steady_time now) const;
    /// Returns whether long-running tasks of a pool could not be stopped for want of room.
    [[nodiscard]] bool lacks_replacements(const std::string& pool) const;
    void stop_lasting_runs(const worker_state& worker, std::set<step_id>& exhausted,
                           common::steady_time now);
    void withdraw_planned_starts(const worker_state& worker, common::steady_time now);
    void continue_evacuation(common::steady_time now);
    void record_evacuation(const evacuation_change& change);

    // scheduler_rank.cpp: ranks of jobs
    [[nodiscard]] rank rank_of(active_job& job, std::int64_t unix_ms) const;

    // scheduler_advice.cpp: tickets of the advice service
    const ticket_cache* find_tickets(active_job& job, std::int64_t occurrence,
                                     jobs::step_index step, common::steady_time now);
    [[nodiscard]] static const std::string*
    find_ticket(const active_job& job, const jobs::task_id& task, const worker_instance& worker);
    void want_tickets(active_job& job, std::int64_t occurrence, jobs::step_index step,
                      common::steady_time now);
    [[nodiscard]] static bool is_worth_asking_for(const worker_state& worker,
                                                  const jobs::step& step,
                                                  const ticket_cache& known);
    [[nodiscard]] std::vector<worker_instance>
    choose_advised_workers(const active_job& job, const step_id& step, common::steady_time now);
    void ask_for_advice(common::steady_time now);

    // scheduler_dispatch.cpp: dispatch and placement
    void dispatch_if_due(common::steady_time now, common::steady_time earliest);
    void dispatch(common::steady_time now, std::int64_t unix_ms);
    void index_pools();
    [[nodiscard]] bool has_dispatchable_step(const active_job& job) const;
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

    // scheduler_reservations.cpp: reservations for large tasks
    void begin_reservations(common::steady_time now);
    void end_reservations(common::steady_time now);
    void note_blocked(const active_job& job, const jobs::task_id& task);
    [[nodiscard]] placement_claim claim_of(const active_job& job, const jobs::task_id& task,
                                           common::steady_time now);
    /// Returns nothing if there are no reservations, which saves its cost.
    [[nodiscard]] std::optional<placement_claim>
    claim_if_reserved(const active_job& job, const jobs::task_id& task, common::steady_time now);
    [[nodiscard]] const pool_capacity& reservable_capacity(const std::string& pool);
    [[nodiscard]] bool may_host_reservation(const active_job& job, const step_id& step,
                                            const worker_state& worker,
                                            common::steady_time now) const;
    [[nodiscard]] common::milliseconds forecast_run_time(const active_job& job,
                                                         const jobs::step& step) const;
    [[nodiscard]] worker_forecast forecast_worker(const worker_state& worker,
                                                  common::steady_time now) const;
    [[nodiscard]] std::vector<worker_forecast> forecast_workers(const blocked_step& what,
                                                                common::steady_time now);
    void flush_journal(common::steady_time now);
    void flush_lane(std::size_t number, common::steady_time now);
    void send_batch_starts(journal_lane& lane, common::steady_time now);
    [[nodiscard]] journal_lane& lane_of(const std::string& job);
    void add_pending_end(worker_state& worker, const finished_run& finished, bool durable);
    [[nodiscard]] static bool is_closed(const active_job& job);
    [[nodiscard]] bool may_start(common::steady_time now) const;
    std::set<std::string> collect_changes(journal_lane& lane, journal_write& write);
    std::string encode_within_limit(active_job& job);

    void record(decision_record::kind what, std::string subject, std::string detail);
    [[nodiscard]] bool is_traced(const active_job& job) const;
    [[nodiscard]] bool is_trouble_logged(const active_job& job) const;
    [[nodiscard]] std::string describe_end(const active_job& job) const;
    /// Returns the number, worker instance and phase of a run, for the log.
    [[nodiscard]] std::string describe_run(const open_run& run) const;
    /// Records a run that a worker reports and the journal does not expect there.
    void record_unexpected(const worker_state& worker, const reported_run& reported);

    scheduler_options options;
    policy current_policy;
    std::set<std::string> known_pools; ///< of the current policy
    worker_map workers;
    std::uint64_t last_listing = 0;            ///< number of the latest worker registry
    std::optional<pool_index> workers_by_pool; ///< unset after a change of the workers
    std::unordered_map<std::string, active_job> jobs_by_id;
    struct ended_job {
        jobs::job_state state{};
        jobs::job_scope scope;
    };
    std::unordered_map<std::string, ended_job> closed_states;
    std::set<std::string> pending_cancels; ///< of jobs that are not known yet
    std::map<jobs::task_id, open_run> open_runs;
    std::map<std::string, teams::resources> team_usage;
    std::vector<journal_lane> lanes;
    cold_workers cold;
    zone_evacuation evacuation;
    common::steady_time next_evacuation;
    std::uint64_t next_batch = 1;
    common::steady_time authority_until;
    common::steady_time input_confirmed_at;
    common::steady_time restored_at;        ///< earlier owners send nothing from then on
    std::int64_t newest_stale_revision = 0; ///< notifications up to it are ignored
    common::steady_time last_now;
    common::milliseconds batch_window{0};
    common::steady_time lagged_at; ///< when the owner last lacked much processor time
    /// Stops of an earlier owner have taken effect by this time.
    common::steady_time earlier_stops_until;
    std::int64_t last_unix_ms = 0;
    duration_estimator durations;
    worker_speed speeds;
    common::steady_time next_speed_review;
    best_effort_throttle throttle;
    advice_backlog needed_advice;
    reservation_book reservations;
    std::int64_t ended_instances = 0; ///< of workers, under this claim
    crash_ledger unexplained_losses;
    crash_rate recent_crashes;
    std::optional<replacement_room> replacements; ///< as of `replacements_at`
    common::steady_time replacements_at;
    std::map<std::string, common::steady_time> replacement_lacked_at; ///< by pool
    std::vector<counted_crash> counted_crashes; ///< that are not judged yet, oldest first
    std::optional<common::steady_time> judge_crashes_at;
    /// Long-running tasks that are not to be started before a time, because they crash workers.
    std::map<jobs::task_id, common::steady_time> held_back_until;
    std::map<jobs::task_id, std::string> holds; ///< worker that is held for a task's isolated start
    scheduler_counters totals;
    bool dispatch_due = true;
    common::steady_time next_scan; ///< of all workers
    /// Polls that may become due before the next scan, by worker.
    std::vector<std::pair<common::steady_time, std::string>> early_polls;
    common::steady_time next_dispatch;     ///< dispatches then at the latest
    common::steady_time earliest_dispatch; ///< spaces rounds, which take long for a backlog
    common::steady_time earliest_reaction; ///< spaces the rounds that events cause
    std::optional<dispatch_round> round;   ///< set while tasks are placed
    team_order order;                      ///< of dispatch
    /// Pools in which an unconstrained task found no room in the latest round.
    std::set<std::string> full_pools;
    bool fenced = false;
    std::vector<action> actions;
};

} // namespace chervilslip::scheduling
