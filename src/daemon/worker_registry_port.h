#pragma once

#include <functional>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::daemon {

/// Where workers register themselves. Not thread safe.
class worker_registry_port {
public:
    worker_registry_port() = default;
    worker_registry_port(const worker_registry_port&) = delete;
    worker_registry_port& operator=(const worker_registry_port&) = delete;
    virtual ~worker_registry_port() = default;

    /// Hands all entries to `changed`, once read and after each change, until `unfollow`.
    virtual void
    subscribe(std::function<void(const std::vector<scheduling::worker_entry>&)> changed) = 0;

    virtual void unsubscribe() = 0;
};

} // namespace chervilslip::daemon
