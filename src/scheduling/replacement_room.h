#pragma once

#include <map>
#include <string>
#include <vector>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// Room for long-running tasks that are to go on elsewhere, at one moment. Not thread safe.
class replacement_room {
public:
    /// Adds a usable worker with the capacity beside its own long-running tasks. Its other tasks
    /// make room when they end.
    void add(const worker_entry& worker, const teams::resources& room);

    /// Takes room for a task in a pool. `label`: required of the worker; empty: none. Returns false
    /// if no worker has room.
    bool take(const std::string& pool, const teams::resources& size, const std::string& label);

private:
    struct place {
        worker_entry worker; // a copy: the scheduler may forget the worker meanwhile
        teams::resources room;
    };

    std::map<std::string, std::vector<place>> places_by_pool;
};

} // namespace chervilslip::scheduling
