#pragma once

#include <optional>
#include <vector>

#include "scheduling/advice_backlog.h"
#include "teams/fair_share.h"

namespace chervilslip::scheduling {

/// The end of a run that does not end by itself.
inline constexpr common::steady_time never_ends = common::steady_time::max();

/// Returns when a run is expected to end, which is always after `now`: a run that has exceeded its
/// expected time is expected to go on for as long again as it has exceeded it. Thread safe.
common::steady_time forecast_end(common::steady_time begun, common::milliseconds expected,
                                 common::steady_time now);

/// A run on a worker.
struct run_forecast {
    common::steady_time ends; ///< or `never_ends`
    teams::resources size;

    friend bool operator==(const run_forecast&, const run_forecast&) = default;
};

/// A worker that may run a step, and its runs.
struct worker_forecast {
    std::string worker;
    std::string rack;
    teams::resources capacity;
    std::vector<run_forecast> runs;
    std::int64_t max_tasks = 0; ///< further tasks of the step that it may run; 0: unlimited

    friend bool operator==(const worker_forecast&, const worker_forecast&) = default;
};

/// A step with tasks that may start, but for which no worker has room.
struct blocked_step {
    step_id step;
    std::string pool;
    teams::resources size;  ///< of one task
    std::int64_t tasks = 1; ///< that wait
    bool gang = false;      ///< they start together
    bool same_rack = false; ///< a gang that is faster on one rack
    bool large = false;     ///< reserves at once, because smaller tasks would hold it up for long
    common::milliseconds run_time{0}; ///< expected

    friend bool operator==(const blocked_step&, const blocked_step&) = default;
};

/// Usable capacity of a pool.
struct pool_capacity {
    teams::resources largest; ///< per resource, of any worker
    teams::resources total;

    friend bool operator==(const pool_capacity&, const pool_capacity&) = default;
};

/// Returns whether a task fits few workers because of what runs there, although it fits an empty
/// one: it is larger than half of the largest capacity in any resource. Thread safe.
bool is_large(const teams::resources& size, const pool_capacity& pool);

/// Places for all tasks that are to start together.
struct placement_plan {
    common::steady_time due;                     ///< when all of them have room
    std::vector<const worker_forecast*> workers; ///< one for each task

    friend bool operator==(const placement_plan&, const placement_plan&) = default;
};

/// Returns a worker's room at `due` beside the runs that last longer. Thread safe.
teams::resources room_at(const worker_forecast& worker, common::steady_time due);

/// Returns the places that are expected to have room first for a task, or for all tasks of a gang;
/// nothing if the workers never have it. Precondition: all runs end after `now`. Thread safe.
std::optional<placement_plan> best_plan(const blocked_step& what,
                                        const std::vector<const worker_forecast*>& workers,
                                        common::steady_time now);

} // namespace chervilslip::scheduling
