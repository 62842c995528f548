#pragma once

#include <map>
#include <set>
#include <string>

#include "net/http_server.h"
#include "scheduling/messages.h"

namespace chervilslip::daemon {

/// How callers reach a queue.
struct queue_route {
    std::string queue;
    std::string host;
    std::string prefix;           ///< of the path; a job's id follows it
    bool allow_anonymous = false; ///< takes work without a key

    friend bool operator==(const queue_route&, const queue_route&) = default;
};

/// The operators' configuration of one version.
struct fleet_configuration {
    std::int64_t version = 0;
    std::vector<queue_route> routes;
    scheduling::policy policy;
    std::map<std::string, std::string> team_of_key;
    std::set<std::string> standby_pools; ///< their VMs are off and cost nothing
    net::http_limits limits;

    friend bool operator==(const fleet_configuration&, const fleet_configuration&) = default;

    /// Returns the route for a request, by the longest prefix; null when there is none.
    /// Thread safe.
    [[nodiscard]] const queue_route* route_for(std::string_view host, std::string_view path) const;
};

} // namespace chervilslip::daemon
