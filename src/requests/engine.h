#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "common/random.h"
#include "requests/record.h"
#include "requests/waiting_line.h"
#include "routing/retry_budget.h"
#include "routing/run_time_estimator.h"
#include "routing/upstream_view.h"
#include "teams/limit_guard.h"

namespace chervilslip::requests {

/// Faults that tests plant to show that each invariant check fires.
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

/// How one node's engine behaves.
struct engine_options {
    std::string node;
    std::string zone;
    routing::choice_kind choice = routing::choice_kind::corrected_two_choice;
    routing::outlier_limits outliers;
    teams::node_position position;
    common::milliseconds task_lease{15000};  ///< an upstream stops a task that nobody asks for
    common::milliseconds lease_margin{2000}; ///< for clocks that run apart
    common::milliseconds repeatable_patience{1000}; ///< then a repeatable task goes elsewhere
    common::milliseconds first_query_delay{50};     ///< after a lost reply; doubles
    common::milliseconds longest_query_delay{1000};
    common::milliseconds full_pause{25}; ///< an upstream without room is left alone so long
    common::milliseconds unreachable_pause{500};
    common::milliseconds retention{900000}; ///< how long an answer can be fetched
    std::size_t max_records = 20000;
    int most_attempts = 3;
    common::milliseconds claim_time{6000}; ///< then an upstream that was not reached stays unknown
    common::milliseconds claim_retry_delay{300};
    common::milliseconds claim_retention{900000}; ///< how long a key stands for one run
    injected_fault fault = injected_fault::none;
};

/// Counts of what the engine has done since it was made.
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

/// What one team has on this node now.
struct team_load {
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    std::int64_t allowed = 0;
    double weighted_share = 0.0;

    friend bool operator==(const team_load&, const team_load&) = default;
};

/// The decisions about requests on one node. Takes events and the time, returns actions; does no
/// I/O. Not thread safe. Precondition: `random` and `invariants` outlive the engine, and time
/// never goes back.
template <teams::limit_guard_type Guard>
class engine {
public:
    engine(engine_options wanted, Guard limit_guard, common::random_source& random,
           common::invariant_monitor& invariants);

    /// Decides what an event leads to.
    actions on_event(const event& what, common::steady_time now);

    /// Returns a request of this node, or null when it is unknown or forgotten.
    [[nodiscard]] const record* find(const std::string& id) const;

    /// Tells whether the engine starts tasks: every listed upstream has reported, or was silent for
    /// so long that what it ran for this node's predecessor is over.
    [[nodiscard]] bool has_recovered() const;

    /// Returns how many requests have not ended.
    [[nodiscard]] std::size_t open_requests() const;

    /// Returns each team's load.
    [[nodiscard]] std::map<std::string, team_load> loads() const;

    /// Returns what each team has running under this node's part of its limit.
    [[nodiscard]] std::map<std::string, teams::resources> running() const;

    /// Returns the counts since the start.
    [[nodiscard]] const engine_counters& counters() const;

    /// Returns what this node knows of the upstreams.
    [[nodiscard]] const routing::upstream_view& upstreams() const;

    /// Returns the settings in force, or null before the first.
    [[nodiscard]] std::shared_ptr<const settings::snapshot> in_force() const;

private:
    static constexpr common::milliseconds upkeep_time{1000};

    enum class timer_kind { queue_deadline, query, claim, claim_again, forget, release_orphan };

    struct timer {
        timer_kind kind;
        std::string id;
    };

    /// A task that may still run although its request has gone on without it.
    struct orphan {
        std::string team;
        std::string worker;
        teams::resources need;
    };

    /// A task that this node holds without a request of its own.
    struct inherited_task {
        routing::reported_task what;
        common::steady_time keep_until; ///< counted until then, whatever reports say
    };

    // Admission and the ends of requests.
    void handle(const request_submitted& wanted);
    void handle(const cancel_requested& wanted);
    void handle(const worker_replied& reply);
    void handle(const claim_replied& reply);
    void handle(const settings_accepted& accepted);
    void handle(const vm_list_received& received);
    void handle(const usage_received& received);
    void handle(const peer_status_received& heard);
    void handle(const tick& passed);
    void handle(const shutdown_requested& wanted);
    bool check_queue(record& each);
    bool check_key(record& each);
    bool check_size(record& each);
    bool check_wait(record& each);
    bool join_earlier(record& each);
    void refuse(record& each, refusal why, std::string cause);
    void end(record& each, response whole);
    void forget_oldest();
    void note_forgotten(const record& each);
    void refuse_withdrawn();
    [[nodiscard]] std::vector<std::string> queued_requests() const;
    void drop_from_lines(const record& each);
    void end_while_waiting(record& each, refusal why, const std::string& cause);
    [[nodiscard]] common::milliseconds expected_wait(const record& each) const;

    // Recovery: what a node of this name left running before this engine was made.
    void count_inherited(const std::string& vm, const routing::reported_task& task);
    void renew_inherited(const usage_received& received);
    void adopt_orphaned(const usage_received& received);
    [[nodiscard]] bool is_due(const routing::reported_task& task) const;
    [[nodiscard]] bool is_chosen_for(const std::string& task) const;
    void take_inherited(const std::string& vm, const std::vector<routing::reported_task>& tasks);
    void drop_silent_inherited();
    void forget_departed();
    void note_departed(const std::vector<routing::departed_upstream>& gone);
    [[nodiscard]] bool is_recovering() const;

    // Claims: what other nodes may have started under an idempotency key.
    void claim(record& each);
    void claim_again(record& each);
    void after_claims(record& each);
    void adopt(record& each, const attempt_id& run);
    void enqueue(record& each);
    [[nodiscard]] std::vector<std::string> claim_pools(const record& each) const;

    // Placement.
    void dispatch_all();
    void dispatch(const std::string& pool);
    bool dispatch_class(const std::string& pool, bool urgent);
    bool place(record& each);
    std::optional<routing::candidate> pick(record& each);
    std::optional<routing::candidate> pick_in(record& each, const std::string& pool);
    void start(record& each, const routing::candidate& upstream);
    void check_start(const record& each, const std::string& vm, std::int64_t own_there);

    // Replies.
    record* match(const worker_replied& reply);
    void after_running(record& each, const worker_replied& reply);
    void after_finished(record& each, const worker_replied& reply);
    void after_not_started(record& each, const worker_replied& reply);
    void after_claimed(record& each);
    void after_lost(record& each);
    void after_vanished(record& each, const std::string& cause);
    void query_again(record& each);
    void retry_or_end(record& each, response otherwise);
    void requeue(record& each, bool at_front);
    void release(record& each);
    void abandon(record& each);
    void report_outcome(const std::string& vm, routing::outcome result);

    void set_timer(common::steady_time at, timer_kind kind, const std::string& id);
    void fire(const timer& due);
    const settings::queue& queue_of(const record& each) const;
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
    std::map<std::string, waiting_line> lines; ///< by pool
    std::map<std::string, int> urgent_streaks; ///< by pool: urgent starts since a normal one
    std::map<std::string, routing::run_time_estimator> estimators;
    std::map<std::string, orphan> orphans;
    std::map<std::string, std::pair<std::string, common::steady_time>> departed; ///< VM: pool, time
    std::map<std::string, std::map<std::string, inherited_task>> inherited;      ///< by VM, task
    std::set<std::string> live_nodes;
    std::set<std::string> unheard_vms; ///< listed, but without a report since this engine was made
    std::unordered_map<std::string, common::steady_time>
        heard_vms; ///< with the time of the last report
    std::optional<common::steady_time> made_at;
    common::steady_time next_upkeep;
    common::steady_time
        memory_gap_until; ///< until then a forgotten key may have run within the memory
    std::multimap<common::steady_time, timer> timers;
    std::deque<std::string> ended_order;
    std::size_t open_count = 0;
    std::uint64_t orphan_count = 0;
    bool stopping = false;
    common::steady_time now;
    actions pending;
};

extern template class engine<teams::static_partition>;

/// The engine that the daemon and the soak run.
using node_engine = engine<teams::static_partition>;

} // namespace chervilslip::requests
