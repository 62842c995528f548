#include "scheduling/reservation_plan.h"

#include <algorithm>
#include <map>

namespace chervilslip::scheduling {

namespace {

using common::milliseconds;
using common::steady_time;

/// A gang waits this much longer for places on one rack.
constexpr milliseconds same_rack_patience{500};

/// A run that exceeds its forecast takes at least this much longer.
constexpr milliseconds min_overrun{100};

/// Returns when a worker has room for one task, for two, and so on, up to `count`.
std::vector<steady_time> times_of_room(const worker_forecast& worker, const teams::resources& size,
                                       std::int64_t count, steady_time now)
{
    std::vector<run_forecast> runs = worker.runs;
    std::sort(runs.begin(), runs.end(), [](const run_forecast& left, const run_forecast& right) {
        return left.ends < right.ends;
    });
    teams::resources room = room_at(worker, now); // all ends are later
    const std::int64_t most = worker.max_tasks > 0 ? std::min(worker.max_tasks, count) : count;
    std::vector<steady_time> times;
    steady_time at = now;
    for (auto next = runs.begin(); static_cast<std::int64_t>(times.size()) < most;) {
        if (room.can_fit(size)) {
            times.push_back(at);
            room -= size;
            continue;
        }
        if (next == runs.end() || next->ends == never_ends) {
            break;
        }
        room += next->size;
        at = next->ends;
        ++next;
    }
    return times;
}

std::optional<placement_plan> earliest_plan(const blocked_step& what, std::int64_t count,
                                            const std::vector<const worker_forecast*>& workers,
                                            steady_time now)
{
    std::vector<std::pair<steady_time, std::size_t>> slots;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        for (const steady_time each : times_of_room(*workers[i], what.size, count, now)) {
            slots.emplace_back(each, i);
        }
    }
    if (static_cast<std::int64_t>(slots.size()) < count) {
        return std::nullopt;
    }
    std::sort(slots.begin(), slots.end());
    placement_plan plan;
    for (std::int64_t i = 0; i < count; ++i) {
        const auto& [at, worker] = slots[static_cast<std::size_t>(i)];
        plan.due = at;
        plan.workers.push_back(workers[worker]);
    }
    return plan;
}

} // namespace

steady_time forecast_end(steady_time begun, milliseconds expected, steady_time now)
{
    const steady_time ends = begun + expected;
    return ends > now
               ? ends
               : now + std::max(std::chrono::duration_cast<milliseconds>(now - ends), min_overrun);
}

bool is_large(const teams::resources& size, const pool_capacity& pool)
{
    return pool.largest.can_fit(size) && (2 * size.processors > pool.largest.processors ||
                                          2 * size.memory_mb > pool.largest.memory_mb ||
                                          2 * size.accelerators > pool.largest.accelerators);
}

teams::resources room_at(const worker_forecast& worker, steady_time due)
{
    teams::resources room = worker.capacity;
    for (const run_forecast& each : worker.runs) {
        if (each.ends > due) {
            room -= each.size;
        }
    }
    return room;
}

std::optional<placement_plan> best_plan(const blocked_step& what,
                                        const std::vector<const worker_forecast*>& workers,
                                        steady_time now)
{
    const std::int64_t count = what.gang ? what.tasks : 1;
    std::optional<placement_plan> plan = earliest_plan(what, count, workers, now);
    if (!plan || !what.gang || !what.same_rack) {
        return plan;
    }
    std::map<std::string, std::vector<const worker_forecast*>> by_rack;
    for (const worker_forecast* each : workers) {
        by_rack[each->rack].push_back(each);
    }
    std::optional<placement_plan> on_one_rack;
    for (const auto& [rack, members] : by_rack) {
        auto there = earliest_plan(what, count, members, now);
        if (there && (!on_one_rack || there->due < on_one_rack->due)) {
            on_one_rack = std::move(there);
        }
    }
    return on_one_rack && on_one_rack->due <= plan->due + same_rack_patience ? on_one_rack : plan;
}

} // namespace chervilslip::scheduling
