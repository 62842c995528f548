#pragma once

#include <algorithm>
#include <cstdint>

namespace chervilslip::scheduling {

/// Number of fencing tokens per ownership claim. The instances of a worker that follow each other
/// under its id get rising ones: a command names the id only, so one that was meant for an earlier
/// instance and is carried out late would be obeyed by the next one, whose clock differs.
/// Once the next instance has seen its own token, it rejects such commands.
inline constexpr std::int64_t tokens_per_claim = 65'536;

/// Returns the fencing token for a worker instance that was added after `ended_instances` others
/// had ended under this claim. Tokens of a later claim are higher. Beyond the range the last token
/// is used again. Thread safe.
constexpr std::int64_t fencing_token(std::int64_t claim, std::int64_t ended_instances)
{
    return claim * tokens_per_claim + std::min(ended_instances, tokens_per_claim - 1);
}

} // namespace chervilslip::scheduling
