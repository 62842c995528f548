#pragma once

#include <concepts>
#include <map>
#include <string>

#include "settings/documents.h"

namespace chervilslip::teams {

/// Grants the right to run one task of a team, and takes it back when the task has ended.
template <typename Guard>
concept limit_guard_type = requires(Guard& guard, const Guard& constant, const std::string& team,
                                    const settings::snapshot& in_force)
{
    guard.update(in_force);
    {
        constant.has_room(team)
        } -> std::same_as<bool>;
    guard.acquire(team);
    guard.release(team);
    {
        constant.running(team)
        } -> std::same_as<std::int64_t>;
    {
        constant.allowed(team)
        } -> std::same_as<std::int64_t>;
};

/// One node's place among the entry nodes that divide each limit equally.
struct node_position {
    std::int64_t index = 0;
    std::int64_t count = 1;

    friend bool operator==(const node_position&, const node_position&) = default;
};

/// Divides each team's upper limit equally among the declared entry nodes. The parts add up to the
/// limit, so the fleet never exceeds it; a part that is not used helps nobody else.
/// Not thread safe.
class static_partition {
public:
    /// Precondition: 0 <= position.index < position.count.
    explicit static_partition(node_position place) : position(place)
    {
    }

    /// Takes over the limits of newly accepted settings. Running tasks keep their right.
    void update(const settings::snapshot& in_force)
    {
        this->parts.clear();
        for (const auto& [team, rules] : in_force.teams) {
            const std::int64_t remainder = rules.limit % this->position.count;
            this->parts[team] =
                rules.limit / this->position.count + (this->position.index < remainder ? 1 : 0);
        }
    }

    /// Tells whether one more task of the team may start.
    [[nodiscard]] bool has_room(const std::string& team) const
    {
        return this->running(team) < this->allowed(team);
    }

    /// Counts a start. Precondition: `has_room(team)`.
    void acquire(const std::string& team)
    {
        ++this->counts[team];
    }

    /// Counts an end. Precondition: an `acquire` before it was not yet released.
    void release(const std::string& team)
    {
        --this->counts[team];
    }

    /// Returns how many tasks of the team run under this node's part.
    [[nodiscard]] std::int64_t running(const std::string& team) const
    {
        const auto found = this->counts.find(team);
        return found == this->counts.end() ? 0 : found->second;
    }

    /// Returns this node's part of the team's limit; 0 for an unknown team.
    [[nodiscard]] std::int64_t allowed(const std::string& team) const
    {
        const auto found = this->parts.find(team);
        return found == this->parts.end() ? 0 : found->second;
    }

private:
    node_position position;
    std::map<std::string, std::int64_t> parts;
    std::map<std::string, std::int64_t> counts;
};

static_assert(limit_guard_type<static_partition>);

} // namespace chervilslip::teams
