#pragma once

#include <map>
#include <set>
#include <string>

#include "net/http_server.h"
#include "scheduling/messages.h"

namespace chervilslip::daemon {

/// HTTP route by which clients address a queue.
struct queue_route {
    std::string queue;
    std::string host;
    std::string prefix;           ///< of the path; followed by the job's ID
    bool allow_anonymous = false; ///< accepts jobs without an API key

    friend bool operator==(const queue_route&, const queue_route&) = default;
};

/// One version of the operators' configuration.
struct fleet_configuration {
    std::int64_t version = 0;
    std::vector<queue_route> routes;
    scheduling::policy policy;
    std::map<std::string, std::string> team_of_key;
    std::set<std::string> standby_pools; ///< pools whose VMs are powered off and cost nothing
    net::http_limits limits;

    friend bool operator==(const fleet_configuration&, const fleet_configuration&) = default;

    /// Returns the route with the longest matching prefix; null when no route matches. Thread safe.
    [[nodiscard]] const queue_route* route_for(std::string_view host, std::string_view path) const;
};

} // namespace chervilslip::daemon
