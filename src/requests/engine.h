#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "common/random.h"
#include "requests/record.h"
#include "requests/wait_queue.h"
#include "routing/retry_budget.h"
#include "routing/run_time_estimator.h"
#include "routing/upstream_view.h"
#include "teams/limit_guard.h"

namespace chervilslip::requests {

/// Faults injected by tests to verify that each invariant check detects its violation.
enum class injected_fault {
    none,
    wrong_team,
    ignore_limit,
    repeat_unrepeatable,
    accept_any_answer,
    claim_not_run,
    ignore_slots,
    skip_stage,
    skip_claims,
};

/// Configuration of a node's engine.
struct engine_options {
    std::string node;
    std::string zone;
    routing::selection_policy choice = routing::selection_policy::corrected_two_choice;
    routing::outlier_limits outliers;
    teams::node_position position;
    common::milliseconds task_lease{15000};  ///< upstream stops a task not renewed for this long
    common::milliseconds lease_margin{2000}; ///< allowance for clock drift
    common::milliseconds repeatable_resolve_timeout{1000}; ///< then a repeatable task is retried
    common::milliseconds first_query_delay{50}; ///< after a lost reply; doubles each time
    common::milliseconds max_query_delay{1000};
    common::milliseconds full_backoff{25}; ///< how long a full upstream is skipped
    common::milliseconds unreachable_backoff{500};
    common::milliseconds response_retention{900000}; ///< how long a response can be fetched
    std::size_t max_records = 20000;
    int max_attempts = 3;
    common::milliseconds claim_timeout{6000}; ///< then missing replies count as inconclusive
    common::milliseconds claim_retry_delay{300};
    common::milliseconds claim_retention{900000}; ///< how long a key guarantees a single run
    injected_fault fault = injected_fault::none;
};

/// Counters since the engine was created.
struct engine_counters {
    std::uint64_t submitted = 0;
    std::uint64_t joined = 0;
    std::uint64_t starts = 0;
    std::uint64_t retries = 0;
    std::uint64_t resolved_not_started = 0;
    std::uint64_t dropped_replies = 0;
    std::uint64_t overflowed = 0;
    std::uint64_t claims = 0;
    std::uint64_t adopted = 0;
    std::uint64_t taken_over = 0;
    std::map<request_outcome, std::uint64_t> ended;
    std::map<refusal, std::uint64_t> refused;

    friend bool operator==(const engine_counters&, const engine_counters&) = default;
};

/// Current load of one team on this node.
struct team_load {
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    std::int64_t allowed = 0;
    double weighted_share = 0.0;

    friend bool operator==(const team_load&, const team_load&) = default;
};

/// Decision logic for the requests of one node. Consumes events with their time and returns
/// actions; performs no I/O. Not thread safe. Precondition: `random` and `invariants` outlive the
/// engine, and time never goes backwards.
template <teams::limit_guard_type Guard>
class engine {
public:
    engine(engine_options initial_options, Guard limit_guard, common::random_source& random,
           common::invariant_monitor& invariants);

    /// Processes an event and returns the resulting actions.
    actions on_event(const event& incoming, common::steady_time now);

    /// Returns a request of this node, or null if it is unknown or has been evicted.
    [[nodiscard]] const record* find(const std::string& id) const;

    /// Returns whether the engine may start tasks: every listed upstream has reported, or the
    /// leases of all tasks that this node's previous incarnation started have expired.
    [[nodiscard]] bool has_recovered() const;

    /// Returns the number of requests that have not ended.
    [[nodiscard]] std::size_t open_requests() const;

    /// Returns the load of each team.
    [[nodiscard]] std::map<std::string, team_load> loads() const;

    /// Returns the resources of each team's tasks that count against this node's part of the
    /// team's limit.
    [[nodiscard]] std::map<std::string, teams::resources> running() const;

    /// Returns the counters since the engine was created.
    [[nodiscard]] const engine_counters& counters() const;

    /// Returns this node's view of the upstreams.
    [[nodiscard]] const routing::upstream_view& upstreams() const;

    /// Returns the settings in force, or null before any were accepted.
    [[nodiscard]] std::shared_ptr<const settings::snapshot> in_force() const;

private:
    static constexpr common::milliseconds maintenance_interval{1000};

    enum class timer_kind {
        queue_deadline,
        query,
        claim_timeout,
        claim_retry,
        evict,
        release_orphan
    };

    struct timer {
        timer_kind kind;
        std::string id;
    };

    /// A task that may still be running although its request was retried or has ended.
    struct orphaned_task {
        std::string team;
        std::string worker;
        teams::resources need;
    };

    /// A running task held by this node for which it has no request.
    struct inherited_task {
        routing::reported_task task;
        common::steady_time keep_until; ///< counted until then even if reports omit it
    };

    // Admission and completion of requests.
    void handle(const request_submitted& submitted);
    void handle(const cancel_requested& requested);
    void handle(const worker_replied& reply);
    void handle(const claim_replied& reply);
    void handle(const settings_accepted& accepted);
    void handle(const vm_list_received& received);
    void handle(const usage_received& received);
    void handle(const peer_status_received& received);
    void handle(const tick& elapsed);
    void handle(const shutdown_requested& requested);
    bool check_queue(record& entry);
    bool check_key(record& entry);
    bool check_size(record& entry);
    bool check_backlog(record& entry);
    bool join_existing(record& entry);
    void refuse(record& entry, refusal why, std::string cause);
    void end(record& entry, response final_response);
    void evict_oldest();
    void record_evicted_key(const record& entry);
    void refuse_unauthorized();
    [[nodiscard]] std::vector<std::string> queued_requests() const;
    void remove_from_wait_queue(const record& entry);
    void end_queued(record& entry, refusal why, const std::string& cause);
    [[nodiscard]] common::milliseconds expected_wait(const record& entry) const;

    // Recovery: tasks left running by this node's previous incarnation or by dead nodes.
    void acquire_inherited(const std::string& vm, const routing::reported_task& task);
    void renew_inherited(const usage_received& received);
    void adopt_orphaned(const usage_received& received);
    [[nodiscard]] bool needs_renewal(const routing::reported_task& task) const;
    [[nodiscard]] bool is_rendezvous_owner(const std::string& task) const;
    void update_inherited(const std::string& vm, const std::vector<routing::reported_task>& tasks);
    void release_stale_inherited();
    void prune_departed();
    void record_departed(const std::vector<routing::removed_upstream>& removed);
    [[nodiscard]] bool is_recovering() const;

    // Claims: tasks that other nodes may have started under the same idempotency key.
    void start_claiming(record& entry);
    void retry_claims(record& entry);
    void finish_claiming(record& entry);
    void adopt(record& entry, const attempt_id& run);
    void enqueue(record& entry);
    [[nodiscard]] std::vector<std::string> claim_pools(const record& entry) const;

    // Dispatch.
    void dispatch_all();
    void dispatch(const std::string& pool);
    bool dispatch_one(const std::string& pool, bool urgent);
    bool place(record& entry);
    std::optional<routing::candidate> pick_upstream(record& entry);
    std::optional<routing::candidate> pick_from_pool(record& entry, const std::string& pool);
    void start(record& entry, const routing::candidate& upstream);
    void check_start_invariants(const record& entry, const std::string& vm, std::int64_t own_there);

    // Replies.
    record* match_reply(const worker_replied& reply);
    void on_running(record& entry, const worker_replied& reply);
    void on_finished(record& entry, const worker_replied& reply);
    void on_not_started(record& entry, const worker_replied& reply);
    void on_claimed(record& entry);
    void on_reply_lost(record& entry);
    void on_worker_lost(record& entry, const std::string& cause);
    void retry_query(record& entry);
    void retry_or_end(record& entry, response fallback);
    void requeue(record& entry, bool at_front);
    void release_capacity(record& entry);
    void orphan_attempt(record& entry);
    void report_outcome(const std::string& vm, routing::outcome result);

    void set_timer(common::steady_time at, timer_kind kind, const std::string& id);
    void run_timer(const timer& due);
    const settings::queue& queue_of(const record& entry) const;
    routing::run_time_estimator& estimator_of(const std::string& queue);

    engine_options options;
    Guard guard;
    common::random_source& random;
    common::invariant_monitor& invariants;
    routing::upstream_view view;
    teams::fair_share shares;
    routing::retry_budget budget;
    engine_counters counts;
    std::shared_ptr<const settings::snapshot> settings_in_force;
    std::unordered_map<std::string, record> records;
    std::unordered_map<std::string, std::string> id_of_task;
    std::map<std::string, wait_queue> wait_queues; ///< by pool
    std::map<std::string, int> urgent_streaks; ///< by pool: urgent starts since the last normal one
    std::map<std::string, routing::run_time_estimator> estimators;
    std::map<std::string, orphaned_task> orphaned_tasks;
    std::map<std::string, std::pair<std::string, common::steady_time>>
        departed_vms; ///< VM to pool and time of departure
    std::map<std::string, std::map<std::string, inherited_task>>
        inherited_tasks; ///< by VM and task id
    std::set<std::string> live_nodes;
    std::set<std::string> unreported_vms; ///< listed VMs without a usage report so far
    std::unordered_map<std::string, common::steady_time> last_report_at; ///< by VM
    std::optional<common::steady_time> first_event_at;
    common::steady_time next_maintenance;
    common::steady_time
        evicted_keys_until; ///< until then an evicted key may have run within `claim_retention`
    std::multimap<common::steady_time, timer> timers;
    std::deque<std::string> ended_ids; ///< in the order in which the requests ended
    std::size_t open_count = 0;
    std::uint64_t orphan_count = 0;
    bool stopping = false;
    common::steady_time now;
    actions pending_actions;
};

extern template class engine<teams::static_partition>;

/// The engine used by the daemon and by the soak test.
using node_engine = engine<teams::static_partition>;

} // namespace chervilslip::requests
