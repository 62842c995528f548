#pragma once

#include "common/error.h"
#include "jobs/job.h"

namespace chervilslip::jobs {

inline constexpr std::size_t max_payload_bytes = 4000; ///< the caller API's limit for a spec
inline constexpr std::int64_t max_tasks_of_job = 5000;
inline constexpr std::int64_t max_occurrences = 1000;

/// Tasks of all occurrences together. Bounds the job's progress document, which the store keeps as
/// one value.
inline constexpr std::int64_t max_runs_of_job = 10'000;

/// Most of a resource that one task may request: thousandths of a processor, MB or accelerators.
/// No VM has as much, and the requests of all stored jobs can be summed up.
inline constexpr std::int64_t max_amount_of_task = 1'000'000'000;

/// Longest estimate or latency target that planning takes into account.
inline constexpr common::milliseconds max_planned_time = std::chrono::hours(7 * 24);

/// Checks what a job requests. Thread safe. Errors: `invalid` with the field at fault, its value
/// and what is allowed.
common::result<void> check_job(const job& candidate);

/// Limits times and other hints, which any job may carry, to the range in which planning can
/// compute with them. Thread safe.
void limit_hints(job& accepted);

} // namespace chervilslip::jobs
