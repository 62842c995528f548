#pragma once

#include <vector>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// What holds while one round of tasks is placed: which workers take work, and which sizes have
/// found no room. Room only shrinks within a round. Not thread safe. Precondition: the workers
/// outlive the round, and none is added or removed.
class dispatch_round {
public:
    dispatch_round(worker_map& workers, common::steady_time now);

    /// Returns the workers of a pool that may take new work.
    [[nodiscard]] const std::vector<worker_state*>& usable_in(const std::string& pool) const;

    /// Notes that a task without further wishes has found no room.
    void mark_fits_nowhere(const std::string& pool, const teams::resources& size);

    /// Tells whether a task of this size is known to find no room.
    [[nodiscard]] bool fits_nowhere(const std::string& pool, const teams::resources& size) const;

private:
    struct pool_entry {
        std::vector<worker_state*> usable;
        std::vector<teams::resources> unplaceable_sizes; ///< no one holds another
    };

    std::map<std::string, pool_entry> pools;
};

} // namespace chervilslip::scheduling
