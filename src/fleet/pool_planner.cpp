#include "fleet/pool_planner.h"

#include <algorithm>

namespace chervilslip::fleet {

pool_planner::pool_planner(pool_options wanted) : options(wanted)
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

std::int64_t pool_planner::remember(const std::string& pool, const pool_demand& demand,
                                    common::steady_time now)
{
    const auto weighted = static_cast<double>(demand.long_running + demand.running) +
                          this->options.waiting_weight * static_cast<double>(demand.waiting);
    std::deque<remembered>& past = this->history[pool];
    past.push_back({now, static_cast<std::int64_t>(weighted / this->options.fill)});
    while (now - past.front().at > this->options.memory) {
        past.pop_front();
    }
    const auto highest = std::max_element(
        past.begin(), past.end(),
        [](const remembered& left, const remembered& right) { return left.need < right.need; });
    const auto before = std::find_if(past.begin(), past.end(), [&](const remembered& each) {
        return now - each.at <= this->options.trend;
    });
    const auto growth = static_cast<double>(past.back().need - before->need) /
                        static_cast<double>(this->options.trend.count());
    const auto ahead = growth * static_cast<double>(this->options.foresight.count());
    return std::max(highest->need, past.back().need + static_cast<std::int64_t>(ahead));
}

bool pool_planner::is_stuck(const std::string& pool, const pool_demand& demand,
                            common::steady_time now)
{
    if (!demand.long_running_waiting) {
        this->stuck_since.erase(pool);
        return false;
    }
    const auto since = this->stuck_since.try_emplace(pool, now).first->second;
    return now - since >= this->options.stuck_after;
}

std::vector<vm_move> pool_planner::plan(const std::map<std::string, pool_demand>& demand,
                                        const std::map<std::string, pool_vm>& vms,
                                        const std::string& standby, common::steady_time now)
{
    std::erase_if(this->moves, [&](const auto& each) {
        const auto found = vms.find(each.first);
        const bool arrived =
            found != vms.end() && found->second.up && found->second.pool == each.second.to;
        return arrived || now - each.second.since > this->options.move_time;
    });
    std::map<std::string, pool_state> pools;
    for (const auto& [pool, asked] : demand) {
        pools[pool].need = this->remember(pool, asked, now);
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
        } else if (vm.idle && now - vm.idle_since >= this->options.lend_after) {
            idle.emplace_back(name, &vm);
        }
    }
    std::sort(idle.begin(), idle.end(), [](const auto& left, const auto& right) {
        return left.second->idle_since < right.second->idle_since;
    });
    for (const auto& [pool, asked] : demand) {
        if (this->is_stuck(pool, asked, now)) {
            pools[pool].need = std::max(pools[pool].need, pools[pool].supply + 1);
            this->stuck_since[pool] = now;
        }
    }
    std::vector<vm_move> chosen;
    const auto give = [&](const std::string& name, const pool_vm& vm, const std::string& to) {
        pools[vm.pool].supply -= vm.processors;
        pools[to].supply += vm.processors;
        this->moves[name] = {to, now};
        chosen.push_back({name, to});
    };
    std::vector<std::pair<std::int64_t, std::string>> short_of;
    for (const auto& [pool, state] : pools) {
        if (pool != standby && state.need > state.supply) {
            short_of.emplace_back(state.supply - state.need, pool);
        }
    }
    std::sort(short_of.begin(), short_of.end());
    for (const auto& [ignored, pool] : short_of) {
        for (auto& [name, vm] : idle) {
            const bool spare = vm != nullptr && vm->pool != pool &&
                               pools[vm->pool].supply - vm->processors >= pools[vm->pool].need;
            if (spare && pools[pool].supply < pools[pool].need) {
                give(name, *vm, pool);
                vm = nullptr;
            }
        }
        while (!parked.empty() && pools[pool].supply < pools[pool].need) {
            give(parked.back(), vms.at(parked.back()), pool);
            parked.pop_back();
        }
    }
    if (standby.empty()) {
        return chosen;
    }
    for (const auto& [name, vm] : idle) {
        if (vm != nullptr && now - vm->idle_since >= this->options.park_after &&
            pools[vm->pool].supply - vm->processors >= pools[vm->pool].need) {
            give(name, *vm, standby);
        }
    }
    return chosen;
}

} // namespace chervilslip::fleet
