#include "fleet/pool_planner.h"

#include <algorithm>

namespace chervilslip::fleet {

pool_planner::pool_planner(pool_options tuning) : options(tuning)
{
}

void pool_planner::cancel_move(const std::string& vm)
{
    this->moves.erase(vm);
}

bool pool_planner::is_moving(const std::string& vm) const
{
    return this->moves.contains(vm);
}

std::int64_t pool_planner::forecast_need(const std::string& pool, const pool_demand& demand,
                                         common::steady_time now)
{
    const auto weighted = static_cast<double>(demand.long_running + demand.running) +
                          this->options.waiting_weight * static_cast<double>(demand.waiting);
    std::deque<demand_sample>& samples = this->history[pool];
    samples.push_back(
        {now, static_cast<std::int64_t>(weighted / this->options.target_utilization)});
    while (now - samples.front().at > this->options.peak_window) {
        samples.pop_front();
    }
    const auto peak = std::max_element(samples.begin(), samples.end(),
                                       [](const demand_sample& left, const demand_sample& right) {
                                           return left.need < right.need;
                                       });
    const auto window_start =
        std::find_if(samples.begin(), samples.end(), [&](const demand_sample& each) {
            return now - each.at <= this->options.trend_window;
        });
    const auto growth = static_cast<double>(samples.back().need - window_start->need) /
                        static_cast<double>(this->options.trend_window.count());
    const auto growth_ahead = growth * static_cast<double>(this->options.forecast_horizon.count());
    return std::max(peak->need, samples.back().need + static_cast<std::int64_t>(growth_ahead));
}

bool pool_planner::needs_extra_vm(const std::string& pool, const pool_demand& demand,
                                  common::steady_time now)
{
    if (!demand.long_running_waiting) {
        this->unplaced_since.erase(pool);
        return false;
    }
    const auto since = this->unplaced_since.try_emplace(pool, now).first->second;
    return now - since >= this->options.unplaced_timeout;
}

std::vector<vm_move> pool_planner::plan(const std::map<std::string, pool_demand>& demand,
                                        const std::map<std::string, pool_vm>& vms,
                                        const std::string& standby, common::steady_time now)
{
    std::erase_if(this->moves, [&](const auto& each) {
        const auto found = vms.find(each.first);
        const bool arrived =
            found != vms.end() && found->second.up && found->second.pool == each.second.to;
        return arrived || now - each.second.since > this->options.move_timeout;
    });
    std::map<std::string, pool_state> pools;
    for (const auto& [pool, current_demand] : demand) {
        pools[pool].need = this->forecast_need(pool, current_demand, now);
        pools[pool].long_running = current_demand.long_running;
    }
    std::vector<std::pair<std::string, const pool_vm*>> idle;
    std::vector<std::string> parked;
    for (const auto& [name, vm] : vms) {
        const auto move = this->moves.find(name);
        const std::string& pool = move == this->moves.end() ? vm.pool : move->second.to;
        if (!vm.reserved && (vm.up || move != this->moves.end())) {
            pools[pool].supply += vm.processors;
        }
        if (vm.reserved || !vm.up || move != this->moves.end()) {
            continue;
        }
        if (pool == standby) {
            parked.push_back(name);
        } else if (vm.idle && now - vm.idle_since >= this->options.lend_idle_after) {
            idle.emplace_back(name, &vm);
        }
    }
    std::sort(idle.begin(), idle.end(), [](const auto& left, const auto& right) {
        return left.second->idle_since < right.second->idle_since;
    });
    for (const auto& [pool, current_demand] : demand) {
        if (this->needs_extra_vm(pool, current_demand, now)) {
            pools[pool].need = std::max(pools[pool].need, pools[pool].supply + 1);
            pools[pool].long_running = std::max(pools[pool].long_running, pools[pool].supply + 1);
            this->unplaced_since[pool] = now;
        }
    }
    std::vector<vm_move> chosen;
    const auto assign = [&](const std::string& name, const pool_vm& vm, const std::string& to) {
        pools[vm.pool].supply -= vm.processors;
        pools[to].supply += vm.processors;
        this->moves[name] = {to, now};
        chosen.push_back({name, to});
    };
    const auto supply = [&](const std::string& pool, std::int64_t wanted) {
        for (auto& [name, vm] : idle) {
            const bool spare = vm != nullptr && vm->pool != pool &&
                               pools[vm->pool].supply - vm->processors >= pools[vm->pool].need;
            if (spare && pools[pool].supply < wanted) {
                assign(name, *vm, pool);
                vm = nullptr;
            }
        }
        while (!parked.empty() && pools[pool].supply < wanted) {
            assign(parked.back(), vms.at(parked.back()), pool);
            parked.pop_back();
        }
    };
    std::vector<std::pair<std::int64_t, std::string>> shortages;
    for (const auto& [pool, state] : pools) {
        if (pool != standby && state.need > state.supply) {
            shortages.emplace_back(state.supply - state.need, pool);
        }
    }
    std::sort(shortages.begin(), shortages.end());
    // A backlog, however large, can wait; a task that runs until it is cancelled is to run now.
    for (const auto& [ignored, pool] : shortages) {
        supply(pool, pools[pool].long_running);
    }
    for (const auto& [ignored, pool] : shortages) {
        supply(pool, pools[pool].need);
    }
    if (standby.empty()) {
        return chosen;
    }
    for (const auto& [name, vm] : idle) {
        if (vm != nullptr && now - vm->idle_since >= this->options.park_idle_after &&
            pools[vm->pool].supply - vm->processors >= pools[vm->pool].need) {
            assign(name, *vm, standby);
        }
    }
    return chosen;
}

} // namespace chervilslip::fleet
