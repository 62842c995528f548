#include "scheduling/cold_workers.h"

#include <algorithm>
#include <utility>

namespace chervilslip::scheduling {

namespace {

/// Returns how many tasks of one size take up `claimed`.
double tasks_in(const teams::resources& claimed, const teams::resources& size)
{
    const auto ratio = [](std::int64_t all, std::int64_t one) {
        return one > 0 ? static_cast<double>(all) / static_cast<double>(one) : 0.0;
    };
    return std::max({ratio(claimed.processors, size.processors),
                     ratio(claimed.memory_mb, size.memory_mb),
                     ratio(claimed.accelerators, size.accelerators)});
}

} // namespace

cold_workers::cold_workers(std::optional<cold_limits> allowed) : limits(allowed)
{
}

void cold_workers::begin_round(worker_map& workers, common::steady_time now)
{
    if (!this->limits) {
        return;
    }
    const std::map<std::string, std::int64_t> recent = std::exchange(this->starts, {});
    std::vector<worker_state*> cold;
    for (auto& [id, worker] : workers) {
        if (now < worker.entry.cold_until) {
            cold.push_back(&worker);
        } else {
            worker.cold_credit.reset();
        }
    }
    if (cold.empty()) {
        return; // nearly always
    }
    std::map<std::string, std::int64_t> processors;
    for (const auto& [id, worker] : workers) {
        processors[worker.entry.pool] += worker.listed ? worker.entry.capacity.processors : 0;
    }
    for (worker_state* each : cold) {
        worker_state& worker = *each;
        const auto pool_starts = recent.find(worker.entry.pool);
        const auto all = static_cast<double>(processors[worker.entry.pool]);
        const double share =
            all > 0 ? static_cast<double>(worker.entry.capacity.processors) / all : 0.0;
        const double gained =
            pool_starts == recent.end()
                ? 0.0
                : this->limits->over * share * static_cast<double>(pool_starts->second);
        worker.cold_credit = std::min(worker.cold_credit.value_or(this->limits->slack) + gained,
                                      this->limits->slack);
    }
}

bool cold_workers::allows(const worker_state& worker, const teams::resources& size,
                          const teams::resources& claimed)
{
    return !worker.cold_credit || *worker.cold_credit >= 1.0 + tasks_in(claimed, size);
}

void cold_workers::handle_planned_start(worker_state& worker)
{
    if (worker.cold_credit) {
        *worker.cold_credit -= 1.0;
    }
}

void cold_workers::handle_sent_start(const std::string& pool)
{
    if (this->limits) {
        ++this->starts[pool];
    }
}

} // namespace chervilslip::scheduling
