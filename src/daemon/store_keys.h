#pragma once

#include <string>

/// Keys of the persistent state in the store. All writes are conditional transactions.
namespace chervilslip::daemon::store_keys {

inline constexpr std::string_view claim = "chervilslip/claim"; ///< bound to the owner's lease
/// Share of new jobs that entry nodes accept. Below the claim's key, so that the watch of the claim
/// covers it. Never deleted: its revision tells shares apart (docs/decisions/0012).
inline constexpr std::string_view admission = "chervilslip/claim/admission";
/// Head of the first journal lane. A head serializes the owner's writes of its lane.
inline constexpr std::string_view journal = "chervilslip/chain";
inline constexpr std::string_view input = "chervilslip/in/"; ///< written by nodes that accept jobs
inline constexpr std::string_view jobs = "chervilslip/in/job/";
inline constexpr std::string_view cancels = "chervilslip/in/cancel/";
inline constexpr std::string_view progress = "chervilslip/progress/"; ///< written by the owner
/// Written by the owner, and for withdrawn jobs by nodes that accept jobs.
inline constexpr std::string_view closed = "chervilslip/closed/";
inline constexpr std::string_view vm_orders = "chervilslip/vm-orders"; ///< last sender of VM orders
inline constexpr std::string_view waves = "chervilslip/wave/";         ///< written by the owner

/// Returns the key of an entry under a prefix.
inline std::string make_key(std::string_view prefix, const std::string& name)
{
    std::string key(prefix);
    key += name;
    return key;
}

/// Returns the key of a journal lane's head.
inline std::string journal_head(std::size_t lane)
{
    std::string key(journal);
    if (lane > 0) {
        key += "/" + std::to_string(lane);
    }
    return key;
}

} // namespace chervilslip::daemon::store_keys
