#pragma once

#include <map>
#include <string>

#include "settings/documents.h"

namespace chervilslip::teams {

/// Amounts of the resources that a VM offers or a task uses.
struct resources {
    std::int64_t processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);

    /// Tells whether `part` fits within these amounts. Thread safe.
    [[nodiscard]] bool can_fit(const resources& part) const;
};

/// Returns the resources that one task uses, including one slot. Thread safe.
resources resources_of(const settings::task_size& size);

/// Weighted dominant resource fairness (DRF) over the running tasks of teams. Not thread safe.
class fair_share {
public:
    /// Sets the fleet's total resources.
    void set_capacity(const resources& total);

    /// Sets a team's weight. Precondition: `weight` > 0.
    void set_weight(const std::string& team, double weight);

    /// Adds a task that this node started.
    void add_running(const std::string& team, const resources& task);

    /// Removes a task of this node that ended. Precondition: it was added.
    void remove_running(const std::string& team, const resources& task);

    /// Sets the resources in use by tasks of other nodes, as last reported by them.
    void set_remote_running(std::map<std::string, resources> by_team);

    /// Returns the team's largest share of any one resource, divided by its weight.
    [[nodiscard]] double weighted_dominant_share(const std::string& team) const;

    /// Returns the same as if the team also ran tasks that use `more`.
    [[nodiscard]] double weighted_dominant_share_with(const std::string& team,
                                                      const resources& more) const;

    /// Returns the resources in use by each team's tasks of this node.
    [[nodiscard]] const std::map<std::string, resources>& local_running() const;

private:
    resources capacity;
    std::map<std::string, double> weights;
    std::map<std::string, resources> local;
    std::map<std::string, resources> remote;
};

} // namespace chervilslip::teams
