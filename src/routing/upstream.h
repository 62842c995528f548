#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "teams/fair_share.h"

/// Routing: which upstream a task goes to, and which upstreams to stay away from.
namespace chervilslip::routing {

/// What the VM list says of an upstream.
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
    std::string node;                   ///< that holds it
    common::milliseconds lease_left{0}; ///< then the upstream stops it

    friend bool operator==(const reported_task&, const reported_task&) = default;
};

/// What an upstream last said of its use. It lags behind what runs there.
struct usage_report {
    std::string epoch;             ///< changes whenever the upstream starts anew
    teams::resources remote_usage; ///< held by tasks of other entry nodes
    bool draining = false;
    std::vector<reported_task> local_tasks;  ///< held by this node, or one of its name before
    std::vector<reported_task> remote_tasks; ///< held by other nodes

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// How a task ended, as far as the upstream's health is concerned.
enum class outcome { succeeded, failed, unreachable };

} // namespace chervilslip::routing
