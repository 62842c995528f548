#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "routing/outlier_detector.h"
#include "routing/upstream.h"
#include "settings/documents.h"

namespace chervilslip::routing {

/// An upstream with the load that this node knows of.
struct candidate {
    std::string vm;
    std::string address;
    std::string epoch;
    std::int64_t slots = 1;
    std::int64_t local_tasks = 0;  ///< tasks in flight of this node, exact
    std::int64_t remote_tasks = 0; ///< tasks of other nodes, as last reported

    friend bool operator==(const candidate&, const candidate&) = default;
};

/// An upstream that is no longer in the VM list.
struct removed_upstream {
    std::string vm;
    std::string pool;

    friend bool operator==(const removed_upstream&, const removed_upstream&) = default;
};

/// The requirements of a task on its upstream.
struct placement_query {
    std::string pool;
    teams::resources need;
    bool repeatable = false;
    bool urgent = false;
    std::set<std::string> avoid; ///< upstreams that this request has already tried

    friend bool operator==(const placement_query&, const placement_query&) = default;
};

/// Selects one of several candidates and returns its index.
template <typename Policy>
concept candidate_selector = requires(const Policy& policy,
                                      const std::vector<candidate>& candidates,
                                      common::random_source& random)
{
    {
        policy(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// Selects the less loaded of two random candidates. The load is the sum of this node's tasks,
/// whose number is exact, and of the other nodes' tasks as last reported.
struct corrected_two_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// Baseline: selects a random candidate.
struct random_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// Baseline: selects the candidate with the least reported load, ignoring this node's own tasks.
struct least_reported_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// The selection policy that a node's settings name.
enum class selection_policy { corrected_two_choice, random, least_reported };

/// Returns how many of a pool's `slots` are reserved for urgent tasks. Thread safe.
std::int64_t urgent_reserve(std::int64_t slots);

/// The state of all upstreams as known to this node, and the selection among them. Not thread safe.
class upstream_view {
public:
    /// Precondition: `random` outlives the view.
    upstream_view(std::string own_zone, selection_policy selection, outlier_limits limits,
                  common::random_source& random);

    /// Applies the pools of newly accepted settings.
    void update_settings(const settings::snapshot& in_force);

    /// Applies a VM list. Upstreams missing from it receive no new tasks; they are returned.
    std::vector<removed_upstream> update_vm_list(const std::vector<upstream_info>& vms);

    /// Applies an upstream's usage report.
    void update_usage(const std::string& vm, const usage_report& report);

    /// Records that an upstream is leaving; it receives no new tasks unless a later report says
    /// that it is not draining.
    void mark_leaving(const std::string& vm);

    /// Records that an upstream had no free slot; it is skipped until `until`.
    void mark_full(const std::string& vm, common::steady_time until);

    /// Records that an upstream restarted; it receives no tasks until its next report.
    void clear_epoch(const std::string& vm);

    /// Selects an upstream for a task; returns nothing when none has free capacity.
    std::optional<candidate> pick(const placement_query& query, common::steady_time now);

    /// Adds a task sent to an upstream to its load. Returns the slots in use there by this node.
    std::int64_t add_local_task(const std::string& vm, const teams::resources& need);

    /// Removes a task that no longer runs on an upstream from its load. Precondition: it was added.
    void remove_local_task(const std::string& vm, const teams::resources& need);

    /// Records how a task ended. Returns true when the upstream was ejected or restored.
    bool record(const std::string& vm, outcome result, common::steady_time now);

    [[nodiscard]] health health_of(const std::string& vm, common::steady_time now) const;

    /// Returns whether any VM of a pool is large enough for a task, regardless of its load.
    [[nodiscard]] bool fits_any_vm(const std::string& pool, const teams::resources& need) const;

    /// Returns the number of slots of a pool's serving upstreams.
    [[nodiscard]] std::int64_t serving_slots(const std::string& pool) const;

    /// Returns the sum of the sizes of all listed upstreams.
    [[nodiscard]] teams::resources total_capacity() const;

    /// Returns the known VMs of a pool.
    [[nodiscard]] std::vector<candidate> pool_members(const std::string& pool) const;

    /// Returns the address of an upstream; empty for an unknown one.
    [[nodiscard]] std::string address_of(const std::string& vm) const;

    /// Returns the pool of an upstream; empty for an unknown one.
    [[nodiscard]] std::string pool_of(const std::string& vm) const;

    /// Returns all known VMs, including those that left the list while tasks run there.
    [[nodiscard]] std::vector<upstream_info> known_upstreams() const;

    /// Returns the number of slots of an upstream; 0 for an unknown one.
    [[nodiscard]] std::int64_t declared_slots(const std::string& vm) const;

private:
    struct upstream_state {
        upstream_info info;
        std::string pool;
        std::string epoch;
        teams::resources local_usage;
        teams::resources remote_usage;
        bool leaving = false;
        std::int64_t last_list_number = 0; ///< number of the latest list that contains it
        bool probing = false;
        common::steady_time full_until;
    };

    [[nodiscard]] bool is_serving(const upstream_state& upstream) const;
    [[nodiscard]] bool has_capacity(const upstream_state& upstream,
                                    const placement_query& query) const;
    [[nodiscard]] std::int64_t free_slots(const std::string& pool) const;
    [[nodiscard]] std::vector<candidate> eligible(const placement_query& query, bool own_zone,
                                                  common::steady_time now) const;
    std::size_t choose(const std::vector<candidate>& candidates);
    void assign_pools();
    void assign_pool(const std::string& vm, upstream_state& upstream);

    std::string zone;
    selection_policy policy;
    outlier_detector outliers;
    common::random_source& random;
    std::int64_t vm_list_number = 0;
    std::map<std::string, upstream_state> upstreams;
    std::map<std::string, std::string> pool_by_vm;
    std::map<std::string, std::set<std::string>> vms_by_pool;
};

} // namespace chervilslip::routing
