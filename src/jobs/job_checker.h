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

/// Checks a submitted job. Thread safe. Errors: `invalid` with the field at fault.
common::result<void> check_job(const job& candidate);

} // namespace chervilslip::jobs
