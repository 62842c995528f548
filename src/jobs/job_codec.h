#pragma once

#include "common/error.h"
#include "jobs/job.h"

namespace chervilslip::jobs {

/// Returns a job as MessagePack, the form that is stored and sent between nodes. Thread safe.
std::string encode_job(const job& value);

/// Reads a job from MessagePack. Thread safe. Errors: `bad_message`, which names `peer`.
common::result<job> decode_job(const std::string& bytes, const std::string& peer);

} // namespace chervilslip::jobs
