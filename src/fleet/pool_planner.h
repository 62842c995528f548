#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"

namespace chervilslip::fleet {

/// Demand of a pool's queues, in thousandths of a processor.
struct pool_demand {
    std::int64_t long_running = 0;     ///< tasks that run until they are cancelled
    std::int64_t running = 0;          ///< other tasks that are running
    std::int64_t waiting = 0;          ///< other tasks that are due to start
    bool long_running_waiting = false; ///< a long-running task lacks a VM with room for it

    friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// State of a VM as the planner sees it.
struct pool_vm {
    std::string pool;
    std::int64_t processors = 0; ///< thousandths
    bool up = false;
    bool reserved = false; ///< unavailable to pools: under maintenance or leaving
    bool idle = false;     ///< no run can exist on it
    common::steady_time idle_since;

    friend bool operator==(const pool_vm&, const pool_vm&) = default;
};

/// A VM to be moved to another pool.
struct vm_move {
    std::string vm;
    std::string to;

    friend bool operator==(const vm_move&, const vm_move&) = default;
};

/// Weights and timing of the planner.
struct pool_options {
    /// Share of a pool's processors that demand may use: tasks do not fill VMs exactly.
    double target_utilization = 0.85;
    /// Weight of waiting work in the demand: some of it can wait until running work ends.
    double waiting_weight = 0.8;
    /// A long-running task that has waited for this long needs another VM even if the pool has
    /// capacity left: tasks of its step may not share a VM.
    common::milliseconds unplaced_timeout{400};
    /// Growing demand is extrapolated over this time, because a VM that is ordered now is usable
    /// only after its move.
    common::milliseconds forecast_horizon{1200};
    common::milliseconds trend_window{600};    ///< growth is measured over this time
    common::milliseconds peak_window{900};     ///< the peak demand within this time counts
    common::milliseconds lend_idle_after{150}; ///< an idle VM may be lent after this time
    /// An idle VM is parked after this time; a move costs about as much as a VM does in this time.
    common::milliseconds park_idle_after{1200};
    common::milliseconds move_timeout{4000}; ///< a VM that has not arrived by then is not counted

    friend bool operator==(const pool_options&, const pool_options&) = default;
};

/// Autoscaler of the pools: moves VMs to the pools with demand and parks those that no pool needs.
/// Not thread safe.
class pool_planner {
public:
    explicit pool_planner(pool_options tuning);

    /// Returns the moves to make now. `standby` is the pool whose VMs are off, or empty.
    std::vector<vm_move> plan(const std::map<std::string, pool_demand>& demand,
                              const std::map<std::string, pool_vm>& vms, const std::string& standby,
                              common::steady_time now);

    /// Discards a planned move that was not carried out.
    void cancel_move(const std::string& vm);

    /// Tells whether a VM is being moved to another pool.
    [[nodiscard]] bool is_moving(const std::string& vm) const;

private:
    struct pending_move {
        std::string to;
        common::steady_time since;
    };
    struct demand_sample {
        common::steady_time at;
        std::int64_t need = 0;
    };
    struct pool_state {
        std::int64_t need = 0;
        std::int64_t long_running = 0; ///< part of `need`
        std::int64_t supply = 0;
    };

    [[nodiscard]] bool needs_extra_vm(const std::string& pool, const pool_demand& demand,
                                      common::steady_time now);
    std::int64_t forecast_need(const std::string& pool, const pool_demand& demand,
                               common::steady_time now);

    pool_options options;
    std::map<std::string, pending_move> moves;
    std::map<std::string, std::deque<demand_sample>> history;
    std::map<std::string, common::steady_time> unplaced_since; ///< by pool
};

} // namespace chervilslip::fleet
