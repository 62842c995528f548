#pragma once

#include <functional>
#include <vector>

#include "scheduling/messages.h"

namespace chervilslip::daemon {

/// Interface to the registry in which workers register themselves. Not thread safe.
class worker_registry_port {
public:
    worker_registry_port() = default;
    worker_registry_port(const worker_registry_port&) = delete;
    worker_registry_port& operator=(const worker_registry_port&) = delete;
    virtual ~worker_registry_port() = default;

    /// Calls `changed` with all entries once they have been read and after each change, until
    /// `unsubscribe`.
    virtual void
    subscribe(std::function<void(const std::vector<scheduling::worker_entry>&)> changed) = 0;

    virtual void unsubscribe() = 0;
};

} // namespace chervilslip::daemon
