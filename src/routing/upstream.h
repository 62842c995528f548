#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "teams/fair_share.h"

/// Routing: selects the upstream for a task, and ejects unhealthy upstreams.
namespace chervilslip::routing {

/// An upstream as described by the VM list.
struct upstream_info {
    std::string vm;
    std::string address; ///< "IP:port"
    std::string zone;
    std::string rack;
    teams::resources size;
    bool leaving = false;

    friend bool operator==(const upstream_info&, const upstream_info&) = default;
};

/// A task that an upstream reports as running.
struct reported_task {
    std::string task;
    std::string team;
    teams::resources need;
    std::string node;                   ///< that holds the lease
    common::milliseconds lease_left{0}; ///< the upstream stops the task when the lease expires

    friend bool operator==(const reported_task&, const reported_task&) = default;
};

/// The latest usage report of an upstream. It lags behind what runs there.
struct usage_report {
    std::string epoch;             ///< changes with each restart of the upstream
    teams::resources remote_usage; ///< used by tasks of other entry nodes
    bool draining = false;
    /// Leased by this node or by an earlier incarnation of it.
    std::vector<reported_task> local_tasks;
    /// Leased by other nodes.
    std::vector<reported_task> remote_tasks;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// How a task ended, as input for the upstream's health.
enum class outcome { succeeded, failed, unreachable };

} // namespace chervilslip::routing
