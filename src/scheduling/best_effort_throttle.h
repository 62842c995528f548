#pragma once

#include <map>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// Measurements of one run on a worker.
struct throttle_input {
    jobs::task_id task;
    std::int64_t run = 0;
    bool best_effort = false;
    common::milliseconds tail_latency_target{0}; ///< of a serving task; 0: none
    std::int64_t tail_latency_ms = 0;            ///< reported tail latency
    std::int64_t percent = 100;                  ///< reported speed

    friend bool operator==(const throttle_input&, const throttle_input&) = default;
};

/// A new speed for one run.
struct throttle_change {
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t percent = 0;

    friend bool operator==(const throttle_change&, const throttle_change&) = default;
};

/// Throttles best-effort tasks while a serving task on the same worker exceeds its latency target,
/// and speeds them up again once latencies have stayed low for a while. Not thread safe.
class best_effort_throttle {
public:
    /// Returns the speed changes for one worker after a poll.
    std::vector<throttle_change> plan(const std::string& worker,
                                      const std::vector<throttle_input>& runs,
                                      common::steady_time now);

    /// Removes the state of a worker that no longer exists.
    void remove_worker(const std::string& worker);

private:
    std::map<std::string, common::steady_time> last_over_target; ///< by worker id
};

} // namespace chervilslip::scheduling
