#pragma once

#include <concepts>
#include <map>
#include <string>

#include "settings/documents.h"

namespace chervilslip::teams {

/// Limits the running tasks of each team: a task acquires a permit before its start and releases it
/// after its end.
template <typename Guard>
concept limit_guard_type = requires(Guard& guard, const Guard& const_guard, const std::string& team,
                                    const settings::snapshot& in_force)
{
    guard.update(in_force);
    {
        const_guard.has_room(team)
        } -> std::same_as<bool>;
    guard.acquire(team);
    guard.release(team);
    {
        const_guard.running(team)
        } -> std::same_as<std::int64_t>;
    {
        const_guard.allowed(team)
        } -> std::same_as<std::int64_t>;
};

/// One node's index among the entry nodes between which each limit is divided equally.
struct node_position {
    std::int64_t index = 0;
    std::int64_t count = 1;

    friend bool operator==(const node_position&, const node_position&) = default;
};

/// Divides each team's upper limit equally among the configured entry nodes. The quotas add up to
/// the limit, so the fleet never exceeds it; an unused quota is not available to other nodes. Not
/// thread safe.
class static_partition {
public:
    /// Precondition: 0 <= position.index < position.count.
    explicit static_partition(node_position node_place) : position(node_place)
    {
    }

    /// Applies the limits of newly accepted settings. Running tasks keep their permits, even above
    /// a lowered limit.
    void update(const settings::snapshot& in_force)
    {
        this->quotas.clear();
        for (const auto& [team, team_settings] : in_force.teams) {
            const std::int64_t remainder = team_settings.limit % this->position.count;
            this->quotas[team] = team_settings.limit / this->position.count +
                                 (this->position.index < remainder ? 1 : 0);
        }
    }

    /// Tells whether one more task of the team may start.
    [[nodiscard]] bool has_room(const std::string& team) const
    {
        return this->running(team) < this->allowed(team);
    }

    /// Acquires a permit for one task. Precondition: `has_room(team)`.
    void acquire(const std::string& team)
    {
        ++this->running_counts[team];
    }

    /// Releases a permit. Precondition: an earlier `acquire` was not yet released.
    void release(const std::string& team)
    {
        --this->running_counts[team];
    }

    /// Returns the number of the team's running tasks that hold one of this node's permits.
    [[nodiscard]] std::int64_t running(const std::string& team) const
    {
        const auto found = this->running_counts.find(team);
        return found == this->running_counts.end() ? 0 : found->second;
    }

    /// Returns this node's quota of the team's limit; 0 for an unknown team.
    [[nodiscard]] std::int64_t allowed(const std::string& team) const
    {
        const auto found = this->quotas.find(team);
        return found == this->quotas.end() ? 0 : found->second;
    }

private:
    node_position position;
    std::map<std::string, std::int64_t> quotas;
    std::map<std::string, std::int64_t> running_counts;
};

static_assert(limit_guard_type<static_partition>);

} // namespace chervilslip::teams
