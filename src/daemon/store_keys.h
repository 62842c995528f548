#pragma once

#include <string>

/// Where the system keeps what must last. Everything is written under conditions.
namespace chervilslip::daemon::store_keys {

inline constexpr std::string_view claim = "chervilslip/claim";   ///< owner; under its lease
inline constexpr std::string_view journal = "chervilslip/chain"; ///< orders the owner's writes
inline constexpr std::string_view input = "chervilslip/in/";     ///< written by accepting nodes
inline constexpr std::string_view jobs = "chervilslip/in/job/";
inline constexpr std::string_view cancels = "chervilslip/in/cancel/";
inline constexpr std::string_view progress = "chervilslip/progress/";  ///< written by the owner
inline constexpr std::string_view closed = "chervilslip/closed/";      ///< written by the owner
inline constexpr std::string_view vm_orders = "chervilslip/vm-orders"; ///< who gave VMs orders last
inline constexpr std::string_view waves = "chervilslip/wave/";         ///< written by the owner

/// Returns the key of one thing under a prefix.
inline std::string of(std::string_view prefix, const std::string& name)
{
    std::string key(prefix);
    key += name;
    return key;
}

} // namespace chervilslip::daemon::store_keys
