#pragma once

#include <deque>
#include <map>
#include <string>

#include "teams/fair_share.h"

namespace chervilslip::requests {

/// Requests of one pool that wait for capacity, in one FIFO queue per team and urgency.
/// Not thread safe.
class wait_queue {
public:
    /// Adds a request at the back, or at the front if it had already been dispatched.
    void push(const std::string& team, bool urgent, const std::string& id, bool at_front);

    /// Marks a request as removed and adjusts the counts. `front` skips its entry later, so that
    /// each of many cancellations in a row takes constant time.
    void remove(const std::string& team, const std::string& id);

    /// Returns the front request of a team's queue, or an empty string.
    std::string front(const std::string& team, bool urgent);

    /// Removes the front request of a team's queue. Precondition: `front` has returned it.
    void pop(const std::string& team, bool urgent);

    /// Returns the teams that have entries of that urgency, removed ones included.
    [[nodiscard]] std::vector<std::string> teams_waiting(bool urgent) const;

    /// Returns the number of waiting requests of a team.
    [[nodiscard]] std::int64_t size(const std::string& team) const;

    /// Returns the total number of waiting requests.
    [[nodiscard]] std::int64_t size() const;

private:
    struct team_queues {
        std::deque<std::string> urgent;
        std::deque<std::string> normal;
        std::int64_t count = 0;
    };

    std::map<std::string, team_queues> by_team;
    std::set<std::string> removed;
    std::int64_t total = 0;
};

} // namespace chervilslip::requests
