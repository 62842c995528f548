#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"

namespace chervilslip::fleet {

/// What a pool's queues ask for, in thousandths of a processor.
struct pool_demand {
    std::int64_t long_running = 0;     ///< tasks that run until they are cancelled
    std::int64_t running = 0;          ///< other tasks that run
    std::int64_t waiting = 0;          ///< other tasks whose turn has come
    bool long_running_waiting = false; ///< some lasting task has not found a VM

    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// What is known of a VM when pools are planned.
struct pool_vm {
    std::string pool;
    std::int64_t processors = 0; ///< thousandths
    bool up = false;
    bool reserved = false; ///< kept for something else: upkeep, or it leaves
    bool idle = false;     ///< nothing can run on it
    common::steady_time idle_since;

    friend bool operator==(const pool_vm&, const pool_vm&) = default;
};

/// A VM that should change its pool.
struct vm_move {
    std::string vm;
    std::string to;

    friend bool operator==(const vm_move&, const vm_move&) = default;
};

/// Weights and times of a planner.
struct pool_options {
    /// Share of a pool's processors that demand may take: tasks do not fill VMs exactly.
    double fill = 0.85;
    /// Waiting work counts by this part: some of it can wait until running work ends.
    double waiting_weight = 0.8;
    /// A lasting task that waits for this long needs another VM, however much room there is: its
    /// step may not share one.
    common::milliseconds stuck_after{400};
    /// Demand that grew is taken to go on growing as fast for this time: a VM that is ordered now
    /// works after a move.
    common::milliseconds foresight{1200};
    common::milliseconds trend{600};       ///< over which growth is measured
    common::milliseconds memory{900};      ///< demand counts by its highest value within this time
    common::milliseconds lend_after{150};  ///< an idle VM helps another pool after this time
    common::milliseconds park_after{1200}; ///< a move costs about as much as a VM for this time
    common::milliseconds move_time{4000};  ///< a VM that has not arrived after this is not counted

    friend bool operator==(const pool_options&, const pool_options&) = default;
};

/// Moves VMs to the pools whose queues ask for them, and parks those that nobody needs. Not thread
/// safe.
class pool_planner {
public:
    explicit pool_planner(pool_options wanted);

    /// Returns the moves to make now. `standby` is the pool whose VMs are off; empty: none.
    std::vector<vm_move> plan(const std::map<std::string, pool_demand>& demand,
                              const std::map<std::string, pool_vm>& vms, const std::string& standby,
                              common::steady_time now);

    /// Tells that a move was not made after all.
    void cancel_move(const std::string& vm);

    /// Tells whether a VM is on its way to another pool.
    [[nodiscard]] bool is_moving(const std::string& vm) const;

private:
    struct under_way {
        std::string to;
        common::steady_time since;
    };
    struct remembered {
        common::steady_time at;
        std::int64_t need = 0;
    };
    struct pool_state {
        std::int64_t need = 0;
        std::int64_t supply = 0;
    };

    [[nodiscard]] bool is_stuck(const std::string& pool, const pool_demand& demand,
                                common::steady_time now);
    std::int64_t remember(const std::string& pool, const pool_demand& demand,
                          common::steady_time now);

    pool_options options;
    std::map<std::string, under_way> moves;
    std::map<std::string, std::deque<remembered>> history;
    std::map<std::string, common::steady_time> stuck_since; ///< by pool
};

} // namespace chervilslip::fleet
