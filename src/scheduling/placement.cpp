#include "scheduling/placement.h"

namespace chervilslip::scheduling {

namespace {

/// From so many failures in a row on, a worker gets one task at a time until one is done.
constexpr std::int64_t doubtful_failures = 3;

constexpr double far_from_data_cost = 100.0;
constexpr double shared_rack_cost = 10.0;
constexpr double unproven_cost = 5.0;

/// A worker whose last task was done within this time is taken as sound for a retry.
constexpr common::milliseconds proven_time{5000};

/// After a failed run a worker gets no retries for this time; others are preferred after it as
/// well.
constexpr common::milliseconds retry_elsewhere{1500};

double used_part(std::int64_t used, std::int64_t of)
{
    return of > 0 ? static_cast<double>(used) / static_cast<double>(of) : 0.0;
}

} // namespace

bool is_usable(const worker_state& worker, common::steady_time now)
{
    return worker.listed && worker.token_seen && !worker.entry.draining && !worker.cordoned &&
           worker.missed_polls == 0 && now >= worker.blocked_until;
}

std::optional<double> placement_cost(const worker_state& worker, const placement_request& wanted,
                                     const neighbour_count& neighbours,
                                     const teams::resources& reserved, common::steady_time now)
{
    const worker_entry& entry = worker.entry;
    teams::resources free = worker.free();
    free -= reserved;
    if (entry.pool != wanted.pool || !free.can_fit(wanted.size)) {
        return std::nullopt;
    }
    if (!wanted.required_label.empty() && entry.kind != wanted.required_label &&
        entry.rack != wanted.required_label) {
        return std::nullopt;
    }
    if (!wanted.only_rack.empty() && entry.rack != wanted.only_rack) {
        return std::nullopt;
    }
    if (wanted.max_per_vm > 0 && neighbours.on_vm >= wanted.max_per_vm) {
        return std::nullopt;
    }
    if (wanted.tickets != nullptr && !wanted.tickets->contains(entry.instance.id)) {
        return std::nullopt;
    }
    const bool doubtful = worker.failures_in_a_row >= doubtful_failures;
    // Only for a while: where all workers have failed last, a retry would never find one.
    const bool failed_lately =
        worker.failures_in_a_row > 0 && now - worker.last_failed < retry_elsewhere;
    if ((doubtful && !worker.runs.empty()) || (wanted.retried && failed_lately)) {
        return std::nullopt;
    }
    // The fullest VM that has room is taken, so that others become idle and can be moved.
    double cost =
        1.0 - used_part(worker.used.processors + reserved.processors, entry.capacity.processors);
    if (!wanted.preferred_rack.empty() && entry.rack != wanted.preferred_rack) {
        cost += far_from_data_cost;
    }
    if (wanted.spread) {
        cost += shared_rack_cost * static_cast<double>(neighbours.on_rack);
    }
    if (wanted.retried && now - worker.last_done > proven_time) {
        cost += unproven_cost;
    }
    cost += unproven_cost * static_cast<double>(worker.failures_in_a_row);
    return cost;
}

} // namespace chervilslip::scheduling
