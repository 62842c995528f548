#pragma once

#include "common/error.h"
#include "jobs/job.h"

namespace chervilslip::jobs {

/// Returns a job in msgpack, as the store keeps it and peers send it. Thread safe.
std::string encode_job(const job& value);

/// Reads a job in msgpack. Thread safe. Errors: `bad_message`.
common::result<job> decode_job(const std::string& bytes, const std::string& peer);

} // namespace chervilslip::jobs
