#pragma once

#include <map>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// One run on a worker, as far as pace depends on it.
struct paced_run {
    jobs::task_id task;
    std::int64_t run = 0;
    bool best_effort = false;
    common::milliseconds target{0}; ///< bound on a serving task's tail; 0: it serves nobody
    std::int64_t tail_ms = 0;       ///< as reported
    std::int64_t percent = 100;     ///< pace as reported

    friend bool operator==(const paced_run&, const paced_run&) = default;
};

/// A new pace for one run.
struct pace_change {
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t percent = 0;

    friend bool operator==(const pace_change&, const pace_change&) = default;
};

/// Slows tasks that fill a worker while those that serve beside them are over their target, and
/// lets them work again when it is calm. Not thread safe.
class pace_keeper {
public:
    /// Returns the changes for one worker after a look at it.
    std::vector<pace_change> plan(const std::string& worker, const std::vector<paced_run>& runs,
                                  common::steady_time now);

    /// Forgets a worker that is gone.
    void forget(const std::string& worker);

private:
    std::map<std::string, common::steady_time> disturbed_at; ///< by worker: last seen over target
};

} // namespace chervilslip::scheduling
