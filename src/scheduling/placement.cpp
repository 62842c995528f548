#include "scheduling/placement.h"

#include "scheduling/cold_workers.h"

namespace chervilslip::scheduling {

namespace {

constexpr double remote_data_cost = 100.0;
constexpr double shared_rack_cost = 10.0;
constexpr double unproven_cost = 5.0;

/// A cold worker comes after all warm ones with room. Work with little slack takes a worker far
/// from its data before a cold one.
constexpr double cold_cost = 2.0;
constexpr double cold_cost_with_little_slack = 150.0;

/// Suspects are kept apart from each other, so that a crash is attributed to one of them, and from
/// other runs, which a crash would end.
constexpr double shared_suspect_cost = 1000.0;
constexpr double endangered_run_cost = 2.0;

/// Retries prefer workers that have completed a task within this time.
constexpr common::milliseconds recent_success_window{5000};

/// A worker gets no retries for this time after a failed run. Afterwards other workers are still
/// preferred.
constexpr common::milliseconds retry_exclusion_time{1500};

double used_fraction(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

} // namespace

bool is_usable(const worker_state& worker, common::steady_time now)
{
    return worker.listed && worker.token_seen && !worker.entry.draining && !worker.cordoned &&
           !worker.evacuated && worker.missed_polls == 0 && now >= worker.blocked_until;
}

bool has_label(const worker_entry& worker, const std::string& label)
{
    return label.empty() || worker.kind == label || worker.rack == label;
}

std::optional<double> placement_cost(const worker_state& worker, const placement_request& request,
                                     const step_neighbours& neighbours,
                                     const teams::resources& reserved, common::steady_time now)
{
    const worker_entry& entry = worker.entry;
    teams::resources free = worker.free();
    free -= reserved;
    if (!free.can_fit(request.size) || entry.pool != request.pool) {
        return std::nullopt;
    }
    if (!has_label(entry, request.required_label)) {
        return std::nullopt;
    }
    if (!request.required_rack.empty() && entry.rack != request.required_rack) {
        return std::nullopt;
    }
    if (worker.isolated_task != request.isolated_task) {
        return std::nullopt;
    }
    if (request.max_per_vm > 0 && neighbours.on_vm >= request.max_per_vm) {
        return std::nullopt;
    }
    if (worker.cold_credit && !cold_workers::allows(worker, request.size, reserved)) {
        return std::nullopt;
    }
    if (request.tickets != nullptr && !request.tickets->contains(entry.instance.id)) {
        return std::nullopt;
    }
    // Limited in time: if the last run failed on every worker, a retry would never be placed.
    const bool failed_recently =
        worker.consecutive_failures > 0 && now - worker.last_failure < retry_exclusion_time;
    const bool is_tried = worker.runs.size() > worker.lasting_runs;
    if ((worker.on_probation && is_tried) || (request.retried && failed_recently)) {
        return std::nullopt;
    }
    const std::optional<double> slowness = slow_worker_cost(worker.speed, request.speed, now);
    if (!slowness) {
        return std::nullopt;
    }
    // Best fit: prefers the fullest VM, so that others become idle and can be moved to another
    // pool.
    double cost = 1.0 - used_fraction(worker.used.processors + reserved.processors,
                                      entry.capacity.processors);
    cost += *slowness;
    if (!request.preferred_rack.empty() && entry.rack != request.preferred_rack) {
        cost += remote_data_cost;
    }
    if (request.spread_racks) {
        cost += shared_rack_cost * static_cast<double>(neighbours.on_rack);
    }
    if (request.retried && now - worker.last_success > recent_success_window) {
        cost += unproven_cost;
    }
    cost += unproven_cost * static_cast<double>(worker.consecutive_failures);
    cost += shared_suspect_cost * static_cast<double>(worker.suspects.size());
    if (worker.cold_credit) {
        cost += request.little_slack ? cold_cost_with_little_slack : cold_cost;
    }
    if (request.suspect) {
        cost += endangered_run_cost * static_cast<double>(worker.runs.size());
    }
    return cost;
}

} // namespace chervilslip::scheduling
