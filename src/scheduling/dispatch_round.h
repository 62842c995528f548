#pragma once

#include <vector>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// All workers by pool.
using pool_index = std::map<std::string, std::vector<worker_state*>>;

/// Caches the usable workers, and the task sizes that fit on none of them, during one dispatch
/// round. Free capacity only shrinks within a round. Not thread safe. Precondition: the workers
/// outlive the round, and none is added or removed.
class dispatch_round {
public:
    /// Precondition: `workers` outlives the round.
    dispatch_round(const pool_index& workers, common::steady_time now);

    /// Returns the workers of a pool that may get new tasks.
    [[nodiscard]] const std::vector<worker_state*>& usable_in(const std::string& pool);

    /// Records that an unconstrained task of this size fits on no worker of the pool.
    void mark_fits_nowhere(const std::string& pool, const teams::resources& size);

    /// Returns whether a task of this size is known to fit on no worker of the pool.
    [[nodiscard]] bool fits_nowhere(const std::string& pool, const teams::resources& size) const;

    /// Returns whether a slow worker of a pool has room for a task of this size. Work with little
    /// slack does not use it, so a size that fits nowhere may fit there.
    [[nodiscard]] bool has_slow_room(const std::string& pool, const teams::resources& size) const;

    /// Records whether the latest choice of a worker failed because none has room.
    void set_lacked_room(bool lacked);
    [[nodiscard]] bool lacked_room() const;

    /// Returns the pools that have no room for some size.
    [[nodiscard]] std::set<std::string> full_pools() const;

private:
    struct pool_entry {
        std::optional<std::vector<worker_state*>> usable; ///< unset until asked for
        std::vector<const worker_state*> slow;            ///< of the usable ones
        /// Minimal: no size is at least as large as another.
        std::vector<teams::resources> unplaceable_sizes;
    };

    const pool_index& workers;
    common::steady_time begun_at;
    std::map<std::string, pool_entry> pools;
    bool choice_lacked_room = false;
};

} // namespace chervilslip::scheduling
