#pragma once

#include <optional>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// Requirements of one task on a worker.
struct placement_request {
    std::string pool;
    teams::resources size;
    std::string required_label;
    std::string preferred_rack;
    std::string required_rack;   ///< set while a gang is placed on one rack
    std::int64_t max_per_vm = 0; ///< 0: unlimited
    bool spread_racks = false;   ///< prefers different racks for the tasks of a step
    bool retried = false;        ///< a run has failed: avoids workers without a recent success
    bool suspect = false;        ///< its worker has crashed: prefers workers with little work
    bool little_slack = false;   ///< would be late on a slow worker: avoids cold ones
    /// Set if the task runs only on the worker that is held for it.
    std::optional<jobs::task_id> isolated_task;
    const std::map<std::string, std::string>* tickets = nullptr; ///< allowed workers; null: all
    speed_needs speed;

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

/// Number of open runs of the same step on a worker and on its rack.
struct step_neighbours {
    std::int64_t on_vm = 0;
    std::int64_t on_rack = 0;

    friend bool operator==(const step_neighbours&, const step_neighbours&) = default;
};

/// Returns whether a worker may get new tasks: registered, responding, neither draining nor
/// cordoned nor in a zone under evacuation, and not blocked after a rejected start. Thread safe.
bool is_usable(const worker_state& worker, common::steady_time now);

/// Returns whether a worker has a label that a step requires; an empty one requires nothing. Thread
/// safe.
bool has_label(const worker_entry& worker, const std::string& label);

/// Returns the cost of placing a task on a worker (lowest is best), or nothing if the worker can
/// not run the task. Precondition: `is_usable`. Thread safe.
std::optional<double> placement_cost(const worker_state& worker, const placement_request& request,
                                     const step_neighbours& neighbours,
                                     const teams::resources& reserved, common::steady_time now);

} // namespace chervilslip::scheduling
