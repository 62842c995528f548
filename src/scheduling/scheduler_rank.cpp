// Ranks of jobs for their dispatch.
#include <algorithm>

#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Critical paths change as run times are learned, and when a step ends.
constexpr common::milliseconds path_refresh_interval{200};

/// A job that has not begun needs this share of its path, and this time for each step, as a margin:
/// run times are estimates, a step ends with its slowest task, and starts and ends take time to
/// store and to report.
constexpr double estimate_error_share = 0.35;
constexpr common::milliseconds step_overhead{120};

/// A job that has begun may exceed its objective by this share of its remaining path and still be
/// expected to be in time, because its run times are estimates.
constexpr double begun_overrun_share = 0.25;

/// A job earns no credit after this multiple of its latency objective.
constexpr double credit_cutoff_factor = 3.0;

} // namespace

scheduler::rank scheduler::rank_of(active_job& job, std::int64_t unix_ms) const
{
    using enum dispatch_group;
    const jobs::queue_policy& queue = this->policy_of(job);
    if (job.spec.is_long_running()) {
        return {long_running, queue.priority, static_cast<double>(job.spec.accepted_ms)};
    }
    this->refresh_paths(job, unix_ms);
    const auto total_path = static_cast<double>(job.paths.total.count());
    const double objective = queue.stretch * total_path + static_cast<double>(queue.target.count());
    const auto age = static_cast<double>(unix_ms - job.spec.due_ms(job.paths.occurrence));
    const auto remaining = static_cast<double>(job.paths.remaining.count());
    const double slack = objective - age - remaining;
    job.has_little_slack = slack < remaining;
    // Begun jobs go on as long as they may still be in time, because what has run would be wasted.
    const double margin =
        has_begun(job) ? -begun_overrun_share * remaining
                       : estimate_error_share * remaining +
                             static_cast<double>(job.paths.remaining_steps * step_overhead.count());
    if (slack >= margin) {
        return {likely_in_time, queue.priority, slack};
    }
    if (slack >= 0) {
        return {perhaps_in_time, queue.priority, -slack};
    }
    const bool earns_credit = credit_cutoff_factor * objective - age - remaining > 0;
    return {earns_credit ? late : too_late, queue.priority, slack};
}

void scheduler::refresh_paths(active_job& job, std::int64_t unix_ms) const
{
    if (this->last_now < job.paths.valid_until) {
        return;
    }
    std::int64_t occurrence = 0;
    while (occurrence + 1 < job.spec.occurrences() && job.spec.due_ms(occurrence + 1) <= unix_ms) {
        ++occurrence;
    }
    const auto& counts = job.counts.at(static_cast<std::size_t>(occurrence));
    std::int64_t remaining_steps = 0;
    for (std::size_t s = 0; s < counts.size(); ++s) {
        remaining_steps += counts[s].done < job.spec.steps[s].count ? 1 : 0;
    }
    job.paths = {this->critical_path(job), this->remaining_critical_path(job, occurrence),
                 remaining_steps, occurrence, this->last_now + path_refresh_interval};
}

common::milliseconds scheduler::critical_path(const active_job& job) const
{
    std::vector<common::milliseconds> ends(job.spec.steps.size());
    common::milliseconds longest{0};
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        common::milliseconds begin{0};
        for (const jobs::step_index each : job.spec.steps[s].after) {
            begin = std::max(begin, ends.at(each));
        }
        ends[s] = begin + this->durations.expected(job.spec.queue, job.spec.steps[s].estimate);
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

} // namespace chervilslip::scheduling
