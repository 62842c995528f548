#pragma once

#include <optional>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// What one task needs of a worker.
struct placement_request {
    std::string pool;
    teams::resources size;
    std::string required_label;
    std::string preferred_rack;
    std::string required_rack;   ///< set for later members of a gang that shares a rack
    std::int64_t max_per_vm = 0; ///< 0: no bound
    bool spread_racks = false;   ///< keep tasks of one step on different racks
    bool retried = false;        ///< a run of it has failed: only proven workers
    const std::map<std::string, std::string>* tickets = nullptr; ///< allowed workers; null: all

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

/// How many tasks of the same step a worker and its rack have already.
struct step_neighbours {
    std::int64_t on_vm = 0;
    std::int64_t on_rack = 0;

    friend bool operator==(const step_neighbours&, const step_neighbours&) = default;
};

/// Tells whether a worker may take new work at all: listed, answering, not leaving, not held back.
/// Thread safe.
bool is_usable(const worker_state& worker, common::steady_time now);

/// Returns how well a worker suits; the least is best; nothing when it may not run the task.
/// Precondition: `is_usable`. Thread safe.
std::optional<double> placement_cost(const worker_state& worker, const placement_request& request,
                                     const step_neighbours& neighbours,
                                     const teams::resources& reserved, common::steady_time now);

} // namespace chervilslip::scheduling
