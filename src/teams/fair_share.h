#pragma once

#include <map>
#include <string>

#include "settings/documents.h"

namespace chervilslip::teams {

/// Amounts of everything that a VM offers or a task takes.
struct resources {
    std::int64_t processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;

    friend bool operator==(const resources&, const resources&) = default;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);

    /// Tells whether `part` fits into these amounts. Thread safe.
    [[nodiscard]] bool can_fit(const resources& part) const;
};

/// Returns what one task takes, one slot included. Thread safe.
resources resources_of(const settings::task_size& size);

/// Weighted dominant-resource fairness over what teams have running. Not thread safe.
class fair_share {
public:
    /// Sets the fleet's total amounts.
    void set_capacity(const resources& total);

    /// Sets a team's weight. Precondition: `weight` > 0.
    void set_weight(const std::string& team, double weight);

    /// Counts a task that this node started.
    void add_running(const std::string& team, const resources& task);

    /// Counts a task of this node that ended. Precondition: it was added.
    void remove_running(const std::string& team, const resources& task);

    /// Sets what other nodes have running, as last heard.
    void set_remote_running(std::map<std::string, resources> by_team);

    /// Returns the team's largest fraction of any resource, divided by its weight.
    [[nodiscard]] double weighted_dominant_share(const std::string& team) const;

    /// Returns what each team has running on this node.
    [[nodiscard]] const std::map<std::string, resources>& local_running() const;

private:
    resources capacity;
    std::map<std::string, double> weights;
    std::map<std::string, resources> here;
    std::map<std::string, resources> elsewhere;
};

} // namespace chervilslip::teams
