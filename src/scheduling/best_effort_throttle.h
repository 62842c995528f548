#pragma once

#include <map>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// One run on a worker, as far as pace depends on it.
struct throttle_input {
    jobs::task_id task;
    std::int64_t run = 0;
    bool best_effort = false;
    common::milliseconds tail_latency_target{
        0};                           ///< bound on a serving task's tail; 0: it serves nobody
    std::int64_t tail_latency_ms = 0; ///< as reported
    std::int64_t percent = 100;       ///< pace as reported

    friend bool operator==(const throttle_input&, const throttle_input&) = default;
};

/// A new pace for one run.
struct throttle_change {
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t percent = 0;

    friend bool operator==(const throttle_change&, const throttle_change&) = default;
};

/// Slows tasks that fill a worker while those that serve beside them are over their target, and
/// lets them work again when it is calm. Not thread safe.
class best_effort_throttle {
public:
    /// Returns the changes for one worker after a look at it.
    std::vector<throttle_change> plan(const std::string& worker,
                                      const std::vector<throttle_input>& runs,
                                      common::steady_time now);

    /// Forgets a worker that is gone.
    void forget(const std::string& worker);

private:
    std::map<std::string, common::steady_time>
        last_over_target; ///< by worker: last seen over target
};

} // namespace chervilslip::scheduling
