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

/// An upstream as this node sees it now.
struct candidate {
    std::string vm;
    std::string address;
    std::string epoch;
    std::int64_t slots = 1;
    std::int64_t own = 0;      ///< tasks of this node in flight there, exact
    std::int64_t reported = 0; ///< tasks of other nodes there, as last reported

    friend bool operator==(const candidate&, const candidate&) = default;
};

/// An upstream that the VM list no longer shows.
struct removed_upstream {
    std::string vm;
    std::string pool;

    friend bool operator==(const removed_upstream&, const removed_upstream&) = default;
};

/// What a task asks of routing.
struct placement_query {
    std::string pool;
    teams::resources need;
    bool repeatable = false;
    bool urgent = false;
    std::set<std::string> avoid; ///< upstreams that this request has been to

    friend bool operator==(const placement_query&, const placement_query&) = default;
};

/// Picks one of several candidates.
template <typename Policy>
concept choice_policy = requires(const Policy& policy, const std::vector<candidate>& candidates,
                                 common::random_source& random)
{
    {
        policy(candidates, random)
        } -> std::same_as<std::size_t>;
};

/// Takes the less loaded of two random candidates; the load is this node's own tasks, which it
/// knows exactly, and the reported tasks of the others.
struct corrected_two_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// Baseline: any candidate.
struct random_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// Baseline: the candidate with the least reported load, without correction.
struct least_reported_choice {
    std::size_t operator()(const std::vector<candidate>& candidates,
                           common::random_source& random) const;
};

/// The named policies, chosen by a node's settings.
enum class selection_policy { corrected_two_choice, random, least_reported };

/// How many slots stay free for urgent work in a pool of `slots`. Thread safe.
std::int64_t urgent_reserve(std::int64_t slots);

/// What this node knows of all upstreams. Not thread safe.
class upstream_view {
public:
    /// Precondition: `random` outlives the view.
    upstream_view(std::string own_zone, selection_policy kind, outlier_limits limits,
                  common::random_source& random);

    /// Takes over the pools of newly accepted settings.
    void update_settings(const settings::snapshot& in_force);

    /// Takes over a VM list. Upstreams that it no longer shows get nothing new; they are returned.
    std::vector<removed_upstream> update_vm_list(const std::vector<upstream_info>& vms);

    /// Takes over an upstream's report.
    void update_usage(const std::string& vm, const usage_report& report);

    /// Notes that an upstream said that it is leaving.
    void mark_leaving(const std::string& vm);

    /// Notes that an upstream had no free slot; it is passed over until `until`.
    void mark_full(const std::string& vm, common::steady_time until);

    /// Notes that an upstream started anew; it gets nothing until its next report.
    void clear_epoch(const std::string& vm);

    /// Picks an upstream for a task, or nothing when none has room.
    std::optional<candidate> pick(const placement_query& query, common::steady_time now);

    /// Counts a task sent to an upstream. Returns the tasks of this node in flight there.
    std::int64_t add_local_task(const std::string& vm, const teams::resources& need);

    /// Counts a task that is no longer there. Precondition: it was added.
    void remove_local_task(const std::string& vm, const teams::resources& need);

    /// Records how a task ended. Returns true when the upstream's health changed.
    bool record(const std::string& vm, outcome result, common::steady_time now);

    /// Returns the health of an upstream.
    [[nodiscard]] health health_of(const std::string& vm, common::steady_time now) const;

    /// Tells whether any VM of a pool is large enough for a task, free or not.
    [[nodiscard]] bool fits_any_vm(const std::string& pool, const teams::resources& need) const;

    /// Returns the slots of a pool's upstreams that take work.
    [[nodiscard]] std::int64_t serving_slots(const std::string& pool) const;

    /// Returns the sum of all upstreams' sizes.
    [[nodiscard]] teams::resources total_capacity() const;

    /// Returns the VMs of a pool that are known, with their addresses.
    [[nodiscard]] std::vector<candidate> pool_members(const std::string& pool) const;

    /// Returns the address of an upstream; empty for an unknown one.
    [[nodiscard]] std::string address_of(const std::string& vm) const;

    /// Returns the pool of an upstream; empty for an unknown one.
    [[nodiscard]] std::string pool_of(const std::string& vm) const;

    /// Returns all known VMs with their addresses.
    [[nodiscard]] std::vector<upstream_info> known_upstreams() const;

    /// Returns the slots that an upstream declares; 0 for an unknown one.
    [[nodiscard]] std::int64_t declared_slots(const std::string& vm) const;

private:
    struct entry {
        upstream_info info;
        std::string pool;
        std::string epoch;
        teams::resources own;
        teams::resources others;
        bool leaving = false;
        std::int64_t listed_in = 0; ///< the last list that showed it
        bool probing = false;
        common::steady_time full_until;
    };

    [[nodiscard]] bool takes_work(const entry& each) const;
    [[nodiscard]] bool has_room(const entry& each, const placement_query& query) const;
    [[nodiscard]] std::int64_t free_slots(const std::string& pool) const;
    [[nodiscard]] std::vector<candidate> eligible(const placement_query& query, bool own_zone,
                                                  common::steady_time now) const;
    std::size_t choose(const std::vector<candidate>& candidates);
    void assign_pools();
    void assign_pool(const std::string& vm, entry& each);

    std::string zone;
    selection_policy policy;
    outlier_detector outliers;
    common::random_source& random;
    std::int64_t list_number = 0;
    std::map<std::string, entry> entries;
    std::map<std::string, std::string> pool_of_vm;
    std::map<std::string, std::set<std::string>> vms_of_pool;
};

} // namespace chervilslip::routing
