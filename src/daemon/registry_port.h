#pragma once

#include <functional>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::daemon {

/// Where workers register themselves. Not thread safe.
class registry_port {
public:
    registry_port() = default;
    registry_port(const registry_port&) = delete;
    registry_port& operator=(const registry_port&) = delete;
    virtual ~registry_port() = default;

    /// Hands all entries to `changed`, once read and after each change, until `unfollow`.
    virtual void
    follow(std::function<void(const std::vector<scheduling::worker_entry>&)> changed) = 0;

    virtual void unfollow() = 0;
};

} // namespace chervilslip::daemon
